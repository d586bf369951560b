"""Fold records into the state of each request."""

from papayapick.journal.exceptions import KeyReused, WorkUnknown
from papayapick.journal.records import Accepted, Cancelled, Started

__all__ = ["ENDED", "RUNNING", "WAITING", "WorkIndex", "WorkItem"]

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

    __slots__ = ("accepted", "ended", "may_have_run", "started")

    def __init__(self, accepted):
        self.accepted = accepted
        # Kept by the process that runs it: whether a byte was ever sent. Only
        # without one is "not run" said of work whose start is journaled.
        self.may_have_run = False
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
    def refusal_outcome(self):
        """Return the outcome of giving up now."""
        return UNKNOWN if self.may_have_run else NOT_RUN

    def records(self):
        """Return the records that give this state again."""
        found = (self.accepted, self.started, self.ended)
        return [record for record in found if record is not None]


class WorkIndex:
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
        item = self._items.get(record.request_id)
        # A record of a request that was forgotten since tells nothing new.
        if item is None or item.ended is not None:
            return
        if isinstance(record, Started):
            item.started = record
        elif isinstance(record, Cancelled):
            self._cancel(item, record)
        else:
            item.ended = record

    def mark_started_as_run(self):
        """Take every start for a run: its owner's knowledge died with it."""
        for item in self._items.values():
            item.may_have_run = item.started is not None

    @staticmethod
    def _cancel(item, record):
        # The journal's order decides a race with the start: behind it, "not
        # run" would be told of work that is being sent.
        if item.started is None:
            item.ended = record.as_ended()

    def get(self, request_id):
        """Return a request; raise WorkUnknown."""
        try:
            return self._items[request_id]
        except KeyError:
            raise WorkUnknown(request_id=request_id) from None

    def find_duplicate(self, request_id, payload_digest):
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

    def remove_ended_before(self, time):
        """Drop the requests that ended before a time, in seconds since the epoch."""
        for request_id, item in list(self._items.items()):
            if item.ended is not None and item.ended.time < time:
                del self._items[request_id]
