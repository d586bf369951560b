"""Collect the commands, each of which has a module."""

from papayapick.management.commands.bundle import BundleCommand
from papayapick.management.commands.cell import CellCommand
from papayapick.management.commands.check import CheckCommand
from papayapick.management.commands.key import KeyCommand
from papayapick.management.commands.logs import LogsCommand
from papayapick.management.commands.pool import PoolCommand
from papayapick.management.commands.queue import QueueCommand
from papayapick.management.commands.request import RequestCommand
from papayapick.management.commands.team import TeamCommand
from papayapick.management.commands.worker import WorkerCommand

__all__ = ["COMMANDS"]

_COMMAND_CLASSES = (
    BundleCommand,
    CellCommand,
    CheckCommand,
    KeyCommand,
    LogsCommand,
    PoolCommand,
    QueueCommand,
    RequestCommand,
    TeamCommand,
    WorkerCommand,
)
COMMANDS = {command.name: command for command in _COMMAND_CLASSES}
