"""One module for each command."""

from papayapick.management.commands.bundle import BundleCommand
from papayapick.management.commands.check import CheckCommand
from papayapick.management.commands.key import KeyCommand

__all__ = ["COMMANDS"]

COMMANDS = {
    command.name: command for command in (BundleCommand, CheckCommand, KeyCommand)
}
