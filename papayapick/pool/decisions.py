"""Scheduling decisions: placement, second copies and preemption."""

import enum

from papayapick.jobs.state import JobStatus
from papayapick.ledger import Amounts
from papayapick.placement.advice_budget import AdviceBudget
from papayapick.placement.backlog import BacklogMonitor
from papayapick.placement.copies import stragglers
from papayapick.placement.exclusions import lift_exclusions
from papayapick.placement.holds import Holds
from papayapick.placement.preemption import (
    StoppableRuns,
    choose_victims,
    may_preempt,
)
from papayapick.placement.steps import order_steps, place_step
from papayapick.pool.events import (
    COPY_STARTED,
    STEP_PLACED,
    STEP_WAITS,
    STOPPED_FOR_URGENT,
)
from papayapick.pool.metrics import FIRST_START_SECONDS
from papayapick.pool.orders import StartOrder
from papayapick.pool.reports import run_fields

__all__ = ["Decisions", "WaitReason"]


# Steps usually get advice and capacity within this time; a longer wait is logged.
_LOG_AFTER_SECONDS = 0.5
# A log that covers only the last few seconds must still show what a step waits for.
_LOG_AGAIN_SECONDS = 2.0


class WaitReason(enum.Enum):
    """What a ready step waits for."""

    # Advice has been requested.
    ADVICE = "advice"
    # Steps ahead of it use up the capacity for which advice is requested.
    TURN = "turn"
    # No worker that may run it has capacity: advice would expire unused.
    NO_FIT = "no-fit"
    # No worker that may run it has capacity left in this round.
    ROOM = "room"


class _PlacementRound:
    """Hold the capacity that is left during one round of placement."""

    __slots__ = ("_most_free", "_roomy", "advice_budget", "holds", "now")

    def __init__(self, owner, steps, now):
        self.now = now
        self.advice_budget = AdviceBudget(owner.rooms)
        self.holds = Holds(owner.rooms, owner.job_registry.step_of, now)
        # At the start of the round: an upper bound for the rest of it.
        self._most_free = owner.rooms.max_free()
        least = _least_demand(steps)
        self._roomy = {
            room.worker: room
            for room in owner.rooms
            if room.is_open and room.has_room(least)
        }

    def may_fit(self, step):
        """Return whether a task of a step may fit on any worker."""
        return step.step.room_demand.fits_in(self._most_free)

    def may_fit_on(self, step, allowed):
        """Return whether a task of a step may fit on a worker that may run it.

        Avoids a scan of all workers for each of the hundreds of steps whose tickets
        are for full workers, while other workers have capacity.

        Parameters
        ----------
        step : StepState
        allowed : dict of str to str or None
            Tickets by worker; None if the step needs no advice.
        """
        if not self.may_fit(step):
            return False
        if allowed is None:
            return True
        demand = step.step.room_demand
        roomy = self._roomy.keys() & allowed.keys()
        return any(self._roomy[worker].has_room(demand) for worker in roomy)


def _least_demand(steps):
    """Return, for each resource, the smallest amount that a task of any step needs."""
    demands = [step.step.room_demand for step in steps]
    return Amounts(
        min((one.processors for one in demands), default=0),
        min((one.memory for one in demands), default=0),
        min((one.accelerators for one in demands), default=0),
    )


