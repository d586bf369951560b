"""Errors of the platform's services."""

from papayapick.exceptions import PapayapickError

__all__ = [
    "AnswerInvalid",
    "AnswerMissing",
    "ConditionFailed",
    "HistoryLost",
    "HostLeaving",
    "HostListUnavailable",
    "NotSent",
    "ObjectMissing",
    "ObjectsUnavailable",
    "PlatformError",
    "StaleEpoch",
    "StoreRefused",
    "TableUnavailable",
    "TaskRefused",
    "TransactionConflict",
    "WorkerUnreachable",
]


class PlatformError(PapayapickError):
    """Stand for any error of a service of the platform."""

    code = "platform.error"


class NotSent(PlatformError):
    """Report an HTTP request of which no byte left, so it took no effect."""

    code = "platform.not-sent"
    template = "nothing was sent to {url}"


class AnswerMissing(PlatformError):
    """Report an HTTP request that was sent and may have taken effect."""

    code = "platform.answer-missing"
    template = "no whole answer from {url}"


class AnswerInvalid(PlatformError):
    """Report an answer that is not the one to the request that was sent."""

    code = "platform.answer-invalid"
    template = "answer from {url} refused: {reason}"


class TableUnavailable(PlatformError):
    """Report a table that gave no answer; a write may have taken effect."""

    code = "table.unavailable"
    template = "the table did not answer"


class TransactionConflict(PlatformError):
    """Report a condition that did not hold; nothing was written."""

    code = "table.conflict"
    template = "row {key} is not as the transaction expects"


class ObjectsUnavailable(PlatformError):
    """Report an object store that gave no answer."""

    code = "objects.unavailable"
    template = "the object store did not answer"


class ObjectMissing(PlatformError):
    """Report an object that is not there."""

    code = "objects.missing"
    template = "object {name} is missing"


class HostListUnavailable(PlatformError):
    """Report a live list that gave no answer."""

    code = "hosts.unavailable"
    template = "the live list did not answer"


class HostLeaving(PlatformError):
    """Report a backend server that says itself that it takes no new work."""

    code = "platform.host-leaving"
    template = "{url} is leaving"


class WorkerUnreachable(PlatformError):
    """Report a worker that gave no answer; the call may have taken effect."""

    code = "worker.unreachable"
    template = "worker {worker} did not answer"


class StaleEpoch(PlatformError):
    """Report a call under an epoch that a newer owner has fenced off."""

    code = "worker.stale-epoch"
    template = "{target} has seen an epoch later than {epoch}"


class TaskRefused(PlatformError):
    """Report a task that a worker would not start; it did not run."""

    code = "worker.task-refused"
    template = "worker {worker} refused the task: {reason}"


class StoreRefused(TableUnavailable):
    """Report a call of the store that took no effect."""

    code = "store.refused"
    template = "the store refused a call"


class ConditionFailed(PlatformError):
    """Report a transaction of which a condition did not hold; nothing was written.

    Parameters
    ----------
    rows : list of StoredRow
        The rows of the conditions as they are now, those that exist.
    """

    code = "store.condition-failed"
    template = "a condition of the transaction did not hold"

    def __init__(self, rows):
        super().__init__()
        self.rows = rows


class HistoryLost(PlatformError):
    """Report that changes since a version can't be told any more."""

    code = "store.history-lost"
    template = "the history of table {table} is gone; read it again"
