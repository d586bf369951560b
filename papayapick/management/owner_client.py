"""Send requests to the owner of a shard, also while the owner changes."""

import threading

from papayapick.management.exceptions import OwnerMissing
from papayapick.ownership import read_shard
from papayapick.routing import indicates_new_owner
from papayapick.wire import PeerRefused, WireError

__all__ = ["OwnerClient"]

# A takeover takes the time after which a silent peer counts as dead, 2 s by default,
# and an inventory. A gateway retries for as long while a shard has no owner.
_RETRY_SECONDS = 4.5
_RETRY_INTERVAL_SECONDS = 0.05


class OwnerClient:
    """Send messages to the current owner of a shard.

    Parameters
    ----------
    table : Table
    connect : callable
        Returns the OperatorPeers of the current live list.
    clock : Clock
    """

    __slots__ = ("_clock", "_connect", "_table")

    def __init__(self, table, connect, clock):
        self._table = table
        self._connect = connect
        self._clock = clock

    def ask(self, shard, message):
        """Return the owner's answer.

        During a handover, or when its owner has just been lost, a shard has no owner
        that answers for a short time. Queries and cancellations are idempotent, so
        they are sent again, to the owner that the table names by then; otherwise the
        command would fail though nothing is wrong.

        Parameters
        ----------
        shard : str
        message : WorkQuery or WorkCancel

        Returns
        -------
        WorkState

        Raises
        ------
        OwnerMissing
            The shard never had an owner, or none took it in time.
        PeerRefused
            The owner refused the message.
        WireError, TableUnavailable, HostListUnavailable
        """
        deadline = self._clock.monotonic() + _RETRY_SECONDS
        never_set = threading.Event()
        while True:
            row = read_shard(self._table, shard)
            try:
                return self._send_once(row, message)
            except PeerRefused as error:
                if not indicates_new_owner(error) or self._has_passed(deadline):
                    raise
            except WireError:
                if self._has_passed(deadline):
                    raise
            except OwnerMissing:
                if not row.version or self._has_passed(deadline):
                    raise
            self._clock.wait(never_set, _RETRY_INTERVAL_SECONDS)

    def _send_once(self, row, message):
        with self._connect() as peers:
            try:
                return peers.ask(row.owner, message)
            except KeyError:
                raise OwnerMissing(
                    shard=row.shard, owner=row.owner or "nobody"
                ) from None

    def _has_passed(self, deadline):
        return self._clock.monotonic() >= deadline
