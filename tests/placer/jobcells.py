"""A shard with in-memory workers, driven step by step with a manual clock."""

import base64
import json
import random
from concurrent.futures import Future
from types import SimpleNamespace

from papayapick.bundle import Bundle
from papayapick.clients import WorkerClient, WorkerUnreachable
from papayapick.clients.http import HttpAnswer
from papayapick.clients.types import Row
from papayapick.clock import ManualClock
from papayapick.journal import Journal
from papayapick.limits import PauseDetector, TokenBucket
from papayapick.ownership.queries import ShardRow
from papayapick.placer.jobs import JobRunner
from papayapick.placer.shards import Shard
from papayapick.placer.work import WorkDispatcher
from papayapick.wire.messages import Submit
from tests.standins import MemoryObjects, MemoryTable, WorkersStandin

LEASE_SECONDS = 10.0
JOBS = (
    {"name": "batch", "urgency": "deferred", "repeatable": True, "run_seconds": 600},
    {"name": "rush", "urgency": "urgent", "repeatable": True, "run_seconds": 600},
    {"name": "once", "urgency": "deferred", "repeatable": False, "run_seconds": 600},
)


class InlineExecutor:
    """Run each call at once in the calling thread."""

    def submit(self, call, *arguments):
        done = Future()
        done.set_result(call(*arguments))
        return done


class WorkersPool:
    """Pass calls of the real worker client to the stand-in.

    Workers named in ``cut`` can't be reached.
    """

    def __init__(self, workers):
        self.workers = workers
        self.cut = set()

    def request(self, method, url, data, **options):
        name, _, path = url.rpartition("/")
        if name in self.cut:
            raise WorkerUnreachable(worker=name)
        status, result = self.workers.call(name, path, json.loads(data))
        return HttpAnswer(status, {}, json.dumps(result).encode())


class JobCell:
    def __init__(self, capacities, teams=(), jobs=JOBS):
        self.clock = ManualClock()
        self.table = MemoryTable()
        self.workers = WorkersStandin(self.clock)
        self.pool = WorkersPool(self.workers)
        bundle = Bundle(
            {
                "services": [],
                "jobs": list(jobs),
                "teams": list(teams),
                "topology": {
                    "shards_per_zone": 1,
                    "regions": [{"name": "region", "zones": ["zone-a"]}],
                },
            }
        )
        self.process = SimpleNamespace(
            clock=self.clock,
            executor=InlineExecutor(),
            generator=random.Random(1),
            objects=MemoryObjects(),
            pauses=PauseDetector(self.clock, 1e9),
            settings=SimpleNamespace(
                task_lease_seconds=LEASE_SECONDS, journal_linger_seconds=0.0
            ),
            table=self.table,
            watcher=SimpleNamespace(bundle=bundle),
        )
        self.dispatcher = WorkDispatcher(self.process)
        self.client = WorkerClient(self.pool)
        self.runner = JobRunner(self.process, self.client, self.dispatcher)
        row = ShardRow("zone-a.0", "host-1", 1, 1)
        self.table.rows[row.key] = Row(row.key, {}, 1)
        bucket = TokenBucket(1e9, 1e9, self.clock)
        self.shard = Shard(row, self.process, bucket, lambda shard: None)
        self.shard.journal = WritingJournal(
            self.table, row, self.clock, 0.0, bucket, on_written=self.shard._apply
        )
        for name, capacity in capacities.items():
            self.workers.add(name, capacity.as_mapping())
            entry = SimpleNamespace(name=name, url=name, capacity=capacity.as_mapping())
            self.shard.add_worker(entry)
            self.shard.hosts.open(name)

    def submit(self, name, kind="batch", members=1, work=None, timeout=86400, **demand):
        job = {"members": members, "demand": demand, "work": work or {}}
        body = json.dumps(job)
        submission = Submit(
            shard=self.shard.name,
            request_id=name,
            kind="job",
            name=kind,
            caller="test",
            payload=b"",
            payload_digest=base64.b64encode(body.encode()).decode(),
            deadline_milliseconds=int((self.clock.time() + timeout) * 1000),
            wait_milliseconds=0,
            job=body,
        )
        policy = self.process.watcher.bundle.jobs[kind]
        return self.dispatcher.submit(self.shard, submission, policy).result()

    def step(self, seconds=0.5):
        """Advance the clock, then run the placer's loops once."""
        self.clock.advance(seconds)
        while (due := self.dispatcher.take(0)) is not None:
            self.runner.run(*due)
        self.runner.renew(self.shard)

    def run_for(self, seconds):
        for _ in range(int(seconds * 2)):
            self.step()

    def item(self, name):
        return self.shard.work_index.get(name)

    def ended(self, name):
        ended = self.item(name).ended
        return (ended.outcome, ended.detail) if ended else None

    def running(self):
        """Return the workers of the running tasks by job."""
        by_job = {}
        for worker, tasks in self.workers.running().items():
            for task in tasks:
                by_job.setdefault(task.split(".")[0], []).append(worker)
        return by_job


class WritingJournal(Journal):
    """Write each record synchronously in the calling thread."""

    __slots__ = ()

    def append(self, record, must_persist=False):
        entry = super().append(record, must_persist)
        self.write_segment()
        return entry
