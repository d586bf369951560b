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
    "MetricsUnreadable",
    "NoWaitLogged",
    "NotAcknowledged",
    "OwnerMissing",
    "RequestIdInvalid",
    "RequestNotLogged",
    "RollInterrupted",
    "RollUnsettled",
    "SigningKeyInvalid",
    "SpanInvalid",
    "TeamMissing",
]


class CommandError(PapayapickError):
    """Base class of the errors of commands."""

    code = "command.error"


class CommandUnknown(CommandError):
    """Report a command that does not exist."""

    code = "command.unknown"
    template = "unknown command {name}; the commands are {known}"


class MetricsUnreadable(CommandError):
    """Report metrics of an entry host that cannot be read."""

    code = "command.metrics-unreadable"
    template = "can't read the metrics at {address}: {reason}"


class FileUnreadable(CommandError):
    """Report a file that cannot be read."""

    code = "command.file-unreadable"
    template = "{path} cannot be read: {reason}"


class NotAcknowledged(CommandError):
    """Report processes that have not acknowledged a proposed bundle."""

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


class TeamMissing(CommandError):
    """Report a name that the configuration has no team of."""

    code = "command.team-missing"
    template = "the configuration has no team {name}"


class JobMissing(CommandError):
    """Report an id under which no pool has a job."""

    code = "command.job-missing"
    template = (
        "no pool has job {identifier}; it may have ended more than two minutes ago"
    )


class RequestNotLogged(CommandError):
    """Report an id that no line of the given logs names."""

    code = "command.request-not-logged"
    template = (
        "none of {lines} lines names {request_id}; hint: give the logs of all hosts"
    )


class NoWaitLogged(CommandError):
    """Report logs without a step that waited."""

    code = "command.no-wait-logged"
    template = "none of {lines} lines shows a wait; hint: give the owner's log"


class SpanInvalid(CommandError):
    """Report a time span that is not a whole number of seconds above 0."""

    code = "command.span-invalid"
    template = "--every must be a whole number of seconds above 0, not {given!r}"


class RequestIdInvalid(CommandError):
    """Report a text that cannot be the id of a durable request."""

    code = "command.request-id-invalid"
    template = "{request_id!r} names no shard; hint: copy the id from Location"


class OwnerMissing(CommandError):
    """Report a shard whose owner is not on the live list."""

    code = "command.owner-missing"
    template = "shard {shard} belongs to {owner}, which is not on the live list"


class FileUnwritable(CommandError):
    """Report a file that cannot be written."""

    code = "command.file-unwritable"
    template = "{path} cannot be written: {reason}"


class SigningKeyInvalid(CommandError):
    """Report a file without a private key; its contents are never shown."""

    code = "command.signing-key-invalid"
    template = "{path} holds no unencrypted Ed25519 private key"


class RollInterrupted(CommandError):
    """Report a roll that its operator interrupted before the acceptance."""

    code = "command.roll-interrupted"
    template = "interrupted; the bundle was not accepted"


class RollUnsettled(CommandError):
    """Report an acceptance that the table did not answer."""

    code = "command.roll-unsettled"
    template = (
        "the table did not answer; it is not known whether {digest} was accepted as "
        "sequence {sequence}; hint: papayapick bundle status"
    )
