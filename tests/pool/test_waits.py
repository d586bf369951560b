"""What the log tells of a step that waits."""

from types import SimpleNamespace

import pytest

from papayapick.jobs import AdvicePolicy, Queue
from papayapick.pool import decisions
from papayapick.pool.decisions import WaitReason
from papayapick.pool.retention import delete_expired_jobs
from tests.pool.standins import PoolSimulation

ADVISED = Queue(
    "q", "h", "/q/", "pool", 0, 2, 1.5, 0.5, 3.0, False, AdvicePolicy(0.8, 0, 2.5)
)


class Lines:
    """Keep the lines of one event in place of the log."""

    def __init__(self):
        self.found = []

    def write(self, **fields):
        self.found.append(fields)


@pytest.fixture
def waits(monkeypatch):
    lines = Lines()
    monkeypatch.setattr(decisions, "STEP_WAITS", lines)
    return lines.found


def load_of(workers=1):
    load = PoolSimulation(workers=workers, length=0.8)
    load.owner.advising._book._ask = lambda key, workers, expected: None
    return load


def place_again(load, seconds):
    load.host.clock.advance(seconds)
    load.owner.decisions.place(load.now)


def reasons(waits):
    return [line["reason"] for line in waits]


def test_long_wait_is_told_again_with_how_far_the_advice_is(waits):
    """A task waited for nine seconds and its only line was older than the log.

    A host's log reaches back some seconds; what a step waits for is told again while
    it waits, with the time since its advice was asked for.
    """
    load = load_of()
    load.submit_job(tasks=1, queue=ADVISED)
    for _ in range(7):
        place_again(load, 0.5)
    assert reasons(waits) == ["advice", "advice"]
    assert [line["waited_seconds"] for line in waits] == [0.5, 2.5]
    assert [line["asked_seconds"] for line in waits] == [0.0, 2.0]
    assert waits[-1]["advised_workers"] == 0


def test_steps_that_are_not_asked_about_say_so(waits):
    load = load_of()
    for _ in range(3):
        load.submit_job(tasks=4, queue=ADVISED)
    load.owner.rooms.get("w0").processors = 0
    place_again(load, 0.5)
    # What comes free soon is enough to ask about the first.
    assert reasons(waits) == ["advice", "turn", "turn"]


def test_step_that_no_worker_with_room_may_run_says_so(waits):
    load = load_of(workers=2)
    load.submit_job(tasks=1, queue=ADVISED)
    (step,) = load.owner.book.waiting_steps()
    load.owner.advising.want(step, load.now)
    # Only the first worker may run it, and it is full.
    load.owner.advising._book.note_answer(
        step.key, {"w0": "t"}, ADVISED.advice, load.now
    )
    load.owner.rooms.get("w0").processors = 0
    place_again(load, 0.6)
    place_again(load, 3.0)
    assert reasons(waits) == ["room", "no-fit"]
    assert [line["advised_workers"] for line in waits] == [1, 0]
    assert waits[-1]["unfit_workers"] == 1


def test_reasons_are_those_of_the_reference_page():
    described = decisions.STEP_WAITS.meaning
    assert all(reason.value in described for reason in WaitReason)


def test_what_is_known_of_a_step_goes_with_its_job():
    """An owner grows for as long as it lasts.

    The advice on each step that was ever asked about stayed, with up to a hundred
    workers each, when the job was long removed from the store.
    """
    load = load_of()
    load.submit_job(tasks=1, queue=ADVISED)
    place_again(load, 0.5)
    (identifier,) = load.submitted_at
    (step,) = load.owner.book.waiting_steps()
    assert load.owner.advising.status(step, load.now).asked_seconds is not None
    host = SimpleNamespace(
        settings=SimpleNamespace(status_seconds=120.0),
        store=SimpleNamespace(transact=lambda *args, **options: 1),
    )
    job = load.owner.book.get(identifier)
    with load.owner.lock:
        load.owner.book.cancel(identifier, load.now)
        job.durable_status = job.status
    delete_expired_jobs(load.owner, host, load.now + 200.0)
    assert load.owner.book.get(identifier) is None
    assert load.owner.advising.status(step, load.now).asked_seconds is None
