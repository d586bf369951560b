"""Assemble and run the placer, which owns shards, grants slots and runs work."""

import json
import threading
from concurrent.futures import Future

from papayapick.clients import InstanceClient, WorkerClient
from papayapick.daemon import Process
from papayapick.daemon.health import HealthServer
from papayapick.ledger import Amounts, JobNeverFits, NeverFits
from papayapick.limits import TokenBucket
from papayapick.observability import get_logger, log_fields
from papayapick.placer.exceptions import ShardClosed
from papayapick.placer.explanations import explain, reasons_as_text
from papayapick.placer.handover import ShardHandover
from papayapick.placer.jobs import JobRunner
from papayapick.placer.listing import HostListing
from papayapick.placer.owners import ShardOwner
from papayapick.placer.payloads import state_of
from papayapick.placer.requests import RequestRunner
from papayapick.placer.runners import WorkLoop
from papayapick.placer.takeover import HostReconciler
from papayapick.placer.work import WorkDispatcher
from papayapick.routing import SlotClient
from papayapick.wire.messages import (
    Handover,
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
_EXPIRY_INTERVAL_SECONDS = 0.02
_IDLE_SECONDS = 5.0
_NO_HOST_LIST_RETRY_SECONDS = 1.0
_POLL_SECONDS = 0.02
_JOB = "job"


class Placer:
    """Answer the messages of gateways and placers and run the background loops.

    Parameters
    ----------
    settings : Settings
    clock : Clock, optional
    """

    __slots__ = (
        "_dispatcher",
        "_handover",
        "_has_queued",
        "_health",
        "_host_reconciler",
        "_jobs",
        "_listing",
        "_loop",
        "_owner",
        "_process",
        "_requests",
    )

    def __init__(self, settings, clock=None):
        self._process = Process(
            settings, PROGRAM, self.handle, self._summaries, clock=clock
        )
        self._has_queued = threading.Event()
        process = self._process
        rate = settings.table_writes_per_second
        bucket = TokenBucket(rate, rate / 4 + 1, process.clock)
        pool = process.platform_pool
        workers, instances = WorkerClient(pool), InstanceClient(pool)
        self._listing = HostListing()
        self._host_reconciler = HostReconciler(
            workers, instances, process.executor, self._listing
        )
        self._dispatcher = WorkDispatcher(process)
        self._owner = ShardOwner(
            process,
            self._host_reconciler,
            bucket,
            self._resume,
            self._dispatcher.fail_shard_waiters,
        )
        self._loop = WorkLoop(process, self._dispatcher, self._runner_of)
        self._handover = ShardHandover(process, self._owner, self._loop.running_count)
        slots = SlotClient.from_process(process)
        self._requests = RequestRunner(process, slots, instances, self._dispatcher)
        self._jobs = JobRunner(process, workers, self._dispatcher)
        process.metrics.owned_shards.set_function(lambda: len(self.shards))
        self._health = HealthServer(process, self.is_ready)

    @classmethod
    def from_config(cls, settings):
        """Build a placer from its settings."""
        return cls(settings)

    @property
    def shards(self):
        """Return the owned shards."""
        return self._owner.shards

    def is_ready(self):
        """Return whether a bundle is loaded and the placer is not draining."""
        return bool(self._process.watcher.sequence) and not self._process.is_draining

    def addresses(self):
        """Return the listening addresses by protocol, for the log."""
        host, port = self._process.peer_server.address
        return {"http": self._health.address, "peer": f"{host}:{port}"}

    def start(self):
        """Start the health and peer servers and the background loops."""
        process = self._process
        self._health.start()
        process.start()
        process.loop(self.update_ownership, process.settings.poll_seconds)
        process.loop(self.refresh_hosts, process.settings.poll_seconds)
        process.loop(self._expire_waiting, _EXPIRY_INTERVAL_SECONDS)
        process.loop(self._answer_overdue, _EXPIRY_INTERVAL_SECONDS)
        process.loop(self._renew, process.settings.task_lease_seconds / 20)
        for _ in range(_RUNNERS):
            process.loop(self._loop.step, 0)

    def stop(self):
        """Drain, hand over the shards, and close.

        A shard is served until the runs of its durable work that this process
        has started have ended; the next owner starts the rest. Afterwards,
        requests that still arrive here are forwarded for as long as gateways may
        not know the new owner.
        """
        process = self._process
        process.is_draining = True
        clock = process.clock
        deadline = clock.monotonic() + process.settings.drain_seconds
        while self.shards and clock.monotonic() < deadline:
            self._handover.hand_over_idle_shards()
            clock.wait(process.stop_event, _POLL_SECONDS)
        for shard in self.shards:
            self._handover.hand_over(shard, force=True)
        if self._handover.summaries():
            clock.wait(process.stop_event, self._handover.forward_seconds)
        self._health.close()
        process.close()

    def handle(self, payload, peer, traceparent):
        """Handle one message of a peer and return the answer.

        Parameters
        ----------
        payload : Payload
        peer : Hello
            Identity of the sender; not used.
        traceparent : str

        Returns
        -------
        Payload, concurrent.futures.Future or None
            None where the message has no answer.

        Raises
        ------
        PlacerError, ShardNotOwned, OwnershipUnconfirmed
        """
        if isinstance(payload, Handover):
            return self._handover.receive(payload)
        if self._owner.get(payload.shard) is None:
            forwarded = self._handover.forward(payload, traceparent)
            if forwarded is not None:
                return None if isinstance(payload, Release) else forwarded
        if isinstance(payload, Release):
            self._release(payload)
            return None
        shard = self._owner.require(payload.shard)
        with (
            self._process.tracing.span(type(payload).__name__, traceparent),
            log_fields(shard=shard.name, epoch=shard.epoch),
        ):
            if isinstance(payload, SlotRequest):
                return self._grant(shard, payload)
            if isinstance(payload, Submit):
                return self._submit(shard, payload)
            if isinstance(payload, WorkCancel):
                return self._dispatcher.cancel(shard, payload.request_id)
            if isinstance(payload, WorkQuery):
                return self._query(shard, payload)
        return None

    def update_ownership(self):
        """Confirm the owned shards and claim those that this placer should serve."""
        self._owner.update_ownership()
        if not self._process.is_draining:
            self._handover.return_to_preferred()

    def refresh_hosts(self):
        """Synchronize the hosts of the owned shards with the live host list."""
        process = self._process
        if not process.watcher.sequence:
            return
        per_zone = self._shards_per_zone()
        for shard in self.shards:
            self._host_reconciler.refresh(shard, process.peers.entries, per_zone)
            self._host_reconciler.reconcile_grants(shard)

    def _shards_per_zone(self):
        document = self._process.watcher.bundle.document
        return document["topology"]["shards_per_zone"]

    def _resume(self, shard, loaded):
        for item in loaded:
            runner = self._runner_of(item)
            if item.state == "waiting":
                self._dispatcher.enqueue(shard, item)
            elif item.state == "running":
                runner.recover(shard, item)

    def _grant(self, shard, request):
        shard.check_serving()
        policy = self._process.watcher.bundle.services.get(request.service)
        limit = policy.waiting_limit if policy else 0
        with self._process.metrics.decision_seconds.time():
            granted = shard.slot_allocator.request(request, limit)
        if isinstance(granted, Future):
            self._has_queued.set()
        return granted

    def _submit(self, shard, submission):
        shard.check_serving()
        bundle = self._process.watcher.bundle
        if submission.kind == _JOB:
            policy = bundle.jobs[submission.name]
            self._check_job_fits(shard, submission)
        else:
            policy = bundle.services[submission.name]
        return self._dispatcher.submit(shard, submission, policy)

    def _check_job_fits(self, shard, submission):
        job = json.loads(submission.job)
        demand = Amounts.from_mapping(job["demand"])
        entries = self._process.peers.entries
        if not entries:
            # The live host list has not been read yet. NeverFits is final for a
            # caller, and with no worker known it would be raised for every job.
            raise ShardClosed(shard=shard.name, retry_after=_NO_HOST_LIST_RETRY_SECONDS)
        if not self._listing.could_hold(demand, entries, self._shards_per_zone()):
            raise NeverFits(demand=demand)
        members = job["members"]
        if not shard.hosts.could_hold(demand, members):
            # A job stays within its shard, so it would wait until its deadline.
            raise JobNeverFits(shard=shard.name, members=members, demand=demand)

    def _query(self, shard, query):
        item = self._dispatcher.find(shard, query.request_id)
        state = state_of(item, self._process.objects)
        if query.explain:
            state.detail = reasons_as_text(explain(shard, item))
        return state

    def _release(self, released):
        shard = self._owner.get(released.shard)
        if shard is not None and shard.epoch == released.epoch:
            shard.slot_allocator.release(
                released.grant_id, released.outcome, released.run_microseconds / 1e6
            )

    def _expire_waiting(self):
        # Cleared before the queues are checked, so that a request that is queued
        # during the check sets the event again.
        self._process.clock.wait(self._has_queued, _IDLE_SECONDS)
        self._has_queued.clear()
        for shard in self.shards:
            shard.slot_allocator.expire()
            if any(load.waiting for load in shard.slot_allocator.loads()):
                self._has_queued.set()

    def _answer_overdue(self):
        self._process.clock.wait(self._dispatcher.has_waiters, _IDLE_SECONDS)
        self._dispatcher.answer_overdue()

    def _renew(self):
        for shard in self.shards:
            self._jobs.renew(shard)

    def _runner_of(self, item):
        return self._jobs if item.accepted.work == _JOB else self._requests

    def _summaries(self):
        served = [shard.summary() for shard in self.shards if not shard.is_closed]
        return served + self._handover.summaries()
