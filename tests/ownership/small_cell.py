"""Run shards against stand-ins, without processes or sockets."""

import json
import random
from concurrent.futures import ThreadPoolExecutor
from types import SimpleNamespace

from demo.cells import ROOT
from papayapick.bundle import Bundle
from papayapick.clients import InstanceClient, WorkerClient
from papayapick.clients.hosts import HostEntry
from papayapick.clock import ManualClock
from papayapick.limits import PauseDetector, TokenBucket
from papayapick.ownership import claim, read_shard
from papayapick.placer.shards import Shard
from papayapick.placer.takeover import HostReconciler
from tests.fakes.pool import InProcessPool
from tests.standins.server import Platform

BUNDLE = Bundle.from_document(
    json.loads((ROOT / "deploy/footfall/bundle.json").read_text())
)
SHARD = "hobart-a.0"
CAPACITY = {"processors": 16000, "memory": 65536, "accelerators": 0}
URL = "http://platform"


class SmallCell:
    """Provide workers, an instance with one slot, and any number of shard owners."""

    def __init__(self, workers=("worker-1",)):
        self.clock = ManualClock()
        self.platform = Platform(self.clock, service_seconds=0)
        for name in workers:
            self.platform.workers.add(name, CAPACITY)
        self.platform.instances.add("counts-1", "counts", slots=1)
        pool = InProcessPool(self.platform)
        self.workers = WorkerClient(pool)
        self.instances = InstanceClient(pool)
        self.executor = ThreadPoolExecutor(4)
        self._shards = []
        self.reconciler = HostReconciler(self.workers, self.instances, self.executor)
        self.entries = [
            *(_entry(name, "worker", CAPACITY) for name in workers),
            _entry("counts-1", "instance", {"slots": 1, "connections": 4}),
        ]

    def __enter__(self):
        return self

    def __exit__(self, *ignored):
        self.platform.board.clear()
        for shard in self._shards:
            shard.close()
        self.executor.shutdown()

    def process(self):
        """Return a stand-in for the process of a shard."""
        return SimpleNamespace(
            clock=self.clock,
            table=self.platform.table,
            objects=self.platform.objects,
            generator=random.Random(7),
            settings=SimpleNamespace(
                journal_linger_seconds=0.0, task_lease_seconds=10.0
            ),
            pauses=PauseDetector(self.clock, 1.0),
            watcher=SimpleNamespace(bundle=BUNDLE),
            executor=self.executor,
        )

    def claim(self, placer):
        """Claim the shard without opening its hosts."""
        row = claim(self.platform.table, read_shard(self.platform.table, SHARD), placer)
        bucket = TokenBucket(1000, 1000, self.clock)
        shard = Shard(row, self.process(), bucket, lambda shard: shard.close())
        self._shards.append(shard)
        return shard

    def take_over(self, placer):
        """Claim the shard, fence its hosts and read their inventories."""
        shard = self.claim(placer)
        self.refresh(shard)
        return shard

    def refresh(self, shard):
        self.reconciler.refresh(shard, self.entries, 1)

    def start(self, shard, task, demand):
        """Send the start of a task as the shard's owner."""
        worker = shard.entries["worker-1"]
        self.workers.start(worker, shard.epoch, task, demand, 10, {"run_seconds": 99})

    def call(self, shard, request_id):
        """Call the instance like a gateway with a grant; return the HTTP status."""
        instances = self.platform.instances
        status, _, _ = instances.call("counts-1", request_id, shard.epoch, 1)
        return status


def _entry(name, kind, capacity):
    place = {"region": "south-tas", "zone": "hobart-a", "rack": "rack-1"}
    service = "counts" if kind == "instance" else ""
    return HostEntry(
        name,
        kind,
        "live",
        f"{URL}/{kind}s/{name}",
        capacity=capacity,
        service=service,
        worker="worker-1" if service else "",
        **place,
    )
