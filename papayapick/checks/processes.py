"""Check that the processes of the live list answer with the cell key."""

import getpass

from papayapick.bundle.queries import read_head
from papayapick.checks.findings import Finding
from papayapick.checks.queries import register
from papayapick.clients import TableUnavailable
from papayapick.management.peers import OperatorPeers
from papayapick.wire import CellKeyInvalid

__all__ = ["check_processes"]


@register
def check_processes(context):
    """Find processes that do not answer, or that run another bundle."""
    if context.settings is None or context.entries is None:
        return
    try:
        peers = OperatorPeers.from_config(
            context.settings, context.entries, getpass.getuser()
        )
    except CellKeyInvalid:
        # check_cell_key reports this.
        return
    with peers:
        heartbeats = peers.heartbeats()
    sequence = _accepted_sequence(context)
    for name, heartbeat in sorted(heartbeats.items()):
        if heartbeat is None:
            message = f"{name} is on the live list and does not answer"
            hint = "check the process, its peer address and its cell key"
            yield Finding("process.W001", message, hint)
        elif sequence is not None and heartbeat.bundle_sequence != sequence:
            message = f"{name} runs bundle {heartbeat.bundle_sequence}, not {sequence}"
            yield Finding("process.W002", message, "check again, then read its log")


def _accepted_sequence(context):
    try:
        return read_head(context.table).sequence
    except TableUnavailable:
        return None
