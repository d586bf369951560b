"""Take in what workers list: their runs, their ends, and their silence."""

from papayapick.jobs.runs import RunPhase
from papayapick.placement.pace import Pacer
from papayapick.placement.progress import may_be_stalled
from papayapick.pool.events import (
    RUN_ENDED,
    RUN_FOUND,
    RUN_VANISHED,
    RUNS_LOST,
    START_FOUND,
    WORKER_FENCED,
)
from papayapick.pool.metrics import ENDS
from papayapick.pool.reports import EndOutcome, run_fields
from papayapick.pool.settling import QUIET_SECONDS

__all__ = ["WorkerLists"]


class WorkerLists:
    """Hear the links to workers, and keep book and rooms in step with their lists.

    Parameters
    ----------
    owner : PoolOwner
    """

    __slots__ = ("_owner", "_pacer")

    def __init__(self, owner):
        self._owner = owner
        self._pacer = Pacer()

    def may_act(self):
        """Return whether leases may be renewed."""
        return self._owner.may_act()

    def is_paced(self, link):
        """Return whether a worker has tasks that others beside them may disturb."""
        room = self._owner.rooms.get(link.worker)
        return room is not None and room.filler_runs and room.serving_runs

    def is_doubtful(self, link):
        """Return whether a run of a worker seems to stand still."""
        with self._owner.lock:
            room = self._owner.rooms.get(link.worker)
            return room is not None and may_be_stalled(room.runs.values())

    def note_report(self, link, report, asked_at):
        """Take in what a worker lists.

        Parameters
        ----------
        link : WorkerLink
        report : WorkerReport
        asked_at : float
            Monotonic seconds; what was confirmed before is reflected in it.
        """
        with self._owner.lock:
            room = self._owner.rooms.get(link.worker)
            if room is None or self._is_of_other_life(link, report):
                return
            now = self._owner.now()
            for end in report.ends:
                if end.number > link.processed:
                    self._take_end(link, room, end, now)
            if asked_at >= link.newest_asked_at:
                link.newest_asked_at = asked_at
                self._take_runs(link, room, report, now)
                if not report.has_more_ends:
                    self._drop_vanished(room, report, asked_at, now)
            if not link.is_inventoried:
                link.is_inventoried = True
                # What an earlier owner started there is under a lease that it gave.
                link.lapse_at = max(link.lapse_at, self._owner.taken_at + QUIET_SECONDS)
                self._owner.settling.note_inventory(now)
            self.open_or_close(link)
            if not report.has_more_ends:
                self._drop_stopped(room, report, asked_at, now)
            for run, percent in self._pacer.decide(room, now):
                self._owner.orders.pace(link, run, percent)
            self._owner.orders.stop_unneeded()
            has_ends = link.processed > link.acknowledged
        self._owner.wake()
        if has_ends or self._owner.book.changed:
            self._owner.journal.wake()

    @staticmethod
    def _is_of_other_life(link, report):
        """Return whether a list is not of the life that its worker is known to be in.

        One that was asked for beside the link's own call may wait for the lock while a
        new life begins. The number of its last end would have the ends of the new life,
        which are numbered anew, taken for known.
        """
        return link.born is not None and report.born != link.born

    def note_silence(self, link):
        """Close a worker that did not answer."""
        with self._owner.lock:
            self.open_or_close(link)

    def note_fenced(self, link):
        """Ask whether the pool was lost: a worker has seen a newer epoch."""
        WORKER_FENCED.write(worker=link.worker, epoch=self._owner.row.epoch)
        self._owner.standing.doubt()
        self._owner.host.verify_ownership(self._owner)

    def note_rebirth(self, link, born, listed=frozenset()):
        """Take note that what ran on a worker is gone, and of its new life.

        Parameters
        ----------
        link : WorkerLink
        born : int or None
        listed : set of tuple, optional
            Names of the runs that the new life has begun, ended ones too. Given up
            until its list is taken in, they would be placed again, and run twice.
        """
        with self._owner.lock:
            self._lose(link, "began anew", lambda run: run.name not in listed)
            link.begin_life(born)
            if not link.is_inventoried:
                self._owner.settling.note_gone(link.worker, self._owner.now())
        self._owner.wake()

    def open_or_close(self, link):
        """Let tasks be placed on a worker, or not."""
        room = self._owner.rooms.get(link.worker)
        if room is not None:
            room.is_open = (
                link.is_inventoried
                and not link.is_silent
                and not link.registration.is_leaving
                and not room.is_draining
            )

    def _take_end(self, link, room, end, now):
        run = room.runs.get((end.key, end.attempt))
        step = self._owner.book.step_of(end.key)
        self._owner.book.end(
            end.key, end.attempt, end.outcome, end.checkpoint, link.worker, now
        )
        if run is not None:
            room.release(run)
        link.processed = end.number
        ENDS.labels(end.outcome).inc()
        self._owner.laggards.note_end(step, run, end, room, now)
        if step is not None and end.outcome != EndOutcome.DONE:
            self._note_end(step, end, run, link.worker, now)

    @staticmethod
    def _note_end(step, end, run, worker, now):
        task = step.tasks[end.key.index]
        RUN_ENDED.write(
            request_id=end.key.job,
            step=end.key.step,
            task=end.key.index,
            attempt=end.attempt,
            worker=worker,
            outcome=end.outcome,
            failures=task.failures,
            failure_limit=step.job.queue.failure_limit,
            seconds=None if run is None else round(run.worked_seconds(now), 3),
            is_retried=not (step.job.is_final or task.is_done),
        )

    def _take_runs(self, link, room, report, now):
        for found in report.runs:
            run = room.runs.get((found.key, found.attempt))
            if run is None:
                run = self._owner.book.adopt(found, link.worker, now)
                room.reserve(run)
                RUN_FOUND.write(
                    **run_fields(run),
                    is_needed=run not in self._owner.book.to_stop,
                    percent=found.percent,
                )
            if run.phase in (RunPhase.ORDERED, RunPhase.UNSURE):
                if run.phase == RunPhase.UNSURE:
                    START_FOUND.write(**run_fields(run))
                self._owner.book.note_started(run)
            run.was_listed, run.was_listed_again = True, run.was_listed
            if run.percent != found.percent:
                run.progressed_at = now
            run.percent, run.percent_at = found.percent, now
            run.measurement = found.measurement
            if found.checkpoint != run.checkpoint:
                run.checkpoint = found.checkpoint
                self._owner.book.note_checkpoint(run)

    def _drop_vanished(self, room, report, asked_at, now):
        """Give up runs that a worker said it runs, and lists no more.

        Lists asked for on two connections may overtake each other: an old one
        shows a run whose end was taken note of, and nothing more is heard of it.
        Its task would wait for that end for ever. Not where the worker holds back
        ends: that of a run which is done may be among them, and it would run again.
        """
        listed = {(found.key, found.attempt) for found in report.runs}
        for run in list(room.runs.values()):
            if run.ran_before(asked_at) and run.name not in listed:
                RUN_VANISHED.write(**run_fields(run))
                room.release(run)
                self._owner.book.end(
                    run.key, run.attempt, EndOutcome.LAPSED, "", run.worker, now
                )

    def _drop_stopped(self, room, report, asked_at, now):
        """Give back what was stopped before it started.

        A stop that was answered makes a later start of the run fail; a list asked
        for after that, with the run in neither part, shows that it never ran, unless
        the worker holds back ends: then it may have ended as done.
        """
        listed = {(found.key, found.attempt) for found in report.runs}
        for run in list(room.runs.values()):
            confirmed = run.stop_confirmed
            if confirmed is None or confirmed > asked_at or run.name in listed:
                continue
            room.release(run)
            self._owner.book.drop(run, now)

    def lose_seen_runs(self, link):
        """Give up what had begun on a worker whose life is over.

        An order without an answer may still be carried out, by the next life under the
        same id too: what it would start waits until its lease is over, as ever.
        """
        self._lose(link, "no such worker", lambda run: run.has_begun)

    def lose_runs(self, link, reason):
        """Take note that no run on a worker can be at work any more."""
        self._lose(link, reason, lambda run: True)

    def _lose(self, link, reason, is_lost):
        room = self._owner.rooms.get(link.worker)
        if room is None:
            return
        now = self._owner.now()
        lost = [run for run in room.runs.values() if is_lost(run)]
        if lost:
            RUNS_LOST.write(
                worker=link.worker,
                runs=len(lost),
                request_ids=sorted({run.key.job for run in lost}),
                silent_seconds=round(now - (link.failed_since or now), 3),
                reason=reason,
            )
        for run in lost:
            room.release(run)
            self._owner.book.end(
                run.key, run.attempt, EndOutcome.LAPSED, "", link.worker, now
            )
        self._owner.orders.stop_unneeded()
