"""In-memory stand-ins for the services of the platform, by its published protocol."""

from tests.standins.board import FaultBoard
from tests.standins.hosts import HostsStandin
from tests.standins.instances import InstancesStandin
from tests.standins.store import MemoryObjects, MemoryTable
from tests.standins.workers import WorkersStandin

__all__ = [
    "FaultBoard",
    "HostsStandin",
    "InstancesStandin",
    "MemoryObjects",
    "MemoryTable",
    "WorkersStandin",
]
