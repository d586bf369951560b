"""Show the queues of the users' platform."""

import collections
import math

from papayapick.clients.http import HttpPool
from papayapick.exceptions import PapayapickError
from papayapick.jobs.state import JobStatus
from papayapick.management.base import Command
from papayapick.management.commands.pool import current_configuration
from papayapick.management.exceptions import MetricsUnreadable
from papayapick.management.exit_codes import EXIT_OK
from papayapick.management.pools import PoolsView
from papayapick.management.queues import read_refusals, read_waits, sum_up_queues

__all__ = ["QueueCommand"]

_CALL_TIMEOUT_SECONDS = 2.0
_OK = 200


class QueueCommand(Command):
    """Show queues from the store and from the metrics of entry hosts."""

    name = "queue"
    usage = """Show the queues of the users' platform.

Usage:
  papayapick queue status [--metrics=<address>]... [--json]
  papayapick queue --help

status shows, for each queue, how many jobs wait and run and the work ahead, which is
the core-seconds of all tasks that are not done, by the callers' estimates, as recorded
in the store. From the metrics of entry hosts it adds when work that comes now would
begin, as the owner foresees it (by the first host that knows it), and the refusals by
code, summed up over these hosts since each was started.

Options:
  --metrics=<address>  HOST:PORT of the metrics of an entry host; may be repeated.
  --json               Write JSON lines for programs.
  --help               Show this page.

An environment variable of the platform names its settings file.
"""

    def handle(self):
        """Run the named subcommand."""
        view = PoolsView.from_config()
        configuration = current_configuration(view)
        pages = [_read_page(address) for address in self.options["--metrics"]]
        waits = {}
        for page in pages:
            waits = {**read_waits(page), **waits}
        for queue in sum_up_queues(configuration.queues, view.jobs(configuration)):
            self._write_queue(queue, waits.get(queue.name, {}))
        refusals = sum(map(read_refusals, pages), collections.Counter())
        for code, count in sorted(refusals.items()):
            self.output.write(f"refused {code}: {count}", code=code, refused=count)
        return EXIT_OK

    def _write_queue(self, queue, waits):
        waiting, running = (
            queue.jobs[status] for status in (JobStatus.WAITING, JobStatus.RUNNING)
        )
        earliest, latest = waits.get("earliest"), waits.get("latest")
        text = (
            f"{queue.name}: {waiting} jobs wait, {running} run; "
            f"{queue.work:.0f} core-seconds ahead"
        )
        if earliest is not None and latest is not None:
            text += f"; work that comes now begins in {earliest:.1f} to {latest:.1f} s"
        self.output.write(
            text,
            queue=queue.name,
            waiting=waiting,
            running=running,
            work_core_seconds=round(queue.work, 1),
            earliest_seconds=_finite(earliest),
            latest_seconds=_finite(latest),
        )


def _finite(seconds):
    """Return seconds for JSON, which has no infinity; None if there are none."""
    return seconds if seconds is not None and math.isfinite(seconds) else None


def _read_page(address):
    try:
        answer = HttpPool(_CALL_TIMEOUT_SECONDS).request(
            "GET", f"http://{address}/metrics"
        )
    except PapayapickError as error:
        raise MetricsUnreadable(address=address, reason=error) from error
    if answer.status != _OK:
        raise MetricsUnreadable(address=address, reason=f"status {answer.status}")
    return answer.body.decode()
