"""Own one pool of workers: take it over, decide for it, give it up."""

import threading
from concurrent.futures import ThreadPoolExecutor

from papayapick.clients.exceptions import TableUnavailable
from papayapick.jobs import JobBook, JobDocument, JobStatus, RunPhase
from papayapick.observability.logs import get_logger
from papayapick.ownership.pools import OwnershipLost, release_pool
from papayapick.placement.copies import stragglers
from papayapick.placement.pace import Pacer
from papayapick.placement.preemption import choose_victims, may_preempt
from papayapick.placement.rooms import Rooms, WorkerRoom
from papayapick.placement.steps import order_steps, place_step
from papayapick.platform.workers import (
    WORKERS_TABLE,
    WorkerClient,
    decode_registration,
)
from papayapick.pool.advice import AdviceBook
from papayapick.pool.forgetting import forget_jobs
from papayapick.pool.journal import (
    CANCEL_SUFFIX,
    JOBS_TABLE,
    PROGRESS_TABLE,
    PoolJournal,
)
from papayapick.pool.links import LEASE_SECONDS, WorkerLink
from papayapick.pool.orders import Orders, Start
from papayapick.pool.partitions import job_partitions
from papayapick.pool.recording import RecordingMode
from papayapick.pool.reports import EndOutcome, StartOutcome
from papayapick.pool.roster import WorkerRoster

__all__ = ["PoolOwner", "check_readable"]

_LOG = get_logger(__name__)

# A task for each worker, for each order under way and for each loop; idle ones
# cost a small stack only.
_TASKS = 512
_ORDER_TASKS = 48
_TICK_SECONDS = 0.1
_STOP_AGAIN_SECONDS = 0.4
# An owner that had no word for so long whether it still owns the pool orders
# nothing. Leases last longer, so what runs is not lost by a short pause.
_UNCONFIRMED_SECONDS = 2.0
# A worker that did not answer a new owner may run what the old one started there
# until that lease is over.
_QUIET_SECONDS = _UNCONFIRMED_SECONDS + LEASE_SECONDS / 0.98
# Another host had an answer so long after this one had none: then the store is not
# down for all. Hosts notice an outage within tenths of a second of each other.
_STORE_MARGIN_SECONDS = 0.4
# What was found at the workers is recorded so long after the last of them answered.
_RECORDED_SECONDS = 1.0
_FORGET_EVERY_SECONDS = 5.0
# An order is sent and carried out within this time of the decision.
_AHEAD_SECONDS = 0.3


def check_readable(host, pool):
    """Read a row of each partition that a new owner of a pool needs.

    Partitions can be away one by one. A host that took the pool and could not read
    it would stop an owner that knows the state, and give the pool up again.

    Raises
    ------
    TableUnavailable
    """
    places = [(JOBS_TABLE, partition) for partition in job_partitions(pool)]
    places += [(PROGRESS_TABLE, pool), (WORKERS_TABLE, "")]
    list(host.executor.map(lambda place: host.store.read(*place, limit=1), places))


