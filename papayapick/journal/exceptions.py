"""Errors of the journal."""

from papayapick.exceptions import PapayapickError

__all__ = [
    "JournalError",
    "JournalFenced",
    "JournalUnavailable",
    "JournalUnsettled",
    "KeyReused",
    "WorkUnknown",
]


class JournalError(PapayapickError):
    """Stand for any error of the journal."""

    code = "journal.error"
    outcome = "unknown"
    retry_after = 1.0


class JournalUnavailable(JournalError):
    """Report a journal that takes no records; nothing was written."""

    code = "journal.unavailable"
    template = "the journal of shard {shard} takes no records now"
    outcome = "not_run"


class JournalUnsettled(JournalError):
    """Report a record that may have been written: the answer was lost."""

    code = "journal.unsettled"
    template = "whether shard {shard} holds the record is not known yet"


class JournalFenced(JournalError):
    """Report a journal whose shard has a newer owner; nothing was written."""

    code = "journal.fenced"
    template = "shard {shard} has a newer owner"
    outcome = "not_run"
    retry_after = 0.05


class KeyReused(JournalError):
    """Report an idempotency key that came with another payload."""

    code = "journal.key-reused"
    template = "the idempotency key of request {request_id} had another payload"
    outcome = "not_run"
    retry_after = 0


class WorkUnknown(JournalError):
    """Report a request that the shard's journal does not hold."""

    code = "journal.work-unknown"
    template = "request {request_id} is not known"
    retry_after = 0
