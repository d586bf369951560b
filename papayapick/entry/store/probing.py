"""Detect quickly that a lost store is available again."""

from papayapick.clients.exceptions import TableUnavailable
from papayapick.entry.cell.peers import HOSTS_PARTITION
from papayapick.entry.events import STORE_FOUND
from papayapick.ownership.pools import CELL_TABLE

__all__ = ["StoreProbe"]

# Interval of the checks whether the store is lost.
_CHECK_INTERVAL_SECONDS = 0.05
# Interval of the calls to a lost store. Nine hosts make 54 calls a second during an
# outage; a refused caller retries for three seconds at most.
_PROBE_INTERVAL_SECONDS = 0.15
# An available store answers a short read in 10 ms, or in 0.6 s if 60 times slower.
_PROBE_TIMEOUT_SECONDS = 0.7


class StoreProbe:
    """Call a lost store repeatedly until it answers.

    The tasks that follow tables detect its return only after their pending call has
    timed out. That is up to 0.8 s late, and callers whose jobs could have been stored
    would be refused meanwhile.

    Parameters
    ----------
    store : Store
    health : StoreHealth
    clock : Clock
    stopping : threading.Event
    on_return : callable
        Called when the store answers again.
    """

    __slots__ = ("_clock", "_health", "_on_return", "_stopping", "_store")

    def __init__(self, store, health, clock, stopping, on_return):
        self._store = store
        self._health = health
        self._clock = clock
        self._stopping = stopping
        self._on_return = on_return

    def run(self):
        """Probe the store whenever it is lost, until the process stops."""
        while not self._stopping.is_set():
            self._clock.wait(self._stopping, _CHECK_INTERVAL_SECONDS)
            if self._health.is_lost():
                self.probe_once()
                self._clock.wait(self._stopping, _PROBE_INTERVAL_SECONDS)

    def probe_once(self):
        """Call the store once; return whether it has answered."""
        try:
            self._store.read(
                CELL_TABLE, HOSTS_PARTITION, limit=1, seconds=_PROBE_TIMEOUT_SECONDS
            )
        except TableUnavailable:
            # Not logged: the loss of the store has been logged already.
            return False
        lost_at = self._health.lost_at()
        self._health.note_answer()
        if lost_at is not None:
            away_seconds = self._clock.monotonic() - lost_at
            STORE_FOUND.write(away_seconds=round(away_seconds, 3))
            self._on_return()
        return True
