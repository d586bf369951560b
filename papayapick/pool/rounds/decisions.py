"""Scheduling decisions: placement, second copies and preemption."""

from papayapick.jobs.state import JobStatus
from papayapick.placement.order.backlog import BacklogMonitor
from papayapick.placement.order.steps import order_steps
from papayapick.placement.release.preemption import (
    StoppableRuns,
    choose_victims,
    may_preempt,
    victim_priority,
)
from papayapick.placement.runs.copies import (
    copy_allowance,
    late_runs,
    stragglers,
    unjudged_stragglers,
)
from papayapick.pool.events import COPY_STARTED, STOPPED_FOR_URGENT
from papayapick.pool.metrics import FIRST_START_SECONDS
from papayapick.pool.rounds.placement_rounds import PlacementRounds
from papayapick.pool.rounds.urgent_stops import UrgentStops
from papayapick.pool.rounds.waiting import WaitReason
from papayapick.pool.workers.orders import StartOrder
from papayapick.pool.workers.reports import run_fields

__all__ = ["Decisions"]

_LACKS_ROOM = (WaitReason.ROOM, WaitReason.NO_FIT)


class Decisions:
    """Place waiting tasks, and queue their starts until their record is durable.

    Parameters
    ----------
    owner : PoolOwner

    Attributes
    ----------
    backlog : BacklogMonitor
    """

    __slots__ = ("_owner", "_rounds", "_stops", "_unsent", "backlog")

    def __init__(self, owner):
        self._owner = owner
        self._rounds = PlacementRounds(owner, self._begin_run, self._queue_starts)
        self._stops = UrgentStops(owner)
        self._unsent = []
        self.backlog = BacklogMonitor()

    @property
    def planned_jobs(self):
        """Return how many jobs of each queue are in time, yield or are late.

        Returns
        -------
        dict of str to collections.Counter
            By queue and ``Standing``; empty while the pool has room for all.
        """
        return self._rounds.planned_jobs

    def place(self, now):
        """Place waiting tasks, the most urgent first, and queue their starts."""
        owner = self._owner
        self._rounds.run(now)
        if self._unsent and owner.recording.may_send(owner.host.peers.all()):
            self.send_starts(self.take_unsent())

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

    def _begin_run(self, step, index, worker, attempt):
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
        """Start second copies of stragglers on other workers with room."""
        steps = [
            step for job in self._owner.job_registry.live_jobs() for step in job.steps()
        ]
        if self._owner.knowledge.speeds.differ:
            self._start_useful_copies(steps, now)
            return
        for step in steps:
            for index in stragglers(step, now):
                self._start_copy(step, index, now)

    def _start_useful_copies(self, steps, now):
        """Start copies that end clearly before runs that make their jobs late.

        They must not take room from work that is in time: while a step waits for room,
        copies are started of runs only that may not end by themselves. Some steps wait
        for ever, as their tasks fit no worker.
        """
        owner, knowledge = self._owner, self._owner.knowledge
        waiting = owner.job_registry.waiting_steps()
        is_short = any(step.wait_reason in _LACKS_ROOM for step in waiting)
        allowance = copy_allowance(steps, owner.rooms.capacity_processors)
        late_runs_by_step = self._late_runs(steps, is_short, now)
        allowance = self._start_late_copies(late_runs_by_step, allowance, now)
        for step in steps:
            for index in unjudged_stragglers(step, now, knowledge):
                demand = step.step.room_demand.processors
                if demand <= allowance and self._start_copy(step, index, now):
                    allowance -= demand

    def _late_runs(self, steps, is_short, now):
        """Return the runs that may be copied, as pairs of a step and a LateRun."""
        knowledge = self._owner.knowledge
        return [
            (step, late)
            for step in steps
            for late in late_runs(step, now, knowledge, self._runs_beside)
            if late.has_stalled or not is_short
        ]

    def _start_late_copies(self, late_runs_by_step, allowance, now):
        """Copy the runs that are late, and return what is left of the allowance."""
        if not late_runs_by_step:
            return allowance
        rooms, speeds = self._owner.rooms, self._owner.knowledge.speeds
        # Without a worker on which the copy would end earlier, advice is not needed.
        fastest = max(
            (room.worker for room in rooms if room.is_open),
            key=speeds.speed,
            default="",
        )
        for step, late in late_runs_by_step:

            def is_worth(worker, late=late):
                return late.is_worth_copy(worker, speeds)

            demand = step.step.room_demand.processors
            if demand > allowance or not is_worth(fastest):
                continue
            if self._start_copy(step, late.index, now, is_worth):
                allowance -= demand
        return allowance

    def _runs_beside(self, run):
        """Return the runs on the worker of a run, with the steps of live jobs."""
        room = self._owner.rooms.get(run.worker)
        runs = () if room is None else room.runs.values()
        pairs = [(one, self._owner.job_registry.step_of(one.key)) for one in runs]
        return [(one, step) for one, step in pairs if step is not None]

    def _start_copy(self, step, index, now, is_worth=None):
        """Start a second copy of a task if possible; return whether it was.

        Parameters
        ----------
        step : StepState
        index : int
        now : float
        is_worth : callable, optional
            Takes the name of a worker; returns whether to start a copy there.

        Returns
        -------
        bool
        """
        if not self._owner.team_usage.admits(step):
            return False
        policy, allowed = step.job.queue.advice, None
        if policy is not None:
            allowed = self._owner.advice_manager.tickets(step, now)
            if allowed is None:
                self._owner.advice_manager.request_if_useful(step, now)
                return False
        first = step.tasks[index].runs[0]
        slow = first.worker
        step.tasks[index].avoid.add(slow)
        room = self._owner.rooms.choose(step, index, allowed)
        if room is None or room.worker == slow:
            return False
        if is_worth is not None and not is_worth(room.worker):
            return False
        run = self._begin_run(step, index, room.worker, None)
        self._queue_starts(step, [run], allowed or {}, is_resumed=False)
        COPY_STARTED.write(
            **run_fields(run),
            slow_worker=slow,
            slow_seconds=round(first.worked_seconds(now), 3),
            usual_seconds=round(step.usual_seconds, 3),
        )
        return True

    def preempt(self, now):
        """Stop tasks of lower priority for the most urgent step without room.

        Where overload is expected, for the most urgent steps together.
        """
        if self._owner.knowledge.features.is_in_use:
            self._stops.run(now)
            return
        overdue = [
            step
            for step in self._owner.job_registry.waiting_steps()
            if may_preempt(step, now) and step.wait_reason != WaitReason.QUOTA
        ]
        if not overdue:
            return
        stoppable = StoppableRuns(self._owner.rooms, self._victim_priority)
        useful = [step for step in overdue if stoppable.below(step.job.priority)]
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
        return victim_priority(self._owner.job_registry.step_of(run.key))

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
