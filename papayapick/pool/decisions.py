"""Decide what starts where, what is copied, and what makes room."""

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
from papayapick.pool.orders import Start
from papayapick.pool.reports import run_fields

__all__ = ["Decisions", "WaitReason"]


# Advice and room are found within this time as a rule; a longer wait is worth a line.
_TOLD_WAIT_SECONDS = 0.5
# A log that reaches back some seconds only must still show what a step waits for.
_TELL_AGAIN_SECONDS = 2.0


class WaitReason(enum.Enum):
    """Tell what a ready step waits for."""

    # Advice was asked for.
    ADVICE = "advice"
    # Steps before it use up the room for which advice is asked.
    TURN = "turn"
    # No worker that may run it has room: advice would age unused.
    NO_FIT = "no-fit"
    ROOM = "room"


class _Round:
    """Hold what one round of placing has left to give."""

    __slots__ = ("_most_free", "_roomy", "holds", "lookahead", "now")

    def __init__(self, owner, steps, now):
        self.now = now
        self.lookahead = AdviceBudget(owner.rooms)
        self.holds = Holds(owner.rooms, owner.book.step_of, now)
        # As the round begins; there is less as it goes on.
        self._most_free = owner.rooms.max_free()
        least = _least_demand(steps)
        self._roomy = {
            room.worker: room
            for room in owner.rooms
            if room.is_open and room.has_room(least)
        }

    def may_fit(self, step):
        """Return whether a task of a step may fit anywhere."""
        return step.step.room_demand.fits_in(self._most_free)

    def may_fit_on(self, step, allowed):
        """Return whether a task of a step may fit where it may run.

        Guards against a look at all workers for each of the hundreds of steps whose
        tickets are for full workers, while others are free.

        Parameters
        ----------
        step : StepState
        allowed : dict of str to str or None
            Tickets by worker; None where none is needed.
        """
        if not self.may_fit(step):
            return False
        if allowed is None:
            return True
        demand = step.step.room_demand
        roomy = self._roomy.keys() & allowed.keys()
        return any(self._roomy[worker].has_room(demand) for worker in roomy)


def _least_demand(steps):
    """Return the least of each amount that a task of any step takes."""
    demands = [step.step.room_demand for step in steps]
    return Amounts(
        min((one.processors for one in demands), default=0),
        min((one.memory for one in demands), default=0),
        min((one.accelerators for one in demands), default=0),
    )


