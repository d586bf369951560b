"""Run the placer: own shards, grant slots, run durable work."""

import threading

from papayapick.daemon import Process
from papayapick.daemon.health import HealthServer
from papayapick.journal import JournalError
from papayapick.ledger import Amounts, NeverFits
from papayapick.limits import TokenBucket
from papayapick.observability import get_logger
from papayapick.ownership import (
    ShardNotOwned,
    TakeoverLost,
    claim,
    preferred_owner,
    read_shards,
    release,
)
from papayapick.ownership.queries import ShardRow
from papayapick.placer.jobs import JobRunner
from papayapick.placer.requests import RequestRunner
from papayapick.placer.shards import Shard
from papayapick.placer.takeover import HostKeeper, load_work
from papayapick.placer.work import WorkDesk
from papayapick.platforms import InstanceClient, PlatformError, WorkerClient
from papayapick.platforms.hosts import WORKER
from papayapick.routing import SlotClient
from papayapick.wire.messages import (
    Release,
    SlotRequest,
    Submit,
    WorkCancel,
    WorkQuery,
)

__all__ = ["PROGRAM", "Placer"]

PROGRAM = "papayapick-placer"
_LOG = get_logger(__name__)
_RUNNERS = 16
_EXPIRE_SECONDS = 0.02
_TAKE_SECONDS = 0.1
_JOB = "job"


