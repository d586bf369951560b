"""Show, explain and cancel one request."""

import base64
import json

from papayapick.management.base import Command
from papayapick.management.commands.pool import current_configuration, find_job
from papayapick.management.exceptions import RequestIdInvalid
from papayapick.management.exit_codes import EXIT_OK
from papayapick.management.owner_client import OwnerClient
from papayapick.management.peers import OperatorPeers
from papayapick.management.pools import PoolsView
from papayapick.management.reasons import explain_job
from papayapick.wire.messages import WorkCancel, WorkQuery

__all__ = ["RequestCommand"]


class RequestCommand(Command):
    """Query or cancel a durable request at the owner of its shard."""

    name = "request"
    usage = """Show, explain and cancel durable requests.

Usage:
  papayapick request show <id> [--json]
  papayapick request explain <id> [--json]
  papayapick request cancel <id> [--dry-run] [--json]
  papayapick request --help

explain shows why a request waits, or where it was placed. Urgent repeatable
requests are not stored: their answer went to the caller.

Options:
  --dry-run  Show the request, cancel nothing.
  --json     Write JSON lines for programs.
  --help     Show this page.

Addresses and keys come from the PAPAYAPICK_ variables. If the settings file of the
users' platform is named, explain takes the id of a job of steps.
"""

    def handle(self):
        """Show, explain or cancel the request."""
        request_id = self.options["<id>"]
        if self.options["explain"] and PoolsView.is_configured():
            return self._explain_job(request_id)
        shard = request_id.rpartition(".")[0]
        if not shard:
            raise RequestIdInvalid(request_id=request_id)
        settings = self.settings()
        table, _, hosts = self.platform(settings)

        def connect():
            return OperatorPeers.from_config(settings, hosts.fetch(), self.operator())

        message = self._message(shard, request_id)
        client = OwnerClient(table, connect, self.clock)
        self._show(client.ask(shard, message))
        return EXIT_OK

    def _explain_job(self, identifier):
        view = PoolsView.from_config()
        job = find_job(view, current_configuration(view), identifier)
        owner = view.pool(job.pool)
        is_reached = any(
            host.is_reached for host in view.hosts() if host.name == owner.owner
        )
        reasons = explain_job(job, owner, is_reached, view.workers(job.pool))
        mappings = [reason.as_mapping() for reason in reasons]
        values = {"request": identifier, "state": job.status, "reasons": mappings}
        text = f"{identifier}: {job.status}" + _format_reasons(mappings)
        self.output.write(text, **values)
        return EXIT_OK

    def _message(self, shard, request_id):
        if self.options["cancel"] and not self.options["--dry-run"]:
            return WorkCancel(shard=shard, request_id=request_id)
        explain = bool(self.options["explain"])
        return WorkQuery(shard=shard, request_id=request_id, explain=explain)

    def _show(self, state):
        values = {"request": state.request_id, "state": state.state}
        text = f"{state.request_id}: {state.state}"
        if state.outcome:
            values.update(outcome=state.outcome, status=state.status)
            values["result_base64"] = base64.b64encode(state.result).decode()
            text += f", {state.outcome}"
        if self.options["explain"] and state.detail:
            reasons = json.loads(state.detail)
            values["reasons"] = reasons
            text += _format_reasons(reasons)
        elif state.detail:
            values["detail"] = state.detail
            text += f" ({state.detail})"
        if self.options["cancel"] and self.options["--dry-run"]:
            is_cancellable = state.state == "waiting"
            values["would_cancel"] = is_cancellable
            text += "\n  would be cancelled" if is_cancellable else "\n  has begun"
        self.output.write(text, **values)


def _format_reasons(reasons):
    return "".join(f"\n  {one['code']}: {one['text']}" for one in reasons)