class Decisions:
    """Place waiting tasks, and keep their starts until their record is durable.

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
        """Place what waits, the most urgent first; starts wait for their record."""
        owner = self._owner
        steps = owner.book.waiting_steps()
        turn = _Round(owner, steps, now)
        for step in order_steps(steps, now):
            allowed = None
            if step.job.queue.advice is not None:
                allowed = owner.advising.tickets(step, now)
                if allowed is None:
                    self._wait_for_advice(step, turn)
                    continue
            self._place_step(step, allowed, turn)
        owner.advising.is_short = turn.lookahead.is_exhausted
        if self._unsent and owner.recording.may_send(owner.host.peers.all()):
            self.send_starts(self.take_unsent())

    def _wait_for_advice(self, step, turn):
        known = self._owner.advising.known_fit(step)
        is_held = bool(known) and turn.holds.hold_room(step, known) is not None
        reason = self._ask(step, turn, is_held)
        self._note_wait(step, reason, turn.now)

    def _ask(self, step, turn, is_held):
        """Ask for advice on a step if it is its turn; return what it waits for.

        In this order: a step that can't use advice must not keep those behind it from
        being asked about.
        """
        advising = self._owner.advising
        if not is_held and not advising.is_useful(step, turn.may_fit(step)):
            return WaitReason.NO_FIT
        if not turn.lookahead.admits(step):
            return WaitReason.TURN
        advising.ask(step, turn.now)
        return WaitReason.ADVICE

    def _place_step(self, step, allowed, turn):
        if turn.may_fit_on(step, allowed):
            runs = place_step(step, self._owner.rooms, allowed, self._begin)
            self._keep_starts(step, runs, allowed or {})
            if runs:
                self._note_placed(step, runs, turn.now)
        if not step.waiting:
            return
        self._note_wait(step, WaitReason.ROOM, turn.now)
        lift_exclusions(step, turn.now)
        free_in = turn.holds.hold_room(step, allowed)
        if free_in is not None:
            self._owner.advising.renew(step, free_in, turn.now)

    def _keep_starts(self, step, runs, tickets, is_resumed=True):
        """Keep starts until their record is durable.

        Parameters
        ----------
        step : StepState
        runs : list of Run
        tickets : dict of str to str
            By worker; empty where none is needed.
        is_resumed : bool, optional
            Whether they go on from saved progress; a second copy begins anew.
        """
        usable_until = self._owner.advising.usable_until(step)
        payload = step.job.document.payload
        for run in runs:
            checkpoint = step.tasks[run.key.index].checkpoint if is_resumed else ""
            ticket = tickets.get(run.worker, "")
            self._unsent.append(Start(run, payload, checkpoint, ticket, usable_until))

    def _note_placed(self, step, runs, now):
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

    def _note_wait(self, step, reason, now):
        """Tell what a step waits for, when it has waited long."""
        waited = now - step.ready_at
        is_told = (
            step.logged_wait == reason
            and now < step.logged_wait_at + _TELL_AGAIN_SECONDS
        )
        if waited < _TOLD_WAIT_SECONDS or is_told:
            return
        step.logged_wait, step.logged_wait_at = reason, now
        status = self._owner.advising.status(step, now)
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
        run = self._owner.book.begin_run(step, index, worker, now, attempt)
        room = self._owner.rooms.get(worker)
        room.reserve(run)
        if room.hold is not None and room.hold.step_key != step.key:
            room.hold.take_spare(run.demand)
        return run

    def start_copies(self, now):
        """Start second copies of stragglers that other workers have room for."""
        for job in self._owner.book.live_jobs():
            for step in job.steps():
                for index in stragglers(step, now):
                    self._start_copy(step, index, now)

    def _start_copy(self, step, index, now):
        policy, allowed = step.job.queue.advice, None
        if policy is not None:
            allowed = self._owner.advising.tickets(step, now)
            if allowed is None:
                self._owner.advising.want(step, now)
                return
        first = step.tasks[index].runs[0]
        slow = first.worker
        step.tasks[index].avoid.add(slow)
        room = self._owner.rooms.choose(step, index, allowed)
        if room is None or room.worker == slow:
            return
        run = self._begin(step, index, room.worker, None)
        self._keep_starts(step, [run], allowed or {}, is_resumed=False)
        COPY_STARTED.write(
            **run_fields(run),
            slow_worker=slow,
            slow_seconds=round(first.worked_seconds(now), 3),
            usual_seconds=round(step.usual_seconds, 3),
        )

    def preempt(self, now):
        """Stop patient tasks for the most urgent step that finds no room."""
        overdue = [
            step for step in self._owner.book.waiting_steps() if may_preempt(step, now)
        ]
        if not overdue:
            return
        stoppable = StoppableRuns(self._owner.rooms, self._victim_priority)
        useful = [step for step in overdue if stoppable.below(step.job.queue.priority)]
        for step in order_steps(useful, now):
            allowed = None
            if step.job.queue.advice is not None:
                allowed = self._owner.advising.known_fit(step)
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
        step = self._owner.book.step_of(run.key)
        if step is None or step.job.is_final:
            return None
        found = step.step
        if not found.has_checkpoints or found.is_gang or found.is_lasting:
            return None
        return step.job.queue.priority

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
        with self._owner.lock:
            if self._unsent:
                return True
            jobs = (
                self._owner.book.get(identifier)
                for identifier in self._owner.book.changed
            )
            return any(job is not None and job.is_final for job in jobs)

    def put_back_unsent(self, starts):
        """Keep starts whose record could not be written."""
        self._unsent = starts + self._unsent

    def send_starts(self, starts):
        """Order starts."""
        for start in starts:
            link = self._owner.links_by_worker.get(start.run.worker)
            if link is not None:
                self._owner.orders.start(link, start)
