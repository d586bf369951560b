"""A table whose next transactions go as a test says, one by one."""

from papayapick.clients import TableUnavailable
from tests.standins.store import MemoryTable

DONE_UNANSWERED = "done, answer lost"
UNDONE_UNANSWERED = "not done, no answer"
LATE = "done late, no answer"


class ScriptedTable(MemoryTable):
    """Follow a list of steps; a callable is run first, and the next step taken."""

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
        """Let the first late transaction take effect, or fail on its conditions."""
        conditions, writes = self.late.pop(0)
        super().transact(conditions, writes)
