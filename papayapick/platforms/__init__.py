"""The platform's services, by their published protocols."""

from papayapick.platforms.exceptions import (
    AnswerInvalid,
    AnswerMissing,
    HostListUnavailable,
    NotSent,
    ObjectMissing,
    ObjectsUnavailable,
    PlatformError,
    StaleEpoch,
    TableUnavailable,
    TaskRefused,
    TransactionConflict,
    WorkerUnreachable,
)
from papayapick.platforms.hosts import HostEntry, HostList
from papayapick.platforms.http import HttpAnswer, HttpPool
from papayapick.platforms.instances import InstanceClient
from papayapick.platforms.objects import ObjectStore
from papayapick.platforms.table import Row, Table
from papayapick.platforms.types import Condition, ObjectsProtocol, TableProtocol, Write
from papayapick.platforms.workers import WorkerClient

__all__ = [
    "AnswerInvalid",
    "AnswerMissing",
    "Condition",
    "HostEntry",
    "HostList",
    "HostListUnavailable",
    "HttpAnswer",
    "HttpPool",
    "InstanceClient",
    "NotSent",
    "ObjectMissing",
    "ObjectStore",
    "ObjectsProtocol",
    "ObjectsUnavailable",
    "PlatformError",
    "Row",
    "StaleEpoch",
    "Table",
    "TableProtocol",
    "TableUnavailable",
    "TaskRefused",
    "TransactionConflict",
    "WorkerClient",
    "WorkerUnreachable",
    "Write",
]
