"""Errors of the platform's interfaces."""

from papayapick.clients.exceptions import PlatformError, TableUnavailable
from papayapick.exceptions import PapayapickError

__all__ = [
    "BodyInvalid",
    "CheckFailed",
    "ConditionFailed",
    "HistoryLost",
    "PlatformSettingsInvalid",
    "StoreRefused",
    "WorkerSilent",
]


class BodyInvalid(PapayapickError):
    """Report a body that is not what its sender should have sent."""

    code = "platform.body-invalid"
    template = "body refused: {reason}"


class PlatformSettingsInvalid(PapayapickError):
    """Report a settings file that can't be read or lacks a field."""

    code = "platform.settings-invalid"
    template = "settings file {path}: {reason}"


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


class WorkerSilent(PlatformError):
    """Report a worker that gave no answer; the call may take effect, also later."""

    code = "worker.silent"
    template = "worker {worker} did not answer"


class CheckFailed(PlatformError):
    """Report a service that refused a call without doing anything."""

    code = "platform.refused"
    template = "{address} refused the call with {status}"
