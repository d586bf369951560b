"""Own one pool of workers: take it over, decide for it, give it up."""

import threading
from concurrent.futures import ThreadPoolExecutor

from papayapick.clients.exceptions import TableUnavailable
from papayapick.jobs import JobBook
from papayapick.ownership.pools import OwnershipLost, release_pool
from papayapick.placement.rooms import Rooms
from papayapick.pool.advising import Advising
from papayapick.pool.decisions import Decisions
from papayapick.pool.events import (
    POOL_LEFT,
    POOL_LOOP_FAILED,
    POOL_NOT_RELEASED,
    POOL_TAKEN,
    RECORDING_CHANGED,
)
from papayapick.pool.journal import PROGRESS_TABLE, PoolJournal
from papayapick.pool.laggards import Laggards
from papayapick.pool.liveness import LivenessCheck
from papayapick.pool.loop import DecisionLoop
from papayapick.pool.metrics import TAKEOVERS
from papayapick.pool.orders import Orders
from papayapick.pool.recording import RecordingMode
from papayapick.pool.report_handler import WorkerReportHandler
from papayapick.pool.retention import delete_expired_jobs
from papayapick.pool.roster import WorkerRoster
from papayapick.pool.settling import Settling
from papayapick.pool.standing import Standing
from papayapick.pool.status_feed import StatusFeed
from papayapick.pool.store_sync import StoreSync
from papayapick.pool.upkeep import UpkeepCoordinator

__all__ = ["PoolOwner"]

# A task for each worker, which lasts as long as its link, and for each loop. A worker
# that finds none is never asked, nor used. Idle ones cost a small stack only.
_TASKS = 4096
# An order without an answer takes its thread for 0.35 s, a stop and the look after it
# up to 1.2 s. Stops have threads of their own: those to workers that are cut off would
# keep all starts from leaving until their tickets are too old.
_START_TASKS = 128
_STOP_TASKS = 128


