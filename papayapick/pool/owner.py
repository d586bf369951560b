"""The owner of a pool: takes it over, schedules its jobs and releases it."""

import threading

from papayapick.clients.exceptions import TableUnavailable
from papayapick.executors import ElasticExecutor
from papayapick.jobs import JobRegistry
from papayapick.ownership.pools import OwnershipLost, release_pool
from papayapick.placement.rooms.rooms import Rooms
from papayapick.placement.rooms.tier_preference import TierPreference
from papayapick.pool.advice.manager import AdviceManager
from papayapick.pool.events import (
    POOL_LEFT,
    POOL_LOOP_FAILED,
    POOL_NOT_RELEASED,
    POOL_TAKEN,
    THREADS_SHORT,
)
from papayapick.pool.knowledge import PoolKnowledge
from papayapick.pool.metrics import TAKEOVERS
from papayapick.pool.records.commits import CommitMonitor
from papayapick.pool.records.journal import PROGRESS_TABLE, PoolJournal
from papayapick.pool.records.memory import OwnerMemory
from papayapick.pool.records.recording import RecordingMode
from papayapick.pool.records.retention import delete_expired_jobs
from papayapick.pool.records.status_feed import StatusFeed
from papayapick.pool.records.store_sync import StoreSync
from papayapick.pool.rounds.decisions import Decisions
from papayapick.pool.rounds.loop import DecisionLoop
from papayapick.pool.rounds.upkeep import UpkeepCoordinator
from papayapick.pool.takeover.ownership_status import OwnershipStatus
from papayapick.pool.takeover.reconciliation import Reconciliation
from papayapick.pool.workers.kinds import KindUpdates
from papayapick.pool.workers.link_threads import LinkThreads
from papayapick.pool.workers.liveness import LivenessCheck
from papayapick.pool.workers.lost_runs import LostRuns
from papayapick.pool.workers.orders import OrderSender
from papayapick.pool.workers.report_handler import WorkerReportHandler
from papayapick.pool.workers.roster import WorkerRoster
from papayapick.pool.workers.run_monitor import RunMonitor
from papayapick.quotas import Entitlements, TeamUsage

__all__ = ["PoolOwner"]

# Each loop, and each thread that polls workers, exists as long as this owner.
_LOOP_THREADS = 1024
# An unanswered start occupies its thread for 0.35 s; a stop and the report requested
# after it take up to 1.2 s. Stops have a thread pool of their own: stops to silent
# workers would otherwise delay all starts until their tickets expire.
_START_THREADS = 128
_STOP_THREADS = 128


