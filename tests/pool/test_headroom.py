"""Room kept free for urgent steps while patient work exceeds the pool."""

import pytest

from papayapick.jobs import Queue, Step
from papayapick.ledger import Amounts
from papayapick.overload.features import OverloadFeatures
from tests.pool.standins import PoolSimulation

WORKERS = 20
# In whole tasks, 0.06 of the pool.
KEPT = 4000
URGENT = Queue("u", "h", "/u/", "pool", 0, 4, 1.5, 0.5, 3.0, False, None)
PATIENT = Queue("p", "h", "/p/", "pool", 2, 2, 2.2, 1.2, 3.0, False, None)
SECONDS = 0.4
OBJECTIVE = 1.5 * SECONDS + 0.5


class MixedLoad:
    """Urgent jobs in waves beside patient work that fills the pool by itself."""

    def __init__(self):
        self.load = PoolSimulation(workers=WORKERS, length=SECONDS)
        self.load._length_of = self._length_of
        self._patient = set()
        self.urgent = []

    def _length_of(self, name):
        key, _ = name
        return 8.0 if key.job in self._patient else SECONDS

    def submit_patient(self, tasks):
        step = Step(tasks, Amounts(1000, 10), 8.0)
        self._patient.add(self.load.submit_step(step, PATIENT))

    def submit_urgent(self, tasks):
        step = Step(tasks, Amounts(1000, 10), SECONDS)
        self.urgent.append(self.load.submit_step(step, URGENT))

    def run(self, seconds):
        """Submit a wave of urgent jobs every second, and patient ones all the time."""
        for second in range(seconds):
            self.submit_patient(12)
            for _ in range(3 if second % 2 else 1):
                self.submit_urgent(4)
            self.load.run(1.0)

    def in_time(self, identifiers):
        load = self.load
        took = [
            load.finished.get(one, load.now) - load.submitted_at[one]
            for one in identifiers
        ]
        return sum(seconds <= OBJECTIVE for seconds in took) / len(took)


def test_urgent_jobs_are_in_time_beside_patient_work_that_fills_the_pool():
    """Guards against urgent tasks that wait until a task of seconds ends.

    Tasks of the patient queue have no checkpoints, so none of them can be stopped.
    """
    mixed = MixedLoad()
    mixed.run(4)
    first = len(mixed.urgent)
    mixed.run(24)
    mixed.load.run(4.0)
    assert mixed.in_time(mixed.urgent[first:]) > 0.9


def test_patient_work_takes_all_room_but_a_bounded_share():
    """Guards against room that stands idle, however many urgent jobs came once."""
    mixed = MixedLoad()
    for _ in range(30):
        mixed.submit_urgent(4)
    mixed.load.run(4.0)
    mixed.submit_patient(200)
    mixed.load.run(1.0)
    free = mixed.load.owner.rooms.free_processors
    assert free == KEPT
    mixed.load.run(10.0)
    assert mixed.load.owner.rooms.free_processors == 0


def test_nothing_is_kept_free_without_a_more_urgent_queue():
    mixed = MixedLoad()
    mixed.submit_patient(200)
    mixed.load.run(1.0)
    assert mixed.load.owner.rooms.free_processors == 0


def test_lasting_tasks_take_room_that_is_kept():
    """Guards against a service that is down beside workers with room for it."""
    mixed = MixedLoad()
    for _ in range(30):
        mixed.submit_urgent(4)
    mixed.load.run(4.0)
    lasting = Step(4 * WORKERS, Amounts(1000, 10), is_lasting=True)
    mixed.load.submit_step(lasting, PATIENT)
    mixed.load.run(0.2)
    assert mixed.load.owner.rooms.free_processors == 0


def test_room_is_kept_for_the_next_queue_once_a_more_urgent_one_is_idle():
    """Guards against a queue that is never the urgent one, since another once was."""
    mixed = MixedLoad()
    mixed.submit_urgent(4)
    mixed.load.run(12.0)
    middle = Queue("m", "h", "/m/", "pool", 1, 4, 1.5, 0.5, 3.0, False, None)
    step = Step(40, Amounts(1000, 10), SECONDS)
    mixed.load.submit_step(step, middle)
    mixed.load.run(1.0)
    mixed.submit_patient(200)
    mixed.load.run(1.0)
    assert mixed.load.owner.rooms.free_processors >= KEPT