class Decisions:
    """Place waiting tasks, and queue their starts until their record is durable.

    Parameters
    ----------
    owner : PoolOwner

    Attributes
    ----------
    backlog : BacklogMonitor
    """

    __slots__ = ("_owner", "_unsent", "backlog")

    def __init__(self, owner):
        self._owner = owner
        self._unsent = []
        self.backlog = BacklogMonitor()

    def place(self, now):
        """Place waiting tasks, the most urgent first, and queue their starts."""
        owner = self._owner
        steps = owner.job_registry.waiting_steps()
        current = _PlacementRound(owner, steps, now)
        for step in order_steps(steps, now):
            allowed = None
            if step.job.queue.advice is not None:
                allowed = owner.advice_manager.tickets(step, now)
                if allowed is None:
                    self._wait_for_advice(step, current)
                    continue
            self._place_step(step, allowed, current)
        owner.advice_manager.is_saturated = current.advice_budget.is_exhausted
        if self._unsent and owner.recording.may_send(owner.host.peers.all()):
            self.send_starts(self.take_unsent())

    def _wait_for_advice(self, step, current):
        known = self._owner.advice_manager.last_tickets(step)
        is_held = bool(known) and current.holds.hold_room(step, known) is not None
        reason = self._request_advice(step, current, is_held)
        self._log_wait(step, reason, current.now)

    def _request_advice(self, step, current, is_held):
        """Request advice on a step if it is its turn; return what it waits for.

        Usefulness is checked first: a step that can't use advice must not consume the
        advice budget and so prevent requests for the steps behind it.
        """
        advice_manager = self._owner.advice_manager
        if not is_held and not advice_manager.is_useful(step, current.may_fit(step)):
            return WaitReason.NO_FIT
        if not current.advice_budget.admits(step):
            return WaitReason.TURN
        advice_manager.request(step, current.now)
        return WaitReason.ADVICE

    def _place_step(self, step, allowed, current):
        if current.may_fit_on(step, allowed):
            runs = place_step(step, self._owner.rooms, allowed, self._begin)
            self._queue_starts(step, runs, allowed or {})
            if runs:
                self._log_placed(step, runs, current.now)
        if not step.waiting:
            return
        self._log_wait(step, WaitReason.ROOM, current.now)
        lift_exclusions(step, current.now)
        free_in = current.holds.hold_room(step, allowed)
        if free_in is not None:
            self._owner.advice_manager.renew(step, free_in, current.now)

    def _queue_starts(self, step, runs, tickets, is_resumed=True):
        """Queue the starts of placed runs until their record is durable.

        Parameters
        ----------
        step : StepState
        runs : list of Run
        tickets : dict of str to str
            By worker; empty if the step needs no advice.
        is_resumed : bool, optional
            Whether the runs resume from their checkpoint; a second copy does not.
        """
        usable_until = self._owner.advice_manager.usable_until(step)
        payload = step.job.document.payload
        for run in runs:
            checkpoint = step.tasks[run.key.index].checkpoint if is_resumed else ""
            ticket = tickets.get(run.worker, "")
            self._unsent.append(
                StartOrder(run, payload, checkpoint, ticket, usable_until)
            )

    def _log_placed(self, step, runs, now):
        step.logged_wait = None
        STEP_PLACED.write(
            request_id=step.key.job,
            occurrence=step.key.occurrence,
            step=step.key.step,
            tasks=[run.key.index for run in runs],
            attempts=[run.attempt for run in runs],
            workers=[run.worker for run in runs],
            left=len(step.waiting),
            waited_seconds=round(now - step.ready_at, 3),
            epoch=self._owner.row.epoch,
        )

    def _log_wait(self, step, reason, now):
        """Log what a step waits for, once it has waited long."""
        waited = now - step.ready_at
        is_logged = (
            step.logged_wait == reason
            and now < step.logged_wait_at + _LOG_AGAIN_SECONDS
        )
        if waited < _LOG_AFTER_SECONDS or is_logged:
            return
        step.logged_wait, step.logged_wait_at = reason, now
        status = self._owner.advice_manager.status(step, now)
        asked = status.asked_seconds
        STEP_WAITS.write(
            request_id=step.key.job,
            occurrence=step.key.occurrence,
            step=step.key.step,
            tasks=len(step.waiting),
            reason=reason.value,
            waited_seconds=round(waited, 3),
            open_workers=sum(room.is_open for room in self._owner.rooms),
            able_workers=len(self._owner.rooms.able(step.step)),
            advised_workers=status.advised,
            unfit_workers=status.unfit,
            asked_seconds=None if asked is None else round(asked, 3),
        )

    def _begin(self, step, index, worker, attempt):
        now = self._owner.now()
        if step.job.status == JobStatus.WAITING and not step.job.has_placed_task:
            step.job.has_placed_task = True
            FIRST_START_SECONDS.observe(now - step.job.arrived_at)
            self.backlog.note_first_start(step.job.document.queue, now)
        run = self._owner.job_registry.begin_run(step, index, worker, now, attempt)
        room = self._owner.rooms.get(worker)
        room.reserve(run)
        if room.hold is not None and room.hold.step_key != step.key:
            room.hold.take_spare(run.demand)
        return run

    def start_copies(self, now):
        """Start second copies of stragglers on other workers with capacity."""
        for job in self._owner.job_registry.live_jobs():
            for step in job.steps():
                for index in stragglers(step, now):
                    self._start_copy(step, index, now)

    def _start_copy(self, step, index, now):
        policy, allowed = step.job.queue.advice, None
        if policy is not None:
            allowed = self._owner.advice_manager.tickets(step, now)
            if allowed is None:
                self._owner.advice_manager.request_if_useful(step, now)
                return
        first = step.tasks[index].runs[0]
        slow = first.worker
        step.tasks[index].avoid.add(slow)
        room = self._owner.rooms.choose(step, index, allowed)
        if room is None or room.worker == slow:
            return
        run = self._begin(step, index, room.worker, None)
        self._queue_starts(step, [run], allowed or {}, is_resumed=False)
        COPY_STARTED.write(
            **run_fields(run),
            slow_worker=slow,
            slow_seconds=round(first.worked_seconds(now), 3),
            usual_seconds=round(step.usual_seconds, 3),
        )

    def preempt(self, now):
        """Stop tasks of lower priority for the most urgent step without capacity."""
        overdue = [
            step
            for step in self._owner.job_registry.waiting_steps()
            if may_preempt(step, now)
        ]
        if not overdue:
            return
        stoppable = StoppableRuns(self._owner.rooms, self._victim_priority)
        useful = [step for step in overdue if stoppable.below(step.job.queue.priority)]
        for step in order_steps(useful, now):
            allowed = None
            if step.job.queue.advice is not None:
                allowed = self._owner.advice_manager.last_tickets(step)
                if not allowed:
                    continue
            victims = choose_victims(step, self._owner.rooms, allowed, stoppable)
            if not victims:
                continue
            step.preempted_at = now
            for run in victims:
                STOPPED_FOR_URGENT.write(
                    **run_fields(run), percent=run.percent, urgent=str(step.key)
                )
                self._owner.orders.stop_once(run, now)
            return

    def _victim_priority(self, run):
        step = self._owner.job_registry.step_of(run.key)
        if step is None or step.job.is_final:
            return None
        found = step.step
        if not found.has_checkpoints or found.is_gang or found.is_lasting:
            return None
        return step.job.queue.priority

    def take_unsent(self, identifiers=None):
        """Remove and return the starts that have not been sent yet.

        Parameters
        ----------
        identifiers : set of str, optional
            Jobs whose starts to return; those of all jobs by default.
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
        """Return whether a start or a job's final state waits to be recorded."""
        with self._owner.lock:
            if self._unsent:
                return True
            jobs = (
                self._owner.job_registry.get(identifier)
                for identifier in self._owner.job_registry.changed
            )
            return any(job is not None and job.is_final for job in jobs)

    def requeue_unsent(self, starts):
        """Put starts back at the front, because their record could not be written."""
        self._unsent = starts + self._unsent

    def send_starts(self, starts):
        """Send starts to their workers; skip workers that were removed."""
        for start in starts:
            link = self._owner.links_by_worker.get(start.run.worker)
            if link is not None:
                self._owner.orders.start(link, start)
