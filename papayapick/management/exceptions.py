"""Errors of the command line."""

from papayapick.exceptions import PapayapickError

__all__ = [
    "ArgumentInvalid",
    "CommandError",
    "CommandUnknown",
    "ConfigurationMissing",
    "FileUnreadable",
    "FileUnwritable",
    "JobMissing",
    "NoWaitLogged",
    "NotAcknowledged",
    "OwnerMissing",
    "RequestIdInvalid",
    "RequestNotLogged",
    "SpanInvalid",
    "RollInterrupted",
    "RollUnsettled",
    "SigningKeyInvalid",
]


class CommandError(PapayapickError):
    """Stand for any error of a command."""

    code = "command.error"


class CommandUnknown(CommandError):
    """Report a command that does not exist."""

    code = "command.unknown"
    template = "there is no command {name}; known are {known}"


class FileUnreadable(CommandError):
    """Report a file that can't be read."""

    code = "command.file-unreadable"
    template = "{path} can't be read: {reason}"


class NotAcknowledged(CommandError):
    """Report processes that have not acknowledged a bundle."""

    code = "command.not-acknowledged"
    template = "not acknowledged by {hosts}; the bundle was not accepted"


class ArgumentInvalid(CommandError):
    """Report an argument that is not allowed."""

    code = "command.argument-invalid"
    template = "{flag}={given!r}: allowed is {allowed}"


class ConfigurationMissing(CommandError):
    """Report that the operator has written no configuration yet."""

    code = "command.configuration-missing"
    template = "the store holds no configuration"


class JobMissing(CommandError):
    """Report an id under which no pool has a job."""

    code = "command.job-missing"
    template = "no pool has job {identifier}; it may be over for more than two minutes"


class RequestNotLogged(CommandError):
    """Report an id that no line of the given logs names."""

    code = "command.request-not-logged"
    template = (
        "none of {lines} lines names {request_id}; hint: give the logs of all hosts"
    )


class NoWaitLogged(CommandError):
    """Report logs that tell of no step that waited."""

    code = "command.no-wait-logged"
    template = "none of {lines} lines tells of a wait; hint: give the owner's log"


class SpanInvalid(CommandError):
    """Report a length of time that is no whole number of seconds above 0."""

    code = "command.span-invalid"
    template = "--every must be a whole number of seconds above 0, not {given!r}"


class RequestIdInvalid(CommandError):
    """Report a text that can't be the id of a durable request."""

    code = "command.request-id-invalid"
    template = "{request_id!r} names no shard; hint: take it from Location"


class OwnerMissing(CommandError):
    """Report a shard whose owner is not on the live list."""

    code = "command.owner-missing"
    template = "shard {shard} belongs to {owner}, which is not on the live list"


class FileUnwritable(CommandError):
    """Report a file that can't be written."""

    code = "command.file-unwritable"
    template = "{path} can't be written: {reason}"


class SigningKeyInvalid(CommandError):
    """Report a file that holds no private key; its text is never shown."""

    code = "command.signing-key-invalid"
    template = "{path} holds no unencrypted Ed25519 private key"


class RollInterrupted(CommandError):
    """Report a roll that its operator ended before the acceptance."""

    code = "command.roll-interrupted"
    template = "interrupted; the bundle was not accepted"


class RollUnsettled(CommandError):
    """Report an acceptance whose answer was lost."""

    code = "command.roll-unsettled"
    template = (
        "the table did not answer; whether {digest} was accepted as sequence "
        "{sequence} is not known; hint: papayapick bundle status"
    )
