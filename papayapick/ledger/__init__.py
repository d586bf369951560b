"""Ledgers of the reserved resources of hosts and slots of instances.

All amounts are integers, and no reservation exceeds the free amounts.
"""

from papayapick.ledger.amounts import Amounts
from papayapick.ledger.exceptions import (
    HostFull,
    HostUnknown,
    JobNeverFits,
    LedgerError,
    NeverFits,
    ReservationUnknown,
)
from papayapick.ledger.hosts import HostLedger
from papayapick.ledger.slots import SlotLedger

__all__ = [
    "Amounts",
    "HostFull",
    "HostLedger",
    "HostUnknown",
    "JobNeverFits",
    "LedgerError",
    "NeverFits",
    "ReservationUnknown",
    "SlotLedger",
]
