"""Urgent jobs that arrive in a burst while patient tasks fill a real owner's pool."""

import random
import statistics

import pytest

from papayapick.jobs import Queue, RunPhase, Step
from papayapick.ledger import Amounts
from papayapick.overload.features import OverloadFeatures
from papayapick.overload.stops import FewestStops
from papayapick.placement.order.timeliness import latest_start, saved_seconds
from papayapick.pool.rounds import urgent_stops
from papayapick.pool.rounds.urgent_stops import UrgentStops
from tests.pool.standins import PoolSimulation

WORKERS = 30
URGENT = Queue("u", "h", "/u/", "pool", 0, 4, 1.5, 0.5, 3.0, False, None)
PATIENT = Queue("p", "h", "/p/", "pool", 2, 2, 2.2, 1.2, 3.0, False, None)
URGENT_SECONDS = 1.0
PATIENT_SECONDS = 6.0
RESTORE_SECONDS = 0.6
SEEDS = range(3)


class BurstLoad:
    """A pool full of patient tasks with checkpoints, and bursts of urgent jobs.

    Parameters
    ----------
    is_in_use : bool
    order : VictimOrder, optional
    """

    def __init__(self, is_in_use=True, order=None, workers=WORKERS):
        self.load = PoolSimulation(
            workers=workers, length=URGENT_SECONDS, restore_seconds=RESTORE_SECONDS
        )
        self.load._length_of = self._length_of
        owner = self.load.owner
        owner.knowledge.features = OverloadFeatures(is_in_use)
        if order is not None:
            owner.decisions._stops = UrgentStops(owner, order)
        self.patient, self.urgent = [], []
        self.lost = 0.0
        stop = self.load._stop
        self.load._stop = lambda run: (self._count(run), stop(run))

    def _length_of(self, name):
        key, _ = name
        return PATIENT_SECONDS if key.job in self.patient else URGENT_SECONDS

    def _count(self, run):
        self.lost += run.demand.processors / 1000 * RESTORE_SECONDS

    def submit_patient(self, tasks, cores=1, **options):
        options.setdefault("has_checkpoints", True)
        step = Step(tasks, Amounts(1000 * cores, 10), PATIENT_SECONDS, **options)
        # The identifiers of the simulation are numbers in the order of submission.
        self.patient.append(f"{len(self.load.submitted_at) + 1:016x}")
        return self.load.submit_step(step, PATIENT)

    def submit_urgent(self, tasks):
        step = Step(tasks, Amounts(1000, 10), URGENT_SECONDS)
        self.urgent.append(self.load.submit_step(step, URGENT))

    def in_time(self, identifiers, queue, seconds):
        load = self.load
        objective = queue.stretch * seconds + queue.objective_seconds
        took = [
            load.finished.get(one, load.now) - load.submitted_at[one]
            for one in identifiers
        ]
        return sum(one <= objective for one in took) / len(took)

    def run(self, seed=0):
        """Send random jobs of both queues, with bursts; return the shares in time."""
        draw = random.Random(seed)
        for tenth in range(250):
            second = tenth / 10
            patient = 1.4 * (2.3 if 3.0 <= second < 9.0 else 1.0)
            urgent = 1.0 * (2.3 if 7.0 <= second < 12.0 else 1.0)
            if draw.random() < patient / 10:
                self.submit_patient(draw.randint(2, 10), cores=draw.choice((1, 2)))
            if draw.random() < urgent / 10:
                self.submit_urgent(draw.randint(4, 24))
            self.load.run(0.1)
        self.load.run(60.0)
        assert len(self.load.finished) == len(self.load.submitted_at)
        return (
            self.in_time(self.urgent, URGENT, URGENT_SECONDS),
            self.in_time(self.patient, PATIENT, PATIENT_SECONDS),
        )

    def stopping(self):
        """Return the runs that are being stopped."""
        return [
            run
            for room in self.load.owner.rooms
            for run in room.runs.values()
            if run.phase == RunPhase.STOPPING
        ]


@pytest.fixture(scope="module")
def bursts():
    """Return by way the shares in time, the core-seconds lost and the stops."""
    ways = {
        "one at a time": lambda: BurstLoad(is_in_use=False),
        "fewest stops": lambda: BurstLoad(order=FewestStops()),
        "least loss": BurstLoad,
    }
    found = {}
    for name, build in ways.items():
        loads = [build() for _ in SEEDS]
        shares = [load.run(seed) for seed, load in zip(SEEDS, loads, strict=True)]
        urgent, patient = (statistics.mean(one) for one in zip(*shares, strict=True))
        found[name] = urgent, patient, sum(load.lost for load in loads)
    return found


def test_urgent_jobs_are_in_time_when_their_whole_need_is_stopped_for(bursts):
    """Guards against a burst for which one task at a time is stopped."""
    before, _, _ = bursts["one at a time"]
    after, _, _ = bursts["least loss"]
    assert after > 0.95
    assert after > before + 0.1


def test_less_is_lost_than_by_the_number_of_stops(bursts):
    """Guards against stops that make patient jobs late, to save a few orders."""
    _, patient, lost = bursts["least loss"]
    _, patient_before, lost_before = bursts["fewest stops"]
    assert lost < 0.8 * lost_before
    assert patient > patient_before


