"""Errors of the platform's interfaces."""

from papayapick.clients.exceptions import PlatformError
from papayapick.exceptions import PapayapickError

__all__ = [
    "BodyInvalid",
    "CheckFailed",
    "PlatformSettingsInvalid",
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


class WorkerSilent(PlatformError):
    """Report a worker that gave no answer; the call may take effect, also later."""

    code = "worker.silent"
    template = "worker {worker} did not answer"


class CheckFailed(PlatformError):
    """Report a service that refused a call without doing anything."""

    code = "platform.refused"
    template = "{address} refused the call with {status}"
