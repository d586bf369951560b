"""The process around the owner of a fault simulation, and the queues of its jobs."""

from papayapick.clients.rows import StoredRow
from papayapick.clock import ManualClock
from papayapick.jobs import Queue
from tests.pool.standins import Host

__all__ = ["PATIENT", "QUEUE", "NonBlockingClock", "WritableHost"]

QUEUE = Queue("q", "h", "/q/", "pool", 0, 1000, 1.5, 0.5, 3.0, True, None)
PATIENT = Queue("p", "h", "/p/", "pool", 2, 1000, 2.2, 1.2, 3.0, True, None)


class NonBlockingClock(ManualClock):
    """Return at once from waits; only the steps of the simulation advance the time."""

    def wait(self, event, seconds):
        return event.is_set()


class WritableHost(Host):
    """Store the rows of commits."""

    def __init__(self):
        super().__init__()
        self.clock = NonBlockingClock(1000.0)
        self._version = 10

    def queue_of(self, document):
        return PATIENT if document.queue == PATIENT.name else QUEUE

    def broadcast(self, owner):
        pass

    def note_answer(self):
        pass

    def transact(self, expectations, writes, seconds=None):
        self._version += 1
        for write in writes:
            place = (write.table, write.partition)
            rows = self.rows.setdefault(place, [])
            rows[:] = [row for row in rows if row.key != write.key]
            row = StoredRow(*place, write.key, write.value, self._version)
            rows.append(row)
        return self._version
