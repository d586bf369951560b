"""No input ends an owner's rounds, whatever interface it comes by.

Guards against an input that is let in and ends the owner of its pool, and as it is
stored, each next one: one job, worker or wave that can't be worked with must not stop
the others.
"""

import contextlib
import json

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from papayapick.clients.http import HttpAnswer
from papayapick.clients.rows import StoredRow
from papayapick.jobs import JobDocument, Step, TaskKey
from papayapick.ledger import Amounts
from papayapick.platform.exceptions import BodyInvalid, CallFailed, WorkerSilent
from papayapick.platform.requests import decode_job
from papayapick.platform.workers import WorkerClient
from papayapick.pool.records.journal import JOBS_TABLE, PROGRESS_TABLE
from tests.pool.owners import ID, host_with_two_workers, owner_of, place, report
from tests.pool.standins import QUEUE

OTHER = "00000000000000a1"
EXAMPLES = settings(
    max_examples=150, deadline=None, suppress_health_check=list(HealthCheck)
)

ODD = st.one_of(
    st.none(),
    st.booleans(),
    st.sampled_from(
        [0, 1, 2, -1, 2.0, 2.5, 1e308, float("inf"), float("nan"), 10**400, 2**53]
    ),
    st.sampled_from(["", "a", "2", "a..b:80", "\ud800", "r1-1", "x\n"]),
    st.lists(st.integers(-1, 2), max_size=2),
    st.dictionaries(st.sampled_from(["cpu", "mem_mb", "gpu"]), st.just(1), max_size=2),
)
STEP_FIELDS = [
    "task_count",
    "cpu",
    "mem_mb",
    "gpu",
    "estimate_ms",
    "after",
    "gang",
    "same_rack",
    "requires",
    "data_rack",
    "anti_affinity",
    "checkpointing",
    "speculative",
    "long_running",
    "image",
    "target_ms",
    "fills",
    "may_miss",
]
STORED_FIELDS = [name for name in Step.__slots__ if name != "demand"]
JOB_FIELDS = ["times", "start_at_ms", "interval_ms", "spec"]
ENTRY = {
    "service": "pool",
    "address": "w3:1",
    "zone": "z",
    "state": "ready",
    "capacity": {"cpu": 4000, "mem_mb": 4000, "gpu": 1},
    "labels": ["a", "r1-1"],
    "born": 1,
    "remaining_ms": 5,
}


def owner_beside_a_good_job(host):
    good = JobDocument(
        OTHER, "q", "pool", "t", [Step(1, Amounts(1000, 10))], host.clock.time()
    )
    host.put(JOBS_TABLE, "pool/1", OTHER, good.as_record())
    owner = owner_of(host)
    for worker in ("w1", "w2"):
        report(owner, worker)
    return owner


def assert_serves(host, owner):
    """Run some rounds; the good job has to be placed in one of them."""
    placed = []
    for _ in range(3):
        with owner.lock:
            owner.tick(host.clock.monotonic())
        placed += [run.key for run in place(owner)]
        host.clock.advance(0.5)
    assert TaskKey(OTHER, 0, 0, 0) in placed


@EXAMPLES
@given(
    step=st.dictionaries(st.sampled_from(STEP_FIELDS), ODD, max_size=4),
    job=st.dictionaries(st.sampled_from(JOB_FIELDS), ODD, max_size=3),
)
def test_jobs_of_callers(step, job):
    phases = [{"task_count": 1, "cpu": 500, "mem_mb": 10, **step}]
    body = json.dumps({"spec": "t", "phases": phases, **job})
    host = host_with_two_workers()
    with contextlib.suppress(BodyInvalid):
        document = decode_job(ID, QUEUE, body, host.clock.time())
        record = json.loads(json.dumps(document.as_record()))
        if document.steps[0].tasks < 10:
            host.put(JOBS_TABLE, f"pool/{int(ID, 16) % 8}", ID, record)
    assert_serves(host, owner_beside_a_good_job(host))


@EXAMPLES
@given(
    step=st.dictionaries(st.sampled_from(STORED_FIELDS), ODD, max_size=3),
    job=st.dictionaries(
        st.sampled_from(["occurrences", "first_due", "interval_seconds"]),
        ODD,
        max_size=3,
    ),
    amounts=st.dictionaries(
        st.sampled_from(["processors", "memory", "accelerators"]), ODD, max_size=2
    ),
)
def test_jobs_that_an_earlier_version_stored(step, job, amounts):
    if job.get("occurrences") == 2**53:
        # All are due, and take the room of the good job.
        del job["occurrences"]
    if isinstance(step.get("tasks"), int | float) and step["tasks"] > 10:
        del step["tasks"]
    host = host_with_two_workers()
    demand = {**Amounts(500, 10).as_mapping(), **amounts}
    document = JobDocument(ID, "q", "pool", "t", [Step(1, Amounts())], 0.0)
    record = {**document.as_record(), "steps": [{"tasks": 1, "demand": demand, **step}]}
    host.put(JOBS_TABLE, f"pool/{int(ID, 16) % 8}", ID, {**record, **job})
    assert_serves(host, owner_beside_a_good_job(host))


@EXAMPLES
@given(
    worker=st.sampled_from(["w3", "w 3", "w\n", "w\u00e9"]),
    changed=st.dictionaries(st.sampled_from(list(ENTRY)), ODD, max_size=3),
    is_recorded=st.booleans(),
)
def test_entries_of_workers(worker, changed, is_recorded):
    host = host_with_two_workers()
    if is_recorded:
        record = {**ENTRY, "pool": "pool", **changed}
        row = StoredRow(PROGRESS_TABLE, "pool", "workers-00", {worker: record}, 1)
        host.rows[(PROGRESS_TABLE, "pool")] = [row]
    owner = owner_beside_a_good_job(host)
    row = StoredRow("servers", "", worker, {**ENTRY, **changed}, 2)
    owner.store_sync.note_worker_rows([row])
    if worker in owner.links_by_worker:
        report(owner, worker)
    assert_serves(host, owner)
    owner.store_sync.note_worker_rows([StoredRow("servers", "", worker, None, 3)])
    assert_serves_again(host, owner)


def assert_serves_again(host, owner):
    for _ in range(2):
        with owner.lock:
            owner.tick(host.clock.monotonic())
        place(owner)
        host.clock.advance(1.0)


class Pool:
    """Answer each request with one body."""

    def __init__(self, body):
        self._answer = HttpAnswer(200, {}, body)

    def request(self, *arguments, **options):
        return self._answer


ROWS = st.lists(
    st.lists(st.one_of(ODD, st.just(f"{OTHER}.0.0.0")), max_size=6), max_size=3
)


@EXAMPLES
@given(running=ROWS, finished=ROWS, born=ODD, clock=ODD)
def test_reports_of_workers(running, finished, born, clock):
    host = host_with_two_workers()
    owner = owner_beside_a_good_job(host)
    assert_serves(host, owner)
    body = {"clock_ms": clock, "born": born, "running": running, "finished": finished}
    client = WorkerClient("w1", "w1:1", Pool(json.dumps(body).encode()))
    with contextlib.suppress(WorkerSilent, CallFailed):
        found = client.renew(3, 0, 1.0)
        link = owner.links_by_worker["w1"]
        link.born = found.born
        owner.report_handler.note_report(link, found, host.clock.monotonic())
    assert_serves_again(host, owner)
