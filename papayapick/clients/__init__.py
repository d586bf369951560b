"""Clients of the platform's services: table, object store, workers, instances."""

from papayapick.clients.exceptions import (
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
from papayapick.clients.hosts import HostEntry, HostList
from papayapick.clients.http import HttpAnswer, HttpPool
from papayapick.clients.instances import InstanceClient
from papayapick.clients.objects import ObjectStore
from papayapick.clients.table import Row, Table
from papayapick.clients.types import Condition, ObjectsProtocol, TableProtocol, Write
from papayapick.clients.workers import WorkerClient

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