def test_nothing_is_stopped_for_a_job_that_would_be_late_all_the_same():
    burst = BurstLoad(workers=2)
    burst.submit_patient(8)
    burst.load.run(0.5)
    # It waits for a second before it is known, as after a takeover.
    burst.submit_urgent(4)
    (job,) = [
        burst.load.owner.job_registry.get(identifier) for identifier in burst.urgent
    ]
    job.arrived_at -= 0.9
    burst.load.run(0.5)
    assert burst.load.stops == 0


def test_nothing_is_stopped_where_room_becomes_free_in_time():
    """Guards against stops of tasks that are about to end."""
    burst = BurstLoad(workers=2)
    burst.submit_patient(8)
    burst.load.run(PATIENT_SECONDS - 0.2)
    burst.submit_urgent(4)
    burst.load.run(1.0)
    assert burst.load.stops == 0
    assert all(step.key.job not in burst.urgent for step in _waiting(burst))


def _waiting(burst):
    return burst.load.owner.job_registry.waiting_steps()


def test_stops_of_one_tenth_of_a_second_are_bounded():
    """Guards against orders that occupy all threads for stops."""
    burst = BurstLoad(workers=40)
    burst.submit_patient(160)
    burst.load.run(0.5)
    for _ in range(8):
        burst.submit_urgent(20)
    burst.load.owner.decisions.place(burst.load.now)
    counts = []
    for _ in range(6):
        burst.load.host.clock.advance(0.1)
        burst.load.owner.decisions.preempt(burst.load.now)
        counts.append(len(burst.stopping()))
    limits = [urgent_stops._MAX_STOPS * (number + 1) for number in range(6)]
    assert counts[0] > 0
    assert all(one <= limit for one, limit in zip(counts, limits, strict=True))
    assert max(counts) <= urgent_stops._MAX_STOPPING


def test_room_stays_taken_when_the_answer_to_a_stop_is_lost():
    """Guards against a start on a worker where the stopped run still uses its room.

    Others are stopped in its place once its end is overdue, elsewhere.
    """
    burst = BurstLoad(workers=4)
    burst.submit_patient(16)
    burst.load.run(0.5)
    burst.load.answers_stops = False
    burst.submit_urgent(2)
    burst.load.run(0.4)
    stopped = burst.stopping()
    assert len(stopped) == 2
    for run in stopped:
        assert run in burst.load.owner.rooms.get(run.worker).runs.values()
    assert [step.key.job for step in _waiting(burst)] == burst.urgent
    burst.load.answers_stops = True
    burst.load.run(0.4)
    assert not [step for step in _waiting(burst) if step.key.job in burst.urgent]


def test_runs_of_a_worker_that_is_cut_off_are_not_stopped():
    """Guards against orders to a worker that can't carry them out."""
    burst = BurstLoad(workers=2)
    burst.submit_patient(8)
    burst.load.run(0.5)
    burst.load.owner.rooms.get("w0").is_open = False
    burst.submit_urgent(2)
    burst.load.owner.decisions.place(burst.load.now)
    burst.load.host.clock.advance(0.2)
    burst.load.owner.decisions.preempt(burst.load.now)
    assert {run.worker for run in burst.stopping()} == {"w1"}


def test_runs_beyond_the_rate_of_their_team_are_stopped_first():
    burst = BurstLoad(workers=4)
    owed = burst.submit_patient(8)
    beyond = burst.submit_patient(8)
    burst.load.owner.job_registry.get(beyond).is_owed = False
    burst.load.run(0.5)
    burst.submit_urgent(6)
    burst.load.run(0.1)
    burst.load.answers_stops = False
    burst.load.run(0.2)
    assert {run.key.job for run in burst.stopping()} <= {beyond}
    assert owed != beyond


@pytest.mark.parametrize(
    "options", [{"has_checkpoints": False}, {"is_gang": True}, {"is_lasting": True}]
)
def test_gangs_lasting_tasks_and_those_without_checkpoints_are_not_stopped(options):
    burst = BurstLoad(workers=2)
    burst.submit_patient(8, **options)
    burst.load.run(0.5)
    burst.submit_urgent(4)
    burst.load.run(1.0)
    assert burst.load.stops == 0


def _stopped_step(burst, has_checkpoint):
    """Stop a task that is half done, and return its step once it waits."""
    burst.load._restore_seconds = RESTORE_SECONDS if has_checkpoint else None
    patient = burst.submit_patient(4)
    burst.load.run(PATIENT_SECONDS / 2)
    burst.submit_urgent(3)
    burst.load.run(0.6)
    (step,) = burst.load.owner.job_registry.get(patient).steps()
    assert step.waiting
    return step


@pytest.mark.parametrize(("has_checkpoint", "share"), [(True, 0.5), (False, 0.0)])
def test_stopped_task_counts_with_what_it_has_saved(has_checkpoint, share):
    """Guards against a job that is taken for late since its task waits once more.

    The task resumes with half its work done. If its worker is lost before the stop is
    answered, there is no checkpoint, and it begins anew.
    """
    burst = BurstLoad(workers=1)
    step = _stopped_step(burst, has_checkpoint)
    found = saved_seconds(step) / PATIENT_SECONDS
    assert found == pytest.approx(share, abs=0.1)
    _, latest = latest_start(step, burst.load.now)
    objective = PATIENT.stretch * PATIENT_SECONDS + PATIENT.objective_seconds
    expected = step.job.arrived_at + objective - PATIENT_SECONDS * (1 - found)
    assert latest == pytest.approx(expected)
