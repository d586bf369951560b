"""Errors of the clients and decoders for the platform's HTTP interfaces."""

from papayapick.clients.exceptions import PlatformError
from papayapick.exceptions import PapayapickError

__all__ = [
    "BodyInvalid",
    "CallFailed",
    "PlatformSettingsInvalid",
    "WorkerSilent",
]


class BodyInvalid(PapayapickError):
    """Report a body that does not match the format of its kind."""

    code = "platform.body-invalid"
    template = "body refused: {reason}"


class PlatformSettingsInvalid(PapayapickError):
    """Report a settings file that is unreadable, incomplete or of a wrong type."""

    code = "platform.settings-invalid"
    template = "settings file {path}: {reason}"


class WorkerSilent(PlatformError):
    """Report a worker without a valid answer; the call may still take effect."""

    code = "worker.silent"
    template = "worker {worker} did not answer"


class CallFailed(PlatformError):
    """Report a call that a service refused or a query without a valid answer.

    The call had no effect. ``status`` is the HTTP status, or 0 without an answer.
    """

    code = "platform.refused"
    template = "call to {address} failed with status {status}"
