"""A table in memory whose transactions follow a script given by the test."""

from papayapick.clients import TableUnavailable
from tests.standins.store import MemoryTable

DONE_UNANSWERED = "done, answer lost"
UNDONE_UNANSWERED = "not done, no answer"
LATE = "done late, no answer"


class ScriptedTable(MemoryTable):
    """Apply, drop or delay each transaction as the next step of the script says.

    A step is one of the constants above, or None for a transaction without a fault.
    A callable step is run before the transaction, which then uses the step after it.
    """

    def __init__(self, *steps):
        super().__init__()
        self.steps = list(steps)
        self.late = []

    def transact(self, conditions, writes):
        while self.steps and callable(self.steps[0]):
            self.steps.pop(0)()
        step = self.steps.pop(0) if self.steps else None
        if step in (None, DONE_UNANSWERED):
            super().transact(conditions, writes)
        if step == LATE:
            self.late.append((conditions, writes))
        if step is not None:
            raise TableUnavailable()

    def apply_late(self):
        """Apply the oldest delayed transaction; raise if its conditions fail."""
        conditions, writes = self.late.pop(0)
        super().transact(conditions, writes)