class PoolOwner:
    """Decide for one pool under one epoch; its parts do the work.

    Parameters
    ----------
    host : EntryHost
        The process: store, clock, pools of connections, peers and queues.
    row : PoolRow
        As it was taken.
    is_journal_exact : bool
        Whether each start of before is known to have been recorded.

    Attributes
    ----------
    has_read_state : bool
        Whether jobs, progress and workers were read from the store.
    lock : threading.RLock
        Held by whoever reads or changes book, rooms or links.
    """

    __slots__ = (
        "_executor",
        "_order_executor",
        "_stop_executor",
        "_wakeup",
        "_was_unrecorded",
        "advising",
        "book",
        "decisions",
        "has_read_state",
        "host",
        "is_lost",
        "journal",
        "laggards",
        "links_by_worker",
        "lists",
        "lock",
        "loop",
        "news",
        "orders",
        "recording",
        "rooms",
        "roster",
        "row",
        "settling",
        "sources",
        "standing",
        "stopping",
        "taken_at",
    )

    def __init__(self, host, row, is_journal_exact=False):
        self.host = host
        self.row = row
        self.lock = threading.RLock()
        self.book = JobBook()
        self.rooms = Rooms()
        self.roster = WorkerRoster(PROGRESS_TABLE, row.pool)
        self.links_by_worker = {}
        self.is_lost = False
        self.has_read_state = False
        self._was_unrecorded = False
        self.stopping = threading.Event()
        self.taken_at = host.clock.monotonic()
        self._wakeup = threading.Event()
        self._executor = ThreadPoolExecutor(_TASKS, thread_name_prefix="pool")
        self._order_executor = ThreadPoolExecutor(
            _START_TASKS, thread_name_prefix="starts"
        )
        self._stop_executor = ThreadPoolExecutor(
            _STOP_TASKS, thread_name_prefix="stops"
        )
        self.orders = Orders(
            self, self._order_executor, self._stop_executor, _START_TASKS
        )
        self.journal = PoolJournal(host.store, self, host.clock)
        self.recording = RecordingMode(host.clock)
        self.standing = Standing(host)
        self.settling = Settling(self, is_journal_exact)
        self.sources = StoreSync(self)
        self.lists = WorkerReportHandler(self)
        self.advising = Advising(self)
        self.decisions = Decisions(self)
        self.laggards = Laggards(self)
        self.news = StatusFeed(self)
        self.loop = DecisionLoop(self)

    # What it is, and whether it may decide.

    @property
    def pool(self):
        """Return the name of the pool."""
        return self.row.pool

    @property
    def is_stopped(self):
        """Return whether this owner has given up or lost the pool."""
        return self.stopping.is_set()

    def links(self):
        """Return the links to all workers, as a list."""
        return list(self.links_by_worker.values())

    def now(self):
        """Return monotonic seconds."""
        return self.host.clock.monotonic()

    def may_act(self):
        """Return whether orders may be sent."""
        return not self.is_stopped and self.standing.is_confirmed()

    def may_lack_records(self):
        """Return whether a successor must not trust the records of starts."""
        return self.recording.is_announced or self.settling.may_lack_records()

    def note_peer(self, peer, epoch, asked_at):
        """Take in the answer of another host to a beat."""
        if epoch > self.row.epoch:
            self.note_lost()
        else:
            self.standing.note_peer(peer, asked_at)

    def renew_queues(self):
        """Let jobs follow the policies of a new configuration."""
        with self.lock:
            for job in self.book.jobs():
                job.queue = self.host.queue_of(job.document)

    def note_lost(self):
        """Stop at once: another host owns the pool."""
        self.is_lost = True
        self.stop()

    # Taking over and giving up.

    def start(self):
        """Read the state of the pool, then decide for it."""
        version = self.sources.load()
        with self.lock:
            if self.is_stopped:
                # Another host took the pool while its state was read here.
                return
            self.has_read_state = True
            for name, step in (
                ("jobs", lambda: self.sources.follow_jobs(version)),
                ("workers", lambda: self.sources.follow_workers(version)),
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
            jobs=len(self.book.jobs()),
            workers=len(self.links_by_worker),
            is_journal_exact=self.settling.is_journal_exact,
            seconds=round(self.now() - self.taken_at, 3),
        )

    def stop(self):
        """End every task of this owner."""
        with self.lock:
            if self.stopping.is_set():
                return
            self.stopping.set()
            self._wakeup.set()
            self.journal.wake()
            for link in self.links():
                link.stop()
            self._executor.shutdown(wait=False, cancel_futures=True)
            self._order_executor.shutdown(wait=False, cancel_futures=True)
            self._stop_executor.shutdown(wait=False, cancel_futures=True)
        POOL_LEFT.write(pool=self.pool, epoch=self.row.epoch, is_lost=self.is_lost)

    def leave(self):
        """Ask for a successor, and go on until there is one.

        Giving the pool up first would leave it without an owner until another host
        has taken it and read its state: 0.1 s as a rule, 3 s with a slow store.
        """
        self.standing.is_leaving = True

    def give_up(self):
        """Commit what is known, stop, and free the pool for another host."""
        self.journal.commit()
        self.stop()
        try:
            release_pool(self.host.store, self.row)
        except (OwnershipLost, TableUnavailable) as error:
            POOL_NOT_RELEASED.write(
                pool=self.pool, epoch=self.row.epoch, error=str(error)
            )

    def pause(self, seconds):
        """Wait, but not longer than this owner lasts."""
        self.host.clock.wait(self.stopping, seconds)

    def wake(self):
        """Look for work to place at once."""
        self._wakeup.set()

    def _guarded(self, name, step):
        try:
            step()
        except Exception:
            # Without one of its loops the owner would hold the pool and do
            # nothing: another host does better.
            POOL_LOOP_FAILED.write_failure(pool=self.pool, loop=name)
            self.note_lost()
            self.give_up()

    def submit(self, name, step):
        """Run an endless task; if it fails, the pool is given up."""
        self._executor.submit(self._guarded, name, step)

    # For the loop of decisions.

    def wait_for_work(self, seconds):
        """Wait until there is work to place, but not longer than so many seconds."""
        self.host.clock.wait(self._wakeup, seconds)
        self._wakeup.clear()

    def tick(self, now):
        """Do what is due by time; the caller holds the lock."""
        self.loop.tick(now)

    def forget_old_jobs(self, now):
        """Let jobs that have been over for long be dropped from store and memory."""
        if not self.is_stopped:
            self._executor.submit(delete_expired_jobs, self, self.host, now)

    def note_commit(self, seconds):
        """Take in a commit, or with None one that the store did not take."""
        if seconds is not None:
            self.recording.note_commit(seconds)
            self.host.store_health.note_answer()
        else:
            self.host.store_health.note_failure()
            self.recording.note_failure()
            self.recording.note_outage(self.standing.is_alone_in_charge())
        self._note_recording(seconds)

    def _note_recording(self, seconds):
        is_wanted = self.recording.is_announced
        if is_wanted != self._was_unrecorded:
            self._was_unrecorded = is_wanted
            RECORDING_CHANGED.write(
                pool=self.pool,
                is_before_start=not is_wanted,
                commit_seconds=None if seconds is None else round(seconds, 4),
            )
