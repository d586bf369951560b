"""Notice soon that the store is back."""

from papayapick.clients.exceptions import TableUnavailable
from papayapick.entry.events import STORE_FOUND
from papayapick.entry.peers import HOSTS_PARTITION
from papayapick.ownership.pools import CELL_TABLE

__all__ = ["StoreProbe"]

# Whether the store is lost is looked at so often.
_LOOK_SECONDS = 0.05
# A lost store is asked so often. Nine hosts make 54 calls a second during an outage;
# a caller who is refused comes back within three seconds at most.
_ASK_SECONDS = 0.15
# A store that is up answers a short read in 10 ms, 60 times slower in 0.6 s.
_ANSWER_SECONDS = 0.7


class StoreProbe:
    """Ask a lost store again and again until it answers.

    The tasks that follow tables notice its return only when their waiting call has
    run into its time limit: up to 0.8 s late, in which callers were refused though
    their jobs could have been stored.

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
        """Look until the process stops."""
        while not self._stopping.is_set():
            self._clock.wait(self._stopping, _LOOK_SECONDS)
            if self._health.is_lost():
                self.ask()
                self._clock.wait(self._stopping, _ASK_SECONDS)

    def ask(self):
        """Ask once; return whether the store has answered."""
        try:
            self._store.read(
                CELL_TABLE, HOSTS_PARTITION, limit=1, seconds=_ANSWER_SECONDS
            )
        except TableUnavailable:
            # Lost is what it is known to be; its loss has been logged.
            return False
        lost_at = self._health.lost_at()
        self._health.note_answer()
        if lost_at is not None:
            away = self._clock.monotonic() - lost_at
            STORE_FOUND.write(away_seconds=round(away, 3))
            self._on_return()
        return True
