"""Stop patient tasks of an owner's pool for the most urgent steps without room.

Load pattern: urgent jobs arrive in a burst while patient tasks fill the pool. The whole
need of several steps is planned together, ten times a second.
"""

import heapq

from papayapick.jobs.runs import RunPhase
from papayapick.overload.duty_cycle import DutyCycle
from papayapick.overload.stops import StopNeed, StopPlan, Victim
from papayapick.placement.order.steps import service_key
from papayapick.placement.order.timeliness import (
    Timeliness,
    due_at,
    has_deadline,
    latest_start,
)
from papayapick.placement.release.preemption import may_preempt, victim_priority
from papayapick.placement.runs.progress import projected_remaining_seconds
from papayapick.pool.events import STOPPED_FOR_URGENT
from papayapick.pool.rounds.waiting import WaitReason
from papayapick.pool.workers.reports import run_fields

__all__ = ["UrgentStops"]

# A stop occupies one of 128 threads for up to 1.2 s, and other stops need some.
_MAX_STOPPING = 96
# Stops ordered in one tenth of a second.
_MAX_STOPS = 32
# Steps for which stops are planned at a time: all workers are examined for each.
_MAX_STEPS = 8
# A step waits until a full round has examined it.
_WAIT_SECONDS = 0.1
# Time within which a stop is carried out, its end reported and the room used.
_STOP_SECONDS = 0.3
# A stop without an answer is repeated after 0.4 s. Until shortly before that its room
# is expected; then the answer was lost, and others are stopped in its place.
_UNANSWERED_SECONDS = 0.35
# An end that is not reported within this time after the answer may never be.
_UNREPORTED_SECONDS = 1.0
# Time for which a stopped run makes no progress: the stop, and the restore of its
# checkpoint.
_STILL_SECONDS = 0.9
# Callers' estimates are usually off by half.
_ESTIMATE_FACTOR = 1.5
# Share of the owner's time that plans may take.
_MAX_TIME_SHARE = 0.1
_MILLICORES = 1000
_FULL = 100