class PoolOwner:
    """Decide for one pool under one epoch.

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
    lock : threading.RLock
        Held by whoever reads or changes book, rooms or links.
    """

    __slots__ = (
        "_advice",
        "_confirmed_at",
        "_executor",
        "_forgotten_at",
        "_host",
        "_is_leaving",
        "_is_settled",
        "_job_partitions",
        "_journal",
        "_links",
        "_is_journal_exact",
        "_order_executor",
        "_orders",
        "_pacer",
        "_stopping",
        "_settled_at",
        "_taken_at",
        "_unsent",
        "_wakeup",
        "book",
        "is_lost",
        "lock",
        "recording",
        "rooms",
        "roster",
        "row",
    )

    def __init__(self, host, row, is_journal_exact=False):
        self._host = host
        self.row = row
        self.lock = threading.RLock()
        self.book = JobBook()
        self.rooms = Rooms()
        self.roster = WorkerRoster(PROGRESS_TABLE, row.pool)
        self.is_lost = False
        self._links = {}
        self._stopping = threading.Event()
        self._wakeup = threading.Event()
        self._taken_at = host.clock.monotonic()
        self._confirmed_at = self._taken_at
        self._forgotten_at = self._taken_at
        self._is_journal_exact = is_journal_exact
        self.recording = RecordingMode(host.clock)
        self._unsent = []
        self._job_partitions = job_partitions(row.pool)
        self._is_settled = False
        self._settled_at = None
        self._is_leaving = False
        self._executor = ThreadPoolExecutor(_TASKS, thread_name_prefix="pool")
        self._order_executor = ThreadPoolExecutor(
            _ORDER_TASKS, thread_name_prefix="orders"
        )
        self._orders = Orders(self, self._order_executor)
        self._journal = PoolJournal(host.store, self, host.clock)
        self._advice = AdviceBook(self._ask_advice)
        self._pacer = Pacer()

    # What it is, and whether it may decide.

    @property
    def pool(self):
        """Return the name of the pool."""
        return self.row.pool

    @property
    def is_stopped(self):
        """Return whether this owner has given up or lost the pool."""
        return self._stopping.is_set()

    def links(self):
        """Return the links to all workers, as a list."""
        return list(self._links.values())

    def now(self):
        """Return monotonic seconds."""
        return self._host.clock.monotonic()

    def may_act(self):
        """Return whether orders may be sent.

        A process that was suspended or cut off may have been replaced without
        knowing. Workers that the new owner reached refuse it; for the others the
        new owner waits, and this bound makes that wait long enough.
        """
        age = self._host.clock.monotonic() - self._confirmed_at
        return not self.is_stopped and age < _UNCONFIRMED_SECONDS

    def note_confirmed(self, asked_at):
        """Note that the pool was still this owner's at a time."""
        self._confirmed_at = max(self._confirmed_at, asked_at)

    def may_lack_records(self):
        """Return whether a successor must not trust the records of starts.

        An owner that took over from one that ordered starts without records knows
        them only when all workers have answered, and records what it found then.
        """
        if self.recording.is_announced or self._settled_at is None:
            return True
        return self.now() - self._settled_at < _RECORDED_SECONDS

    def gives_way(self):
        """Return whether another host should take over.

        An owner that the store does not answer can neither see new jobs nor record
        ends. While other hosts are answered, one of them does better. This owner
        goes on until it is replaced: if the store is down for all, nobody else can
        do more.
        """
        if self._is_leaving:
            return True
        lost_at = self._host.store_lost_at()
        if lost_at is None:
            return False
        return any(
            peer.answered_at - peer.store_age > lost_at + _STORE_MARGIN_SECONDS
            for peer in self._host.peers.live()
        )

    def note_peer(self, peer, epoch, asked_at):
        """Take in the answer of another host to a beat.

        A host that has lately had word from the store and knows of no newer epoch
        confirms this owner as well as the store itself would.
        """
        if epoch > self.row.epoch:
            self.note_lost()
        elif peer.store_age < _UNCONFIRMED_SECONDS:
            self.note_confirmed(asked_at - peer.store_age)
        else:
            self._note_outage(asked_at)

    def _note_outage(self, asked_at):
        """Go on while the store answers nobody: then nobody can take over either."""
        if self._is_alone_in_charge():
            self.note_confirmed(asked_at)

    def renew_queues(self):
        """Let jobs follow the policies of a new configuration."""
        with self.lock:
            for job in self.book.jobs():
                job.queue = self._host.queue_of(job.document)

    def note_lost(self):
        """Stop at once: another host owns the pool."""
        self.is_lost = True
        self.stop()

    # Taking over and giving up.

    def start(self):
        """Read the state of the pool, then decide for it."""
        version = self._load()
        with self.lock:
            if self.is_stopped:
                # Another host took the pool while its state was read here.
                return
            for name, step in (
                ("jobs", lambda: self._follow_jobs(version)),
                ("workers", lambda: self._follow_workers(version)),
                ("schedule", self._schedule),
                ("journal", self._journal.run),
            ):
                self._executor.submit(self._guarded, name, step)
        _LOG.info(
            "pool taken",
            extra={
                "pool": self.pool,
                "epoch": self.row.epoch,
                "jobs": len(self.book.jobs()),
                "workers": len(self._links),
            },
        )

    def stop(self):
        """End every task of this owner."""
        with self.lock:
            if self._stopping.is_set():
                return
            self._stopping.set()
            self._wakeup.set()
            self._journal.wake()
            for link in self.links():
                link.stop()
            self._executor.shutdown(wait=False, cancel_futures=True)
            self._order_executor.shutdown(wait=False, cancel_futures=True)
        _LOG.info(
            "pool left",
            extra={
                "pool": self.pool,
                "epoch": self.row.epoch,
                "is_lost": self.is_lost,
            },
        )

    def leave(self):
        """Ask for a successor, and go on until there is one.

        Giving the pool up first would leave it without an owner until another host
        has taken it and read its state: 0.1 s as a rule, 3 s with a slow store.
        """
        self._is_leaving = True

    def give_up(self):
        """Commit what is known, stop, and free the pool for another host."""
        self._journal.commit()
        self.stop()
        try:
            release_pool(self._host.store, self.row)
        except (OwnershipLost, TableUnavailable) as error:
            _LOG.info("pool not released", extra={"error": str(error)})

    def pause(self, seconds):
        """Wait, but not longer than this owner lasts."""
        self._host.clock.wait(self._stopping, seconds)

    def wake(self):
        """Look for work to place at once."""
        self._wakeup.set()

    def _guarded(self, name, step):
        try:
            step()
        except Exception:
            # Without one of its loops the owner would hold the pool and do
            # nothing: another host does better.
            _LOG.exception("loop of the pool failed", extra={"loop": name})
            self.note_lost()
            self._host.note_owner_failed(self)

    def _load(self):
        store = self._host.store
        progress, _ = store.read_all(PROGRESS_TABLE, self.pool)
        jobs, version = self._read_jobs()
        workers, _ = store.read_all(WORKERS_TABLE, "")
        # A row that can't be read is no sign that the job has not begun.
        records = {row.key: row.value or {} for row in progress}
        self._journal.resume(progress)
        with self.lock:
            self._take_jobs(jobs, records)
            for row in workers:
                self._take_registration(row)
            for registration in self.roster.restore(progress):
                if registration.worker not in self._links:
                    self._add_link(registration, is_listed=False)
            # Exact journals name the worker of each start before it is ordered;
            # without one, any task may run on a worker that has not answered.
            self.book.hold(lambda task: bool(task.place) or not self._is_journal_exact)
        return version

    # Jobs.

    def _read_jobs(self):
        """Return the rows of all jobs, and a version that is not newer than any."""
        store = self._host.store
        pages = list(
            self._host.executor.map(
                lambda partition: store.read_all(JOBS_TABLE, partition),
                self._job_partitions,
            )
        )
        rows = [row for found, _ in pages for row in found]
        return rows, min(version for _, version in pages)

    def _follow_jobs(self, version):
        self._host.follow(
            JOBS_TABLE,
            version,
            self._note_job_rows,
            self._read_jobs,
            self._stopping,
        )

    def _note_job_rows(self, rows):
        with self.lock:
            own = self._job_partitions
            self._take_jobs([row for row in rows if row.partition in own], {})
            self._stop_unneeded()
        self.wake()

    def _take_jobs(self, rows, records):
        now = self._host.clock.monotonic()
        cancelled = []
        for row in rows:
            if row.value is None:
                continue
            if row.key.endswith(CANCEL_SUFFIX):
                cancelled.append(row.key.removesuffix(CANCEL_SUFFIX))
            elif row.key not in self.book:
                self._take_job(row, records.get(row.key), now)
        for identifier in cancelled:
            self.book.cancel(identifier, now)

    def _take_job(self, row, record, now):
        try:
            document = JobDocument.from_record(row.value)
            queue = self._host.queue_of(document)
            job = self.book.add(document, queue, now, record)
        except (KeyError, TypeError, ValueError, IndexError):
            # One record that can't be read must not stop all other jobs, on each
            # host in turn; this job stays as it is until somebody mends it.
            _LOG.exception("record refused", extra={"request_id": row.key})
            self.book.forget(row.key)
            return
        self._advise_first(job, now)

    def _advise_first(self, job, now):
        if job.is_final:
            return
        for step in job.steps():
            if step.is_ready and not step.is_done:
                self._want_advice(step, now)

    # Workers.

    def _follow_workers(self, version):
        self._host.follow(
            WORKERS_TABLE,
            version,
            self._note_worker_rows,
            lambda: self._host.store.read_all(WORKERS_TABLE, ""),
            self._stopping,
        )

    def _note_worker_rows(self, rows):
        with self.lock:
            for row in rows:
                self._take_registration(row)
        self.wake()

    def _take_registration(self, row):
        registration = decode_registration(row.key, row.value)
        link = self._links.get(row.key)
        if registration is None or registration.pool != self.pool:
            if link is not None:
                link.is_listed = False
                link.registration.is_leaving = True
                self._open_or_close(link)
            return
        if link is not None:
            link.is_listed = True
            link.registration.is_leaving = registration.is_leaving
            self._open_or_close(link)
            return
        self.roster.note(registration)
        self._add_link(registration, is_listed=True)

    def _add_link(self, registration, is_listed):
        if self.is_stopped:
            return
        worker = registration.worker
        client = WorkerClient(worker, registration.address, self._host.worker_pool)
        link = WorkerLink(registration, client, self.row.epoch, self._host.clock, self)
        link.is_listed = is_listed
        self._links[worker] = link
        self.rooms.add(WorkerRoom(registration))
        self._executor.submit(self._guarded, worker, link.run)

    def _drop_link(self, link):
        """Forget a worker that is silent, off the list, and past its lease."""
        link.stop()
        del self._links[link.worker]
        self.rooms.remove(link.worker)
        self.roster.forget(link.worker)
        _LOG.info("worker gone", extra={"worker": link.worker})

    def _open_or_close(self, link):
        room = self.rooms.get(link.worker)
        if room is not None:
            room.is_open = (
                link.is_inventoried
                and not link.is_silent
                and not link.registration.is_leaving
            )

    def is_paced(self, link):
        """Return whether a worker has tasks that others beside them may disturb."""
        room = self.rooms.get(link.worker)
        return room is not None and room.filler_processors and room.serving

    def note_report(self, link, report, asked_at):
        """Take in what a worker lists.

        Parameters
        ----------
        link : WorkerLink
        report : WorkerReport
        asked_at : float
            Monotonic seconds; what was confirmed before is reflected in it.
        """
        with self.lock:
            room = self.rooms.get(link.worker)
            if room is None:
                return
            now = self._host.clock.monotonic()
            for end in report.ends:
                if end.number > link.processed:
                    self._take_end(link, room, end, now)
            if asked_at >= link.newest_asked_at:
                link.newest_asked_at = asked_at
                self._take_runs(link, room, report, now)
                self._drop_vanished(room, report, asked_at, now)
            if not link.is_inventoried:
                link.is_inventoried = True
                # What an earlier owner started there is under a lease that it gave.
                link.lapse_at = max(link.lapse_at, self._taken_at + _QUIET_SECONDS)
                self._note_inventory(now)
            self._open_or_close(link)
            self._drop_stopped(room, report, asked_at, now)
            for run, percent in self._pacer.decide(room, now):
                self._orders.pace(link, run, percent)
            self._stop_unneeded()
            has_ends = link.processed > link.acknowledged
        self.wake()
        if has_ends or self.book.changed:
            self._journal.wake()

    def _take_end(self, link, room, end, now):
        run = room.runs.get((end.key, end.attempt))
        self.book.end(
            end.key, end.attempt, end.outcome, end.checkpoint, link.worker, now
        )
        if run is not None:
            room.release(run)
        link.processed = end.number

    def _take_runs(self, link, room, report, now):
        for found in report.runs:
            run = room.runs.get((found.key, found.attempt))
            if run is None:
                run = self.book.adopt(found, link.worker, now)
                room.reserve(run)
            if run.phase in (RunPhase.ORDERED, RunPhase.UNSURE):
                if run.phase == RunPhase.UNSURE:
                    _LOG.info("late start found", extra=_run_fields(run))
                self.book.note_started(run)
            run.was_seen = True
            run.percent, run.percent_at = found.percent, now
            run.figure = found.figure
            if found.checkpoint != run.checkpoint:
                run.checkpoint = found.checkpoint
                self.book.note_checkpoint(run)

    def _drop_vanished(self, room, report, asked_at, now):
        """Give up runs that a worker listed once and lists no more.

        Lists asked for on two connections may overtake each other: an old one
        shows a run whose end was taken note of, and nothing more is heard of it.
        Its task would wait for that end for ever.
        """
        listed = {(found.key, found.attempt) for found in report.runs}
        for run in list(room.runs.values()):
            if run.was_seen and run.percent_at < asked_at and run.name not in listed:
                _LOG.warning("run vanished", extra=_run_fields(run))
                room.release(run)
                self.book.end(
                    run.key, run.attempt, EndOutcome.LAPSED, "", run.worker, now
                )

    def _drop_stopped(self, room, report, asked_at, now):
        """Give back what was stopped before it started.

        A stop that was answered makes a later start of the run fail; a list asked
        for after that, with the run in neither part, shows that it never ran.
        """
        listed = {(found.key, found.attempt) for found in report.runs}
        for run in list(room.runs.values()):
            confirmed = run.stop_confirmed
            if confirmed is None or confirmed > asked_at or run.name in listed:
                continue
            room.release(run)
            self.book.drop(run, now)

    def _note_inventory(self, now):
        """Let go what no worker that is still silent can run."""
        if self._is_settled:
            return
        silent = sorted(
            link.worker for link in self._links.values() if not link.is_inventoried
        )
        is_over = now > self._taken_at + _QUIET_SECONDS
        self.book.let_go(
            lambda task: is_over or self._is_clear(task, bool(silent)), now
        )
        if is_over or not (silent or self.book.has_held):
            self.book.let_all_go(now)
            self._is_settled = True
            self._settled_at = now
            _LOG.info(
                "pool settled",
                extra={
                    "pool": self.pool,
                    "seconds": round(now - self._taken_at, 3),
                    "silent": silent,
                },
            )

    def _is_clear(self, task, has_silent):
        """Return whether a task of before can't run at a worker unseen.

        A worker that is leaving may have left the list and run on; its tasks are
        kept back though all workers of the list have answered.
        """
        if task.place:
            link = self._links.get(task.place)
            return link is not None and link.is_inventoried
        return not has_silent

    def note_silence(self, link):
        """Close a worker that did not answer."""
        with self.lock:
            self._open_or_close(link)

    def note_fenced(self, link):
        """Ask whether the pool was lost: a worker has seen a newer epoch."""
        _LOG.warning("fenced by a worker", extra={"worker": link.worker})
        self._confirmed_at = 0.0
        self._host.look_at_owner(self)

    def note_rebirth(self, link):
        """Take note that all that ran on a worker is gone."""
        with self.lock:
            self._lose_runs(link)
        self.wake()

    def _lose_runs(self, link):
        room = self.rooms.get(link.worker)
        if room is None:
            return
        now = self._host.clock.monotonic()
        if room.runs:
            _LOG.info(
                "runs lost with their worker",
                extra={
                    "worker": link.worker,
                    "runs": len(room.runs),
                    "silent_seconds": round(now - (link.failed_since or now), 3),
                },
            )
        for run in list(room.runs.values()):
            room.release(run)
            self.book.end(run.key, run.attempt, EndOutcome.LAPSED, "", link.worker, now)
        self._stop_unneeded()

    # Orders.

    def note_start(self, link, run, outcome):
        """Take note of what became of an order to start."""
        with self.lock:
            room = self.rooms.get(link.worker)
            if room is None or run.name not in room.runs:
                return
            now = self._host.clock.monotonic()
            if outcome == StartOutcome.STARTED:
                self.book.note_started(run)
            elif outcome == StartOutcome.UNKNOWN:
                if run.phase == RunPhase.ORDERED:
                    run.phase = RunPhase.UNSURE
                    _LOG.info("start without an answer", extra=_run_fields(run))
                    self._order_stop(run, now)
            else:
                self._note_not_started(room, run, outcome, now)
            self._stop_unneeded()
        if outcome == StartOutcome.FENCED:
            self.note_fenced(link)
        self.wake()

    def _note_not_started(self, room, run, outcome, now):
        _LOG.info("start refused", extra={**_run_fields(run), "reason": outcome.value})
        room.release(run)
        if outcome == StartOutcome.TICKET_INVALID:
            self._advice.drop_ticket(run.key.step_key, run.worker)
        elif outcome in (StartOutcome.NO_ROOM, StartOutcome.REFUSED):
            step = self.book.step_of(run.key)
            if step is not None:
                step.tasks[run.key.index].avoid.add(run.worker)
        self.book.drop(run, now)

    def note_stop_confirmed(self, run):
        """Note that a worker has taken a stop."""
        with self.lock:
            run.stop_confirmed = self._host.clock.monotonic()

    def _stop_unneeded(self):
        now = self._host.clock.monotonic()
        runs, self.book.to_stop = self.book.to_stop, []
        for run in runs:
            self._order_stop(run, now)

    def _order_stop(self, run, now):
        if run.stop_requested is not None:
            return
        link = self._links.get(run.worker)
        run.phase = RunPhase.STOPPING
        run.stop_requested = now
        if link is not None:
            self._orders.stop(link, run)

    # Deciding.

    def _schedule(self):
        ticked_at = 0.0
        clock = self._host.clock
        while not self.is_stopped:
            clock.wait(self._wakeup, _TICK_SECONDS)
            self._wakeup.clear()
            if not self.may_act():
                self.pause(_TICK_SECONDS)
                continue
            now = clock.monotonic()
            with self.lock:
                if now - ticked_at >= _TICK_SECONDS:
                    ticked_at = now
                    self._tick(now)
                self._place(now)
            self._host.tell(self)
            if self.book.changed:
                self._journal.wake()

    def _tick(self, now):
        self.book.open_due(self._host.clock.time(), now)
        self._note_inventory(now)
        for link in self.links():
            room = self.rooms.get(link.worker)
            if link.is_silent and now > max(link.lapse_at, self._lapse_floor(link)):
                self._lose_runs(link)
                if not link.is_listed and self._is_settled:
                    self._drop_link(link)
                continue
            for run in list(room.runs.values()):
                self._tick_run(link, run, now)
        self._ask_ahead(now)
        self._start_copies(now)
        self._preempt(now)
        self._stop_unneeded()
        if now - self._forgotten_at > _FORGET_EVERY_SECONDS:
            self._forgotten_at = now
            if not self.is_stopped:
                self._executor.submit(self._forget_old, now)

    def _lapse_floor(self, link):
        # What an earlier owner started there is under a lease that it gave.
        return 0.0 if link.is_inventoried else self._taken_at + _QUIET_SECONDS

    def _tick_run(self, link, run, now):
        if run.phase == RunPhase.UNSURE:
            run.phase = RunPhase.STOPPING
            run.stop_requested = now
            self._orders.stop(link, run)
        elif (
            run.phase == RunPhase.STOPPING
            and run.stop_confirmed is None
            and now - run.stop_requested > _STOP_AGAIN_SECONDS
        ):
            run.stop_requested = now
            self._orders.stop(link, run)

    def _place(self, now):
        for step in order_steps(self.book.waiting_steps()):
            allowed = None
            if step.job.queue.advice is not None:
                allowed = self._advice.tickets(step.key, step.job.queue.advice, now)
                if allowed is None:
                    self._want_advice(step, now)
                    continue
            runs = place_step(step, self.rooms, allowed, self._begin)
            for run in runs:
                ticket = allowed.get(run.worker, "") if allowed else ""
                checkpoint = step.tasks[run.key.index].checkpoint
                payload = step.job.document.payload
                usable_until = self._advice.usable_until(step.key)
                self._unsent.append(
                    Start(run, payload, checkpoint, ticket, usable_until)
                )
        if self._unsent and self.recording.may_send(self._host.peers.all()):
            self.send_starts(self.take_unsent())

    def note_commit(self, seconds):
        """Take in a commit, or with None one that the store did not take."""
        if seconds is not None:
            self.recording.note_commit(seconds)
            self._host.note_store_word()
            return
        self._host.note_store_failure()
        self.recording.note_failure()
        self.recording.note_outage(self._is_alone_in_charge())

    def _is_alone_in_charge(self):
        """Return whether most hosts are heard, and none of them has the store."""
        peers, live = self._host.peers.all(), self._host.peers.live()
        if 2 * (len(live) + 1) <= len(peers) + 1:
            return False
        return not any(peer.store_age < _UNCONFIRMED_SECONDS for peer in live)

    def take_unsent(self, identifiers=None):
        """Return starts that are not ordered yet, and forget them.

        Parameters
        ----------
        identifiers : set of str, optional
            Only those of these jobs.
        """
        if identifiers is None:
            taken, self._unsent = self._unsent, []
            return taken
        taken = [one for one in self._unsent if one.run.key.job in identifiers]
        self._unsent = [
            one for one in self._unsent if one.run.key.job not in identifiers
        ]
        return taken

    def has_urgent_records(self):
        """Return whether a start or a final state waits for its record."""
        with self.lock:
            if self._unsent:
                return True
            jobs = (self.book.get(identifier) for identifier in self.book.changed)
            return any(job is not None and job.is_final for job in jobs)

    def put_back_unsent(self, starts):
        """Keep starts whose record could not be written."""
        self._unsent = starts + self._unsent

    def send_starts(self, starts):
        """Order starts."""
        for start in starts:
            link = self._links.get(start.run.worker)
            if link is not None:
                self._orders.start(link, start)

    def _begin(self, step, index, worker, attempt):
        now = self._host.clock.monotonic()
        run = self.book.begin(step, index, worker, now, attempt)
        self.rooms.get(worker).reserve(run)
        return run

    def _start_copies(self, now):
        """Start second copies of stragglers that other workers have room for."""
        for job in self.book.jobs():
            if job.is_final:
                continue
            for step in job.steps():
                for index in stragglers(step, now):
                    self._start_copy(step, index, now)

    def _start_copy(self, step, index, now):
        policy, allowed = step.job.queue.advice, None
        if policy is not None:
            allowed = self._advice.tickets(step.key, policy, now)
            if allowed is None:
                self._want_advice(step, now)
                return
        slow = step.tasks[index].runs[0].worker
        step.tasks[index].avoid.add(slow)
        room = self.rooms.choose(step, index, allowed)
        if room is None or room.worker == slow:
            return
        run = self._begin(step, index, room.worker, None)
        ticket = allowed.get(run.worker, "") if allowed else ""
        usable_until = self._advice.usable_until(step.key)
        payload = step.job.document.payload
        self._unsent.append(Start(run, payload, "", ticket, usable_until))
        _LOG.info("second copy", extra={**_run_fields(run), "slow": slow})

    def _preempt(self, now):
        """Stop patient tasks for the most urgent step that finds no room."""
        for step in order_steps(self.book.waiting_steps()):
            if step.step.is_gang or not may_preempt(step, now):
                continue
            policy, allowed = step.job.queue.advice, None
            if policy is not None:
                allowed = self._advice.tickets(step.key, policy, now)
                if allowed is None:
                    continue
            victims = choose_victims(step, self.rooms, allowed, self._victim_priority)
            if not victims:
                continue
            step.preempted_at = now
            for run in victims:
                _LOG.info(
                    "stopped for an urgent task",
                    extra={**_run_fields(run), "urgent": str(step.key)},
                )
                self._order_stop(run, now)
            return

    def _victim_priority(self, run):
        step = self.book.step_of(run.key)
        if step is None or step.job.is_final:
            return None
        found = step.step
        if not found.has_checkpoints or found.is_gang or found.is_lasting:
            return None
        return step.job.queue.priority

    # Advice.

    def _want_advice(self, step, now):
        policy = step.job.queue.advice
        if policy is None:
            return
        able = [
            room
            for room in self.rooms.able(step.step)
            if not room.registration.is_leaving
        ]
        unfit = self._advice.unfit(step.key)
        # A ticket ages: it is asked for again only where it can be used.
        demand = step.step.room_demand
        if not unfit or any(
            room.worker not in unfit and room.has_room(demand) for room in able
        ):
            names = [room.worker for room in able]
            self._advice.want(step.key, policy, names, now)

    def _ask_ahead(self, now):
        """Ask for the advice on a step while the one before it is about to end."""
        for job in self.book.jobs():
            if job.is_final or job.queue.advice is None:
                continue
            for steps in job.occurrences.values():
                for step in steps:
                    if step.is_ready or not step.step.after:
                        continue
                    rest = max(
                        self._rest_seconds(steps[number], now)
                        for number in step.step.after
                    )
                    workers = len(self.rooms)
                    expected = job.queue.advice.expected_seconds(workers)
                    if rest < expected + _AHEAD_SECONDS:
                        self._want_advice(step, now)

    @staticmethod
    def _rest_seconds(step, now):
        """Return how long a step may still run, going by its progress."""
        if step.is_done:
            return 0.0
        if not step.is_ready or step.waiting:
            return float("inf")
        rest = 0.0
        for task in step.tasks:
            for run in task.runs:
                elapsed = now - run.since
                done = run.percent / 100
                if done > 0.05:
                    total = (run.percent_at - run.since) / done
                else:
                    total = step.step.estimate_seconds
                rest = max(rest, total - elapsed)
        return rest

    def _ask_advice(self, key, workers, expected):
        future = self._host.ask_advice(key, workers, expected)
        future.add_done_callback(lambda done: self._note_advice(key, done))

    def _note_advice(self, key, done):
        error = done.exception()
        with self.lock:
            step = self.book.step_of(key)
            if error is not None:
                _LOG.info("no advice", extra={"step": str(key), "error": str(error)})
                self._advice.note_failure(key)
            elif step is not None:
                now = self._host.clock.monotonic()
                policy = step.job.queue.advice
                self._advice.note_answer(key, done.result(), policy, now)
        self.wake()

    # Telling.

    def note_committed(self):
        """Tell final states that have become durable."""
        self.wake()

    def take_news(self):
        """Return what callers may be told now, by job.

        Returns
        -------
        dict of str to str
        """
        with self.lock:
            news, self.book.news = self.book.news, set()
            jobs = [self.book.get(identifier) for identifier in news]
            return {job.identifier: _shown(job) for job in jobs if job is not None}

    def all_states(self):
        """Return what callers may be told of each job."""
        with self.lock:
            return {job.identifier: _shown(job) for job in self.book.jobs()}

    def waiting_jobs(self):
        """Return how many jobs of each queue have not begun."""
        counts = {}
        with self.lock:
            for job in self.book.jobs():
                if job.status == JobStatus.WAITING:
                    queue = job.document.queue
                    counts[queue] = counts.get(queue, 0) + 1
        return counts

    def _forget_old(self, now):
        """Drop jobs from the store that nobody may ask for any more."""
        forget_jobs(self, self._host, now)


def _shown(job):
    if job.status in JobStatus.FINAL and job.durable_status != job.status:
        return JobStatus.RUNNING
    return job.status


def _run_fields(run):
    return {
        "request_id": run.key.job,
        "step": run.key.step,
        "task": run.key.index,
        "attempt": run.attempt,
        "worker": run.worker,
    }