def test_nothing_is_kept_free_while_much_of_the_pool_is():
    """Guards against a large task that waits although its only worker is empty."""
    mixed = MixedLoad()
    for _ in range(30):
        mixed.submit_urgent(4)
    mixed.load.run(4.0)
    mixed.submit_patient(2 * WORKERS)
    mixed.load.run(0.2)
    large = mixed.load.submit_step(Step(4, Amounts(4000, 10), 8.0), PATIENT)
    mixed.load.run(0.2)
    (step,) = mixed.load.owner.job_registry.get(large).steps()
    assert len(step.active_runs()) == 4


def _after_burst(is_in_use=True):
    """Return a pool in which a burst of urgent jobs has just ended."""
    mixed = MixedLoad()
    mixed.load.owner.knowledge.features = OverloadFeatures(is_in_use)
    for _ in range(30):
        mixed.submit_urgent(4)
    mixed.load.run(4.0)
    return mixed


def _submit_with_checkpoints(mixed):
    step = Step(200, Amounts(1000, 10), 8.0, has_checkpoints=True)
    mixed._patient.add(mixed.load.submit_step(step, PATIENT))


@pytest.mark.parametrize("is_in_use", [False, True])
def test_room_is_lent_to_tasks_that_can_be_stopped_for_urgent_ones(is_in_use):
    """Guards against room that is idle although a stop would make it free in time."""
    mixed = _after_burst(is_in_use)
    _submit_with_checkpoints(mixed)
    mixed.load.run(1.0)
    free = mixed.load.owner.rooms.free_processors
    assert free == (0 if is_in_use else KEPT)


def test_tasks_that_cannot_be_stopped_are_lent_no_room():
    mixed = _after_burst()
    mixed.submit_patient(200)
    mixed.load.run(1.0)
    assert mixed.load.owner.rooms.free_processors == KEPT


def test_new_owner_keeps_room_for_the_peak_that_the_earlier_one_saw():
    """Guards against a pool that patient tasks fill in the second after a takeover."""
    earlier = _after_burst()
    record = earlier.load.owner.rooms.headroom.as_record(earlier.load.now)
    later = MixedLoad()
    later.load.owner.knowledge.features = OverloadFeatures(expects_overload=True)
    later.load.owner.rooms.headroom.restore(record, 2.0)
    later.submit_patient(200)
    later.load.run(1.0)
    assert later.load.owner.rooms.free_processors == KEPT
    later.load.run(10.0)
    assert later.load.owner.rooms.free_processors == 0


def test_old_peak_and_none_are_left_out():
    """Guards against an owner without a peak that keeps room, or fails."""
    earlier = _after_burst()
    record = earlier.load.owner.rooms.headroom.as_record(earlier.load.now)
    later = MixedLoad()
    headroom = later.load.owner.rooms.headroom
    assert headroom.as_record(later.load.now) is None
    headroom.restore(record, 10.0)
    later.submit_patient(200)
    later.load.run(1.0)
    assert later.load.owner.rooms.free_processors == 0


@pytest.mark.parametrize(
    ("record", "error"),
    [
        ({}, LookupError),
        ([], TypeError),
        (
            {"priority": 0, "task_processors": 0, "wanted": 1, "age_seconds": 1.0},
            ValueError,
        ),
        (
            {"priority": "x", "task_processors": 1, "wanted": 1, "age_seconds": 1.0},
            ValueError,
        ),
    ],
)
def test_unreadable_peak_changes_nothing(record, error):
    headroom = MixedLoad().load.owner.rooms.headroom
    with pytest.raises(error):
        headroom.restore(record, 0.0)
    assert headroom.priority == float("inf")


def test_nothing_is_recorded_unless_overload_is_expected():
    mixed = _after_burst(is_in_use=False)
    assert mixed.load.owner.rooms.headroom.as_record(mixed.load.now) is None


def test_peak_is_in_the_memory_that_the_next_owner_reads():
    """Guards against a new owner that keeps no room until the next peak is over."""
    mixed = MixedLoad()
    owner = mixed.load.owner
    owner.knowledge.features = OverloadFeatures(expects_overload=True)
    mixed.run(4)
    owner.memory.take_changed(mixed.load.now)
    writes = owner.memory.take_changed(mixed.load.now + 10.0)
    assert "learned-urgent-peak-0" in {write.key for write in writes}
