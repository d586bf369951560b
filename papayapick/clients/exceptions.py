"""Errors of calls to the platform's services."""

from papayapick.exceptions import PapayapickError

__all__ = [
    "AnswerCut",
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
    "TableAnswerCut",
    "TableUnavailable",
    "TaskRefused",
    "TransactionConflict",
    "WorkerUnreachable",
]


class PlatformError(PapayapickError):
    """Stand for any error of a service of the platform."""

    code = "platform.error"


class NotSent(PlatformError):
    """Report an HTTP request that was not sent, so it had no effect."""

    code = "platform.not-sent"
    template = "could not connect to {url}; nothing was sent"


class AnswerMissing(PlatformError):
    """Report an HTTP request without a complete answer; it may have had an effect."""

    code = "platform.answer-missing"
    template = "no complete answer from {url}"


class AnswerCut(AnswerMissing):
    """Report an answer of which only a part arrived in time."""

    code = "platform.answer-cut"
    template = (
        "answer from {url} cut off after {received_bytes} bytes, {missing_bytes} more "
        "were expected"
    )


class AnswerInvalid(PlatformError):
    """Report an answer that is malformed or belongs to another request."""

    code = "platform.answer-invalid"
    template = "answer from {url} refused: {reason}"


class TableUnavailable(PlatformError):
    """Report a table that did not answer; a write may have been applied."""

    code = "table.unavailable"
    template = "the table did not answer"


class TableAnswerCut(TableUnavailable):
    """Report an answer of a table of which only a part arrived in time."""

    code = "table.answer-cut"
    template = (
        "the table's answer was cut off after {received_bytes} bytes, {missing_bytes} "
        "more were expected"
    )


class TransactionConflict(PlatformError):
    """Report a condition that did not hold; nothing was written."""

    code = "table.conflict"
    template = "row {key} is not as the transaction expects"


class ObjectsUnavailable(PlatformError):
    """Report an object store that did not answer or refused a call."""

    code = "objects.unavailable"
    template = "the object store did not answer"


class ObjectMissing(PlatformError):
    """Report an object that does not exist."""

    code = "objects.missing"
    template = "object {name} is missing"


class HostListUnavailable(PlatformError):
    """Report a live list that could not be fetched or decoded."""

    code = "hosts.unavailable"
    template = "the live list could not be read"


class HostLeaving(PlatformError):
    """Report a backend server whose answer says that it accepts no new work."""

    code = "platform.host-leaving"
    template = "backend server {url} is leaving"


class WorkerUnreachable(PlatformError):
    """Report a worker without a valid answer; the call may have taken effect."""

    code = "worker.unreachable"
    template = "worker {worker} did not answer"


class StaleEpoch(PlatformError):
    """Report a call that was refused because a newer owner has fenced its epoch."""

    code = "worker.stale-epoch"
    template = "{target} has seen an epoch newer than {epoch}"


class TaskRefused(PlatformError):
    """Report a task that a worker refused to start; it did not run."""

    code = "worker.task-refused"
    template = "worker {worker} refused the task: {reason}"


class StoreRefused(TableUnavailable):
    """Report a call that the store refused or did not receive; it had no effect."""

    code = "store.refused"
    template = "the store refused a call or could not be reached"


class ConditionFailed(PlatformError):
    """Report a transaction with a condition that did not hold; nothing was written.

    Parameters
    ----------
    rows : list of StoredRow
        The current rows of the conditions, as far as they exist.
    """

    code = "store.condition-failed"
    template = "a condition of the transaction did not hold"

    def __init__(self, rows):
        super().__init__()
        self.rows = rows


class HistoryLost(PlatformError):
    """Report that the store no longer has all changes since a version."""

    code = "store.history-lost"
    template = "the change history of table {table} is incomplete; read the table again"
