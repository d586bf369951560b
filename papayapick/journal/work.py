"""Fold records into the state of each request."""

from papayapick.journal.exceptions import KeyReused, WorkUnknown
from papayapick.journal.records import Accepted, Started

__all__ = ["ENDED", "RUNNING", "WAITING", "WorkBook", "WorkItem"]

WAITING = "waiting"
RUNNING = "running"
ENDED = "ended"
NOT_RUN = "not_run"
UNKNOWN = "unknown"


class WorkItem:
    """Hold the state of one request.

    Parameters
    ----------
    accepted : Accepted
    """

    __slots__ = ("accepted", "ended", "started")

    def __init__(self, accepted):
        self.accepted = accepted
        self.started = None
        self.ended = None

    @property
    def request_id(self):
        """Return the id of the request."""
        return self.accepted.request_id

    @property
    def state(self):
        """Return ``waiting``, ``running`` or ``ended``."""
        if self.ended is not None:
            return ENDED
        return RUNNING if self.started is not None else WAITING

    @property
    def attempts(self):
        """Return how often the work has been started."""
        return self.started.attempt if self.started else 0

    @property
    def refusal(self):
        """Return the outcome of giving up now.

        Once a start is journaled the work may have run, whatever came of it.
        """
        return NOT_RUN if self.started is None else UNKNOWN

    def records(self):
        """Return the records that give this state again."""
        found = (self.accepted, self.started, self.ended)
        return [record for record in found if record is not None]


class WorkBook:
    """Hold the requests of one shard by id."""

    __slots__ = ("_items",)

    def __init__(self):
        self._items = {}

    def __len__(self):
        return len(self._items)

    @property
    def items(self):
        """Return all requests."""
        return list(self._items.values())

    def apply(self, record):
        """Fold in one record; a later record of a request goes before earlier.

        Once a request has ended its outcome never changes: a caller may have
        heard it.
        """
        if isinstance(record, Accepted):
            self._items.setdefault(record.request_id, WorkItem(record))
            return
        item = self.get(record.request_id)
        if item.ended is not None:
            return
        if isinstance(record, Started):
            item.started = record
        elif record.outcome != NOT_RUN or item.started is None:
            item.ended = record
        # A refusal that comes after a start, such as a cancel queued behind it,
        # is void: the runner may have sent the work already, and the caller
        # would hear "not run" of work that runs. The journal's order decides.

    def get(self, request_id):
        """Return a request; raise WorkUnknown."""
        try:
            return self._items[request_id]
        except KeyError:
            raise WorkUnknown(request_id=request_id) from None

    def find_repeat(self, request_id, payload_digest):
        """Return a request seen before under the same key, or None.

        Raises
        ------
        KeyReused
            The payload is another one.
        """
        item = self._items.get(request_id)
        if item is not None and item.accepted.payload_digest != payload_digest:
            raise KeyReused(request_id=request_id)
        return item

    def forget(self, request_id):
        """Drop a request whose outcome has been kept long enough."""
        self._items.pop(request_id, None)