class UrgentStops:
    """Stop runs for the steps of an owner that could be in time with their room.

    Parameters
    ----------
    owner : PoolOwner
    order : VictimOrder, optional
    """

    __slots__ = ("_cycle", "_order", "_owner")

    def __init__(self, owner, order=None):
        self._owner = owner
        self._order = order
        self._cycle = DutyCycle(_MAX_TIME_SHARE)

    def run(self, now):
        """Order the stops that are needed now, if it is time for a plan.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        if self._cycle.is_due(now):
            begin = self._owner.now()
            self._plan(now)
            self._cycle.note_run(begin, self._owner.now())

    def _plan(self, now):
        owner = self._owner
        steps = [
            step
            for step in owner.job_registry.waiting_steps()
            if step.wait_reason != WaitReason.QUOTA and _may_stop_for(step, now)
        ]
        if not steps:
            return
        victims = _Victims(owner, now)
        max_stops = min(_MAX_STOPS, _MAX_STOPPING - victims.stopping)
        if max_stops <= 0 or victims.least_urgent is None:
            return
        steps = [step for step in steps if step.job.priority < victims.least_urgent]
        plan = StopPlan(owner.rooms, victims.ends, victims.on, max_stops, self._order)
        for step in heapq.nsmallest(
            _MAX_STEPS, steps, key=lambda step: (service_key(step, now)[0], step.key)
        ):
            need = None if plan.is_full else self._need(step, now)
            if need is not None:
                self._stop(step, plan.add(need), now)

    def _need(self, step, now):
        owner, allowed = self._owner, None
        if step.job.queue.advice is not None:
            allowed = owner.advice_manager.last_tickets(step)
            if not allowed:
                return None
        tasks = len(step.waiting)
        if step.step.is_gang:
            tasks = tasks if owner.team_usage.admits(step) else 0
        else:
            team = step.job.document.team
            tasks = owner.team_usage.admissible(team, step.step.demand, tasks)
        if not tasks:
            return None
        within = 0.0
        if has_deadline(step):
            _, latest = latest_start(step, now)
            within = (latest - now) / _ESTIMATE_FACTOR
        return StopNeed(step, tasks, allowed, within)

    def _stop(self, step, victims, now):
        if victims:
            step.preempted_at = now
        for victim in victims:
            run = victim.run
            stopped = self._owner.job_registry.step_of(run.key)
            stopped.saved_shares[run.key.index] = run.percent / _FULL
            STOPPED_FOR_URGENT.write(
                **run_fields(run),
                percent=run.percent,
                urgent=str(step.key),
                is_owed=victim.is_owed,
                becomes_late=victim.becomes_late,
                lost_core_seconds=round(victim.lost, 3),
            )
            self._owner.orders.stop_once(run, now)


def _may_stop_for(step, now):
    """Return whether a step waits, and stops would let its job be in time."""
    if not has_deadline(step):
        return may_preempt(step, now)
    if step.step.is_filler or not step.waiting:
        return False
    if step.step.is_gang and len(step.waiting) < len(step.tasks):
        return False
    if now < step.ready_at + _WAIT_SECONDS:
        return False
    timeliness, latest = latest_start(step, now)
    return timeliness == Timeliness.IN_TIME and now + _STOP_SECONDS <= latest


class _Victims:
    """What is known of the runs of a pool at one time.

    Attributes
    ----------
    least_urgent : int or None
        Priority of the least urgent run that may be stopped.
    stopping : int
        Number of stops without an answer.
    """

    __slots__ = ("_by_room", "_now", "_owner", "_waiting", "least_urgent", "stopping")

    def __init__(self, owner, now):
        self._owner = owner
        self._now = now
        self._by_room = {}
        # Results of ``_waits`` by job.
        self._waiting = {}
        self.least_urgent = None
        self.stopping = 0
        for room in owner.rooms:
            self._collect(room)

    def _collect(self, room):
        step_of = self._owner.job_registry.step_of
        for run in room.runs.values():
            if run.phase == RunPhase.STOPPING:
                self.stopping += run.stop_confirmed is None
                continue
            if run.phase != RunPhase.RUNNING:
                continue
            step = step_of(run.key)
            priority = victim_priority(step)
            if priority is not None:
                self._by_room.setdefault(room, []).append((run, step))
                self.least_urgent = max(priority, self.least_urgent or 0)

    def on(self, room):
        """Return the victims on a worker."""
        return [self._victim(*entry) for entry in self._by_room.get(room, ())]

    def ends(self, room):
        """Return when the runs of a worker end by themselves, where that is known."""
        found = []
        for run in room.runs.values():
            seconds = self._seconds_left(run)
            if seconds is not None:
                found.append((seconds, run))
        return found

    def _seconds_left(self, run):
        if run.demand is None:
            return None
        if run.stop_requested is not None:
            return 0.0 if self._is_ending(run) else None
        step = self._owner.job_registry.step_of(run.key)
        if step is None or step.step.is_lasting:
            return None
        seconds = projected_remaining_seconds(step, run, self._now)
        # A run that should have ended already may take much longer.
        return seconds if seconds >= 0 else None

    def _is_ending(self, run):
        if run.stop_confirmed is None:
            return self._now - run.stop_requested < _UNANSWERED_SECONDS
        return self._now - run.stop_confirmed < _UNREPORTED_SECONDS

    def _victim(self, run, step):
        job, now = step.job, self._now
        usage = self._owner.team_usage
        is_owed = job.is_owed and usage.ratio(job.document.team) <= 1
        becomes_late = False
        if has_deadline(step):
            number = step.key.step
            later = job.critical_paths[number] - step.step.estimate_seconds
            left = max(0.0, projected_remaining_seconds(step, run, now)) + later
            slack = due_at(job) - now - left
            becomes_late = 0 <= slack < _STILL_SECONDS
        lost = run.demand.processors / _MILLICORES * _STILL_SECONDS
        delays_job = has_deadline(step) and not self._waits(job)
        return Victim(run, job.priority, is_owed, becomes_late, delays_job, lost)

    def _waits(self, job):
        """Return whether a job waits for room, or for a run that is being stopped."""
        if job not in self._waiting:
            self._waiting[job] = any(
                step.waiting
                or any(run.stop_requested is not None for run in step.active_runs())
                for step in job.steps()
            )
        return self._waiting[job]
