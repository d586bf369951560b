"""Durable records of work, written in segments by the owner of a shard."""

from papayapick.journal.exceptions import (
    JournalError,
    JournalFenced,
    JournalUnavailable,
    JournalUnsettled,
    KeyReused,
    WorkUnknown,
)
from papayapick.journal.records import (
    Accepted,
    Cancelled,
    Ended,
    Record,
    Started,
    record_from_mapping,
)
from papayapick.journal.work import WorkIndex, WorkItem
from papayapick.journal.writer import Journal

__all__ = [
    "Accepted",
    "Cancelled",
    "Ended",
    "Journal",
    "JournalError",
    "JournalFenced",
    "JournalUnavailable",
    "JournalUnsettled",
    "KeyReused",
    "Record",
    "Started",
    "WorkIndex",
    "WorkItem",
    "WorkUnknown",
    "record_from_mapping",
]
