"""Errors of the command line."""

from papayapick.exceptions import PapayapickError

__all__ = ["CommandError", "CommandUnknown", "FileUnreadable", "NotAcknowledged"]


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
