"""The log events of waiting steps."""

from types import SimpleNamespace

import pytest

from papayapick.jobs import AdvicePolicy, Queue
from papayapick.pool.records.retention import delete_expired_jobs
from papayapick.pool.rounds import waiting
from papayapick.pool.rounds.waiting import WaitReason
from tests.pool.standins import PoolSimulation

ADVISED = Queue(
    "q", "h", "/q/", "pool", 0, 2, 1.5, 0.5, 3.0, False, AdvicePolicy(0.8, 0, 2.5)
)


class RecordedEvents:
    """Record the fields of one event instead of writing them to the log."""

    def __init__(self):
        self.found = []

    def write(self, **fields):
        self.found.append(fields)


@pytest.fixture
def waits(monkeypatch):
    events = RecordedEvents()
    monkeypatch.setattr(waiting, "STEP_WAITS", events)
    return events.found


def make_load(workers=1):
    load = PoolSimulation(workers=workers, length=0.8)
    load.owner.advice_manager._cache._ask = lambda key, workers, expected: None
    return load


def place_after(load, seconds):
    load.host.clock.advance(seconds)
    load.owner.decisions.place(load.now)


def reasons(waits):
    return [line["reason"] for line in waits]


def test_long_wait_is_logged_repeatedly_with_the_state_of_the_advice(waits):
    """A log that covers only a few seconds must show why a step waits.

    The event is therefore repeated during a long wait, with the age of the request for
    advice. Written once, it is no longer in the log of a task that waits nine seconds.
    """
    load = make_load()
    load.submit_job(tasks=1, queue=ADVISED)
    for _ in range(7):
        place_after(load, 0.5)
    assert reasons(waits) == ["advice", "advice"]
    assert [line["waited_seconds"] for line in waits] == [0.5, 2.5]
    assert [line["asked_seconds"] for line in waits] == [0.0, 2.0]
    assert waits[-1]["advised_workers"] == 0


def test_wait_for_a_turn_to_request_advice_is_logged(waits):
    load = make_load()
    for _ in range(3):
        load.submit_job(tasks=4, queue=ADVISED)
    load.owner.rooms.get("w0").processors = 0
    place_after(load, 0.5)
    # The capacity that will be free soon suffices to request advice on the first step.
    assert reasons(waits) == ["advice", "turn", "turn"]


def test_wait_for_capacity_on_allowed_workers_is_logged(waits):
    load = make_load(workers=2)
    load.submit_job(tasks=1, queue=ADVISED)
    (step,) = load.owner.job_registry.waiting_steps()
    load.owner.advice_manager.request_if_useful(step, load.now)
    # Only the first worker may run it, and it is full.
    load.owner.advice_manager._cache.note_answer(
        step.key, {"w0": "t"}, ADVISED.advice, load.now
    )
    load.owner.rooms.get("w0").processors = 0
    place_after(load, 0.6)
    place_after(load, 3.0)
    assert reasons(waits) == ["room", "no-fit"]
    assert [line["advised_workers"] for line in waits] == [1, 0]
    assert waits[-1]["unfit_workers"] == 1


def test_reasons_are_those_of_the_reference_page():
    described = waiting.STEP_WAITS.meaning
    assert all(reason.value in described for reason in WaitReason)


def test_advice_on_a_step_is_removed_with_its_job():
    """Guards against a memory leak: the advice on steps of removed jobs.

    Each step that was ever included in a request holds up to a hundred workers.
    """
    load = make_load()
    load.submit_job(tasks=1, queue=ADVISED)
    place_after(load, 0.5)
    (identifier,) = load.submitted_at
    (step,) = load.owner.job_registry.waiting_steps()
    assert load.owner.advice_manager.status(step, load.now).asked_seconds is not None
    host = SimpleNamespace(
        settings=SimpleNamespace(status_seconds=120.0),
        store=SimpleNamespace(transact=lambda *args, **options: 1),
    )
    job = load.owner.job_registry.get(identifier)
    with load.owner.lock:
        load.owner.job_registry.cancel(identifier, load.now)
        job.durable_status = job.status
    delete_expired_jobs(load.owner, host, load.now + 200.0)
    assert load.owner.job_registry.get(identifier) is None
    assert load.owner.advice_manager.status(step, load.now).asked_seconds is None
