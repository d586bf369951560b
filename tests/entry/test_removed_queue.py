"""Jobs whose queue is missing from the configuration of their owner's host."""

import json

import pytest

from papayapick.clock import ManualClock
from papayapick.jobs import AdvicePolicy, JobDocument, JobRegistry, JobStatus, Queue
from papayapick.jobs.documents import TaskKey
from papayapick.platform.requests import decode_job
from papayapick.pool.workers.reports import EndOutcome
from tests.entry.hosts import make_host

ID = "f" * 16
BODY = json.dumps({"spec": "", "phases": [{"task_count": 1, "cpu": 1, "mem_mb": 1}]})


@pytest.fixture
def queue():
    advice = AdvicePolicy(0.02, 0.001, 2.5)
    return Queue("q", "h", "/q/", "pool", 1, 3, 1.5, 0.5, 3.0, True, advice)


@pytest.fixture
def stored(queue):
    """A job as accepted by another host and read back from the store."""
    record = decode_job(ID, queue, BODY, 0.0).as_record()
    return JobDocument.from_record(json.loads(json.dumps(record)))


@pytest.fixture
def host(monkeypatch):
    """A host that started after the queue was removed, or before it was added."""
    return make_host(monkeypatch, ManualClock(100.0), None)


def test_job_of_an_unknown_queue_does_not_fail_with_its_first_failed_run(host, stored):
    """Guards against a final failure of a job that has two more attempts."""
    job_registry = JobRegistry()
    job_registry.add(stored, host.queue_of(stored), 0.0)
    for attempt in (1, 2):
        (step,) = job_registry.waiting_steps()
        run = job_registry.begin_run(step, 0, "w1", 0.0)
        job_registry.note_started(run)
        key = TaskKey(ID, 0, 0, 0)
        job_registry.end_run(key, attempt, EndOutcome.FAILED, "", "w1", 1.0)
        assert job_registry.get(ID).status not in JobStatus.FINAL


def test_job_of_an_unknown_queue_keeps_its_advice_policy_and_priority(
    host, stored, queue
):
    """Guards against starts refused for lack of a ticket, and urgent jobs run last."""
    found = host.queue_of(stored)
    assert found.advice.expected_seconds(10) == queue.advice.expected_seconds(10)
    assert found.advice.valid_seconds == queue.advice.valid_seconds
    assert found.priority == queue.priority
    assert found.workers_check_room
    assert (found.name, found.pool) == (queue.name, queue.pool)
    assert (found.stretch, found.objective_seconds) == (1.5, 0.5)


def test_job_without_a_recorded_policy_is_still_read(host, queue):
    """Guards against owners that ignore jobs stored by an earlier release."""
    record = decode_job(ID, queue, BODY, 0.0).as_record()
    record.pop("policy", None)
    assert host.queue_of(JobDocument.from_record(record)).name == "q"