class PoolOwner:
    """Schedule the jobs of one pool under one epoch.

    Creates the components that do the work, runs their loops in threads, and releases
    the pool when one of the loops fails.

    Parameters
    ----------
    host : EntryHost
        The process: store, clock, connection pools, peers and queues.
    row : PoolRow
        The pool's row in the store, as this host wrote it when it took the pool.
    is_journal_exact : bool
        Whether every start ordered by earlier owners is known to be recorded.

    Attributes
    ----------
    has_read_state : bool
        Whether jobs, progress and workers have been read from the store.
    lock : threading.RLock
        Must be held to read or change ``job_registry``, ``rooms`` or
        ``links_by_worker``.
    """

    __slots__ = (
        "_executor",
        "_order_executor",
        "_stop_executor",
        "_wakeup",
        "advice_manager",
        "commits",
        "decisions",
        "entitlements",
        "has_read_state",
        "host",
        "is_lost",
        "job_registry",
        "journal",
        "kinds",
        "knowledge",
        "link_threads",
        "links_by_worker",
        "lock",
        "loop",
        "lost_runs",
        "memory",
        "orders",
        "ownership_status",
        "reconciliation",
        "recording",
        "report_handler",
        "rooms",
        "roster",
        "row",
        "run_monitor",
        "status_feed",
        "stopping",
        "store_sync",
        "taken_at",
        "team_usage",
    )

    def __init__(self, host, row, is_journal_exact=False):
        self.host = host
        self.row = row
        self.lock = threading.RLock()
        self.team_usage = TeamUsage()
        self.entitlements = Entitlements.from_settings(host.settings)
        self.knowledge = PoolKnowledge.from_settings(host.settings)
        self.memory = OwnerMemory(PROGRESS_TABLE, row.pool, host.clock)
        self.memory.register(self.knowledge.speeds)
        self._apply_configuration()
        self.job_registry = JobRegistry(self.team_usage)
        self.rooms = Rooms(self.team_usage)
        self.memory.register(self.rooms.headroom)
        self.rooms.preference = TierPreference(self.knowledge)
        self.roster = WorkerRoster(PROGRESS_TABLE, row.pool)
        self.links_by_worker = {}
        self.link_threads = LinkThreads(host.clock, self.submit)
        self.is_lost = self.has_read_state = False
        self.stopping = threading.Event()
        self.taken_at = host.clock.monotonic()
        self._wakeup = threading.Event()
        self._executor = ElasticExecutor(_LOOP_THREADS, "pool", THREADS_SHORT.write)
        self._order_executor = ElasticExecutor(
            _START_THREADS, "starts", THREADS_SHORT.write
        )
        self._stop_executor = ElasticExecutor(_STOP_THREADS, thread_name_prefix="stops")
        self.orders = OrderSender(
            self, self._order_executor, self._stop_executor, _START_THREADS
        )
        self.journal = PoolJournal(
            host.store, self, host.clock, host.settings.row_bytes
        )
        self.recording = RecordingMode(host.clock)
        self.commits = CommitMonitor(self)
        self.ownership_status = OwnershipStatus(host)
        self.reconciliation = Reconciliation(self, is_journal_exact)
        self.store_sync = StoreSync(self)
        self.lost_runs = LostRuns(self)
        self.kinds = KindUpdates(self)
        self.report_handler = WorkerReportHandler(self)
        self.advice_manager = AdviceManager(self)
        self.decisions = Decisions(self)
        self.run_monitor = RunMonitor(self)
        self.status_feed = StatusFeed(self)
        self.loop = DecisionLoop(self)

    # State, and permission to send orders.

    @property
    def pool(self):
        """Return the name of the pool."""
        return self.row.pool

    @property
    def is_stopped(self):
        """Return whether this owner has released or lost the pool."""
        return self.stopping.is_set()

    def links(self):
        """Return the links to all workers as a list."""
        return list(self.links_by_worker.values())

    def now(self):
        """Return the monotonic time in seconds."""
        return self.host.clock.monotonic()

    def may_act(self):
        """Return whether orders may be sent: ownership was confirmed recently."""
        return not self.is_stopped and self.ownership_status.is_confirmed()

    def may_lack_records(self):
        """Return whether starts may be missing from the records a successor reads."""
        return self.recording.is_announced or self.reconciliation.may_lack_records()

    def note_peer_answer(self, peer, epoch, asked_at):
        """Process another host's answer to a heartbeat of this owner.

        Parameters
        ----------
        peer : Peer
        epoch : int
            Newest epoch of this pool that the peer knows.
        asked_at : float
            Monotonic time at which the heartbeat was sent.
        """
        if epoch > self.row.epoch:
            self.note_lost()
        else:
            self.ownership_status.note_peer_answer(peer, asked_at)

    def _apply_configuration(self):
        if (configuration := self.host.configuration.current) is not None:
            self.entitlements.set_teams(configuration.teams)
            maxima = {team.name: team.maximum for team in configuration.teams}
            self.team_usage.set_maxima(configuration.version, maxima)
            stretch = configuration.tightest_stretch(self.pool)
            self.knowledge.speeds.set_stretch(stretch)

    def refresh_queues(self):
        """Apply the policies of a new configuration to all jobs and teams."""
        with self.lock:
            self._apply_configuration()
            for job in self.job_registry.jobs():
                job.queue = self.host.queue_of(job.document)
            self.job_registry.step_queue.note_policy_change()

    def note_lost(self):
        """Stop at once, because another host owns the pool."""
        self.is_lost = True
        self.stop()

    # Takeover and release.

    def start(self):
        """Read the state of the pool from the store, then start the loops.

        Raises
        ------
        TableUnavailable
            If the store is unavailable.
        """
        version = self.store_sync.load()
        with self.lock:
            if self.is_stopped:
                # Another host took the pool while this one read its state. The
                # executors are shut down, so that submitting a loop would raise.
                return
            self.has_read_state = True
            for name, step in (
                ("polls", self.store_sync.begin_polls),
                ("jobs", lambda: self.store_sync.follow_jobs(version)),
                ("workers", lambda: self.store_sync.follow_workers(version)),
                ("decisions", self.loop.run),
                ("journal", self.journal.run),
            ):
                self.submit(name, step)
            if self.host.machines.is_configured:
                self.submit("lives", LivenessCheck(self, self.host.machines).run)
                self.submit("upkeep", UpkeepCoordinator(self, self.host.machines).run)
        TAKEOVERS.inc()
        POOL_TAKEN.write(
            pool=self.pool,
            epoch=self.row.epoch,
            jobs=len(self.job_registry.jobs()),
            workers=len(self.links_by_worker),
            is_journal_exact=self.reconciliation.is_journal_exact,
            seconds=round(self.now() - self.taken_at, 3),
        )

    def stop(self):
        """Stop all loops, links and pending orders of this owner."""
        with self.lock:
            if self.stopping.is_set():
                return
            self.stopping.set()
            self._wakeup.set()
            self.journal.wake()
            self.run_monitor.stop()
            for link in self.links():
                link.stop()
            self._executor.shutdown(wait=False, cancel_futures=True)
            self._order_executor.shutdown(wait=False, cancel_futures=True)
            self._stop_executor.shutdown(wait=False, cancel_futures=True)
        # Workers would go on counting them, though no call follows.
        self.host.worker_pool.close()
        POOL_LEFT.write(pool=self.pool, epoch=self.row.epoch, is_lost=self.is_lost)

    def request_successor(self):
        """Ask the other hosts to take over, and continue until one of them has.

        Releasing the pool first would leave it without an owner until another host
        has taken it and read its state: usually 0.1 s, but 3 s with a slow store.
        """
        self.ownership_status.is_leaving = True

    def release(self):
        """Commit pending records, stop, and free the pool for another host."""
        self.journal.commit()
        self.stop()
        try:
            release_pool(self.host.store, self.row)
        except (OwnershipLost, TableUnavailable) as error:
            POOL_NOT_RELEASED.write(
                pool=self.pool, epoch=self.row.epoch, error=str(error)
            )

    def pause(self, seconds):
        """Wait for some seconds, or until this owner is stopped."""
        self.host.clock.wait(self.stopping, seconds)

    def wake(self):
        """Trigger a scheduling round at once."""
        self._wakeup.set()

    def _run_guarded(self, name, step):
        try:
            step()
        except Exception:
            # An owner without one of its loops would hold the pool but not serve it,
            # so the pool is released for another host.
            POOL_LOOP_FAILED.write_failure(pool=self.pool, loop=name)
            self.note_lost()
            self.release()

    def submit(self, name, step):
        """Run a loop in a thread; release the pool if the loop raises.

        Parameters
        ----------
        name : str
            Names the loop in the log.
        step : callable
            Returns only when the owner is stopped.
        """
        self._executor.submit(self._run_guarded, name, step)

    # For the decision loop.

    def wait_for_work(self, seconds):
        """Wait until ``wake`` is called, or for at most ``seconds``."""
        self.host.clock.wait(self._wakeup, seconds)
        self._wakeup.clear()

    def tick(self, now):
        """Run all periodic actions that are due; the caller holds the lock."""
        self.loop.tick(now)

    def remove_old_jobs(self, now):
        """Remove jobs that ended long ago from the store and from memory."""
        if not self.is_stopped:
            self._executor.submit(delete_expired_jobs, self, self.host, now)
