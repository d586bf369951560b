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
    """Base class of journal errors."""

    code = "journal.error"
    outcome = "unknown"
    retry_after = 1.0


class JournalUnavailable(JournalError):
    """Report a journal that accepts no records; nothing was written."""

    code = "journal.unavailable"
    template = "the journal of shard {shard} accepts no records at present"
    outcome = "not_run"


class JournalUnsettled(JournalError):
    """Report a record that may have been written, since the answer was lost."""

    code = "journal.unsettled"
    template = (
        "it is not known yet whether the journal of shard {shard} holds the record"
    )


class JournalFenced(JournalError):
    """Report a journal whose shard has a newer owner; nothing was written."""

    code = "journal.fenced"
    template = "shard {shard} has a newer owner"
    outcome = "not_run"
    retry_after = 0.05


class KeyReused(JournalError):
    """Report an idempotency key that was reused with a different payload."""

    code = "journal.key-reused"
    template = (
        "the idempotency key of request {request_id} was used with another payload"
    )
    outcome = "not_run"
    retry_after = 0


class WorkUnknown(JournalError):
    """Report a request that is not in the shard's journal."""

    code = "journal.work-unknown"
    template = "request {request_id} is not known"
    retry_after = 0
