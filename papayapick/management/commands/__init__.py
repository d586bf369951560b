"""One module for each command."""

from papayapick.management.commands.bundle import BundleCommand
from papayapick.management.commands.cell import CellCommand
from papayapick.management.commands.check import CheckCommand
from papayapick.management.commands.key import KeyCommand
from papayapick.management.commands.logs import LogsCommand
from papayapick.management.commands.pool import PoolCommand
from papayapick.management.commands.request import RequestCommand

__all__ = ["COMMANDS"]

_ALL = (
    BundleCommand,
    CellCommand,
    CheckCommand,
    KeyCommand,
    LogsCommand,
    PoolCommand,
    RequestCommand,
)
COMMANDS = {command.name: command for command in _ALL}
