"""Build the state of each request from the records of the journal."""

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
        # Whether any byte was sent, as known by the process that runs the work. Work
        # whose start is journaled may be reported as "not run" only if none was.
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
        """Return the number of times the work was started."""
        return self.started.attempt if self.started else 0

    @property
    def refusal_outcome(self):
        """Return the outcome if the request is refused now."""
        return UNKNOWN if self.may_have_run else NOT_RUN

    def records(self):
        """Return the records that reproduce this state."""
        found = (self.accepted, self.started, self.ended)
        return [record for record in found if record is not None]


class WorkIndex:
    """Index the requests of one shard by id."""

    __slots__ = ("_items",)

    def __init__(self):
        self._items = {}

    def __len__(self):
        return len(self._items)

    @property
    def items(self):
        """Return all requests."""
        return list(self._items.values())

    @property
    def is_recorded(self):
        """Return whether the journal shows all that this process knows of requests.

        It does not while a start is journaled whose request was not sent, since the
        answer to its write was lost or nobody listened: only this process knows that
        it has not run. Jobs with members are left out: their hosts report what runs.
        """
        return not any(
            item.state == RUNNING
            and not item.may_have_run
            and item.accepted.job is None
            for item in self._items.values()
        )

    def apply(self, record):
        """Apply one record; later records of a request replace earlier ones.

        Once a request has ended its outcome never changes, because a caller may
        have received it.
        """
        if isinstance(record, Accepted):
            self._items.setdefault(record.request_id, WorkItem(record))
            return
        item = self._items.get(record.request_id)
        # Records of removed or ended requests have no effect.
        if item is None or item.ended is not None:
            return
        if isinstance(record, Started):
            item.started = record
        elif isinstance(record, Cancelled):
            self._cancel(item, record)
        else:
            item.ended = record

    def mark_started_as_run(self):
        """Assume that started work has run: only the earlier owner knew otherwise."""
        for item in self._items.values():
            item.may_have_run = item.started is not None

    @staticmethod
    def _cancel(item, record):
        # The order of the journal decides a race with the start: a cancellation after
        # the start would report work as "not run" that is being sent.
        if item.started is None:
            item.ended = record.as_ended()

    def get(self, request_id):
        """Return the request with an id; raise WorkUnknown."""
        try:
            return self._items[request_id]
        except KeyError:
            raise WorkUnknown(request_id=request_id) from None

    def find_duplicate(self, request_id, payload_digest):
        """Return the earlier request under the same idempotency key, or None.

        Raises
        ------
        KeyReused
            The earlier request had a different payload.
        """
        item = self._items.get(request_id)
        if item is not None and item.accepted.payload_digest != payload_digest:
            raise KeyReused(request_id=request_id)
        return item

    def remove_ended_before(self, time):
        """Remove requests that ended before a time in seconds since the epoch."""
        for request_id, item in list(self._items.items()):
            if item.ended is not None and item.ended.time < time:
                del self._items[request_id]