class Placer:
    """Answer gateways and other placers, and run the loops of a placer.

    Parameters
    ----------
    settings : Settings
    """

    __slots__ = (
        "_bucket",
        "_health",
        "_jobs",
        "_keeper",
        "_lock",
        "_process",
        "_requests",
        "_shards",
        "_work",
    )

    def __init__(self, settings, clock=None):
        self._shards = {}
        self._lock = threading.Lock()
        self._process = Process(
            settings, PROGRAM, self.handle, self._summaries, clock=clock
        )
        process = self._process
        rate = settings.table_writes_per_second
        self._bucket = TokenBucket(rate, rate / 4 + 1, process.clock)
        pool = process.platform_pool
        workers, instances = WorkerClient(pool), InstanceClient(pool)
        self._keeper = HostKeeper(workers, instances, process.executor)
        self._work = WorkDesk(process)
        slots = SlotClient(
            process.peers,
            settings,
            process.clock,
            process.generator,
            lambda: process.watcher.bundle.zones(),
        )
        self._requests = RequestRunner(process, slots, instances, self._work)
        self._jobs = JobRunner(process, workers, self._work)
        self._health = HealthServer(process, self.is_ready)

    @classmethod
    def from_config(cls, settings):
        """Build a placer from its settings."""
        return cls(settings)

    @property
    def shards(self):
        """Return the owned shards."""
        with self._lock:
            return list(self._shards.values())

    def is_ready(self):
        """Return whether peers may send work."""
        return bool(self._process.watcher.sequence) and not self._process.is_draining

    def addresses(self):
        """Return what the process listens on, for its log."""
        host, port = self._process.peer_server.address
        return {"http": self._health.address, "peer": f"{host}:{port}"}

    def start(self):
        """Start every task."""
        process = self._process
        self._health.start()
        process.start()
        process.loop(self.own_shards, process.settings.poll_seconds)
        process.loop(self.refresh_hosts, process.settings.poll_seconds)
        process.loop(self._expire, _EXPIRE_SECONDS)
        process.loop(self._renew, process.settings.task_lease_seconds / 20)
        for _ in range(_RUNNERS):
            process.loop(self._run_next, 0)

    def stop(self):
        """Hand the shards over, let what runs end, and close."""
        process = self._process
        process.is_draining = True
        for shard in self.shards:
            shard.stop_admission()
        deadline = process.clock.monotonic() + process.settings.drain_seconds
        while self._has_running() and process.clock.monotonic() < deadline:
            process.clock.wait(threading.Event(), 0.05)
        for shard in self.shards:
            self._hand_over(shard)
        self._health.close()
        process.close()

    def handle(self, payload, peer, traceparent):
        """Answer one message of a peer."""
        if isinstance(payload, Release):
            self._release(payload)
            return None
        shard = self._serving(payload.shard)
        with self._process.tracing.span(type(payload).__name__, traceparent):
            if isinstance(payload, SlotRequest):
                return self._grant(shard, payload)
            if isinstance(payload, Submit):
                return self._submit(shard, payload)
            if isinstance(payload, WorkCancel):
                return self._work.cancel(shard, payload.request_id)
            if isinstance(payload, WorkQuery):
                return self._query(shard, payload)
        return None

    def own_shards(self):
        """Confirm the owned shards and take those that this placer should serve."""
        process = self._process
        if process.is_draining or not process.watcher.sequence:
            return
        pauses = process.pauses.count()
        rows = read_shards(process.table)
        self._confirm(rows, pauses)
        for name in process.watcher.bundle.shards():
            row = rows.get(name) or ShardRow(name, "", 0, 0)
            if name not in self._shards and self._should_take(row):
                self._take(row)
        process.metrics.owned_shards.set(len(self._shards))

    def refresh_hosts(self):
        """Bring the hosts of the owned shards in step with the live list."""
        process = self._process
        if not process.watcher.sequence:
            return
        count = process.watcher.bundle.document["topology"]["shards_per_zone"]
        for shard in self.shards:
            self._keeper.refresh(shard, process.peers.entries, count)
            self._keeper.reconcile(shard)

    def _confirm(self, rows, pauses):
        for shard in self.shards:
            row = rows.get(shard.name)
            if row is None or (row.owner, row.epoch) != (
                shard.row.owner,
                shard.epoch,
            ):
                self._lose(shard)
            else:
                shard.confirm(pauses)

    def _should_take(self, row):
        process = self._process
        host = process.settings.host_name
        placers = [peer.entry for peer in process.peers.live()]
        if preferred_owner(row.shard, placers) != host:
            return False
        if row.owner in ("", host):
            # Its own name on a shard it does not serve: an earlier life's.
            return True
        return not process.peers.is_alive(row.owner)

    def _take(self, row):
        process = self._process
        try:
            taken = claim(process.table, row, process.settings.host_name)
        except TakeoverLost as error:
            _LOG.info("takeover lost", extra={"error": str(error)})
            return
        shard = Shard(taken, process, self._bucket, self._lose)
        load_work(shard, process.table, process.objects)
        with self._lock:
            self._shards[shard.name] = shard
        process.executor.submit(shard.journal.run)
        _LOG.info("shard taken", extra={"shard": shard.name, "epoch": shard.epoch})
        count = process.watcher.bundle.document["topology"]["shards_per_zone"]
        self._keeper.refresh(shard, process.peers.entries, count)
        self._resume(shard)

    def _resume(self, shard):
        for item in shard.book.items:
            runner = self._runner(item)
            if item.state == "waiting":
                self._work.enqueue(shard, item)
            elif item.state == "running":
                runner.recover(shard, item)

    def _lose(self, shard):
        with self._lock:
            if self._shards.get(shard.name) is shard:
                del self._shards[shard.name]
        shard.close()
        _LOG.warning("shard lost", extra={"shard": shard.name, "epoch": shard.epoch})

    def _hand_over(self, shard):
        shard.journal.flush()
        try:
            release(self._process.table, shard.row)
        except PlatformError as error:
            _LOG.info("shard not released", extra={"error": str(error)})
        with self._lock:
            self._shards.pop(shard.name, None)
        shard.close()

    def _serving(self, name):
        with self._lock:
            shard = self._shards.get(name)
        if shard is None:
            raise ShardNotOwned(shard=name)
        return shard

    def _grant(self, shard, wanted):
        shard.check_serving()
        policy = self._process.watcher.bundle.services.get(wanted.service)
        limit = policy.waiting_limit if policy else 0
        with self._process.metrics.decision_seconds.time():
            return shard.desk.request(wanted, limit)

    def _submit(self, shard, wanted):
        shard.check_serving()
        bundle = self._process.watcher.bundle
        if wanted.kind == _JOB:
            policy = bundle.jobs[wanted.name]
            self._check_holdable(wanted)
        else:
            policy = bundle.services[wanted.name]
        return self._work.submit(shard, wanted, policy)

    def _check_holdable(self, wanted):
        import json

        demand = Amounts.from_mapping(json.loads(wanted.job)["demand"])
        capacities = [
            Amounts.from_mapping(entry.capacity)
            for entry in self._process.peers.entries
            if entry.kind == WORKER
        ]
        if not any(demand.fits_in(capacity) for capacity in capacities):
            raise NeverFits(demand=demand)

    def _query(self, shard, query):
        from papayapick.placer.work import state_of

        item = self._work.find(shard, query.request_id)
        return state_of(item, self._process.objects)

    def _release(self, released):
        with self._lock:
            shard = self._shards.get(released.shard)
        if shard is not None and shard.epoch == released.epoch:
            shard.desk.release(
                released.grant_id, released.outcome, released.run_microseconds / 1e6
            )

    def _expire(self):
        for shard in self.shards:
            shard.desk.expire()

    def _renew(self):
        for shard in self.shards:
            self._jobs.renew(shard)

    def _run_next(self):
        found = self._work.take(_TAKE_SECONDS)
        if found is None:
            return
        shard, item = found
        try:
            self._runner(item).run(shard, item)
        except (PlatformError, JournalError) as error:
            _LOG.info("run put off", extra={"error": str(error)})
            self._work.enqueue(shard, item, 1.0)

    def _runner(self, item):
        return self._jobs if item.accepted.work == _JOB else self._requests

    def _has_running(self):
        return any(
            item.state == "running" and item.accepted.work != _JOB
            for shard in self.shards
            for item in shard.book.items
        )

    def _summaries(self):
        return [shard.summary() for shard in self.shards if not shard.is_closed]
