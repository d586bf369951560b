"""Errors of the ledger."""

from papayapick.exceptions import PapayapickError

__all__ = [
    "HostFull",
    "HostUnknown",
    "JobNeverFits",
    "LedgerError",
    "NeverFits",
    "ReservationUnknown",
]


class LedgerError(PapayapickError):
    """Base class of the errors of the ledger."""

    code = "ledger.error"


class HostFull(LedgerError):
    """Report a host or instance without room for a demand."""

    code = "ledger.host-full"
    template = "{host} has no room for {demand}"


class HostUnknown(LedgerError):
    """Report a host that the ledger does not hold."""

    code = "ledger.host-unknown"
    template = "{host} is not in the ledger"


class ReservationUnknown(LedgerError):
    """Report a reservation that was released or never existed."""

    code = "ledger.reservation-unknown"
    template = "reservation {reservation} is not held"


class NeverFits(LedgerError):
    """Report a demand that no host of the cell could ever hold."""

    code = "ledger.never-fits"
    template = "no host of the cell could hold {demand}"
    outcome = "not_run"


class JobNeverFits(NeverFits):
    """Report a job whose members its shard could never hold all at once."""

    template = "shard {shard} could never hold {members} members of {demand}"
