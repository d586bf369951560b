"""Ask the owner of a shard, also while the shard changes hands."""

import threading

from papayapick.management.exceptions import OwnerMissing
from papayapick.ownership import read_shard
from papayapick.routing import indicates_new_owner
from papayapick.wire import PeerRefused, WireError

__all__ = ["OwnerClient"]

# A takeover is over within the silence after which a peer counts as dead, 2 s as
# set, and an inventory; a gateway follows a shard for as long.
_FOLLOW_SECONDS = 4.5
_LOOK_SECONDS = 0.05


class OwnerClient:
    """Bring a question to whoever owns a shard.

    Parameters
    ----------
    table : Table
    connect : callable
        Returns the OperatorPeers of the live list as it is now.
    clock : Clock
    """

    __slots__ = ("_clock", "_connect", "_table")

    def __init__(self, table, connect, clock):
        self._table = table
        self._connect = connect
        self._clock = clock

    def ask(self, shard, message):
        """Return the owner's answer.

        A shard that is handed over, or whose owner has just gone, has no owner
        that answers for a moment. The command then failed though nothing was
        wrong; queries and cancellations are idempotent, so they are sent again
        to the owner that the table names next.

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
            The shard never had an owner, or got none in time.
        PeerRefused
            The owner's own word.
        WireError, TableUnavailable, HostListUnavailable
        """
        give_up = self._clock.monotonic() + _FOLLOW_SECONDS
        never = threading.Event()
        while True:
            row = read_shard(self._table, shard)
            try:
                return self._ask_once(row, message)
            except PeerRefused as error:
                if not indicates_new_owner(error) or self._is_over(give_up):
                    raise
            except WireError:
                if self._is_over(give_up):
                    raise
            except OwnerMissing:
                if not row.version or self._is_over(give_up):
                    raise
            self._clock.wait(never, _LOOK_SECONDS)

    def _ask_once(self, row, message):
        with self._connect() as peers:
            try:
                return peers.ask(row.owner, message)
            except KeyError:
                raise OwnerMissing(
                    shard=row.shard, owner=row.owner or "nobody"
                ) from None

    def _is_over(self, give_up):
        return self._clock.monotonic() >= give_up
