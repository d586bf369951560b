"""Rounds of placement, each over the steps whose situation has changed.

Guards against an owner that uses a whole processor while hundreds of steps wait. Each
worker report triggers a round, hundreds of times a second in a large pool, and in most
of them nothing has changed for most steps: their advice is pending, or the workers that
may run them are as full as before. Ten times a second a full round examines all steps,
for what changes with time alone: tickets expire, requests for advice are lost, and the
workers that are held are freed sooner or later than expected.
"""

from papayapick.placement.order.advice_budget import AdviceBudget
from papayapick.placement.order.service_order import ServiceOrder
from papayapick.placement.order.steps import place_step
from papayapick.placement.release.holds import Holds
from papayapick.placement.runs.exclusions import lift_exclusions
from papayapick.pool.rounds.failures import set_aside_job
from papayapick.pool.rounds.waiting import WaitReason, log_placed, log_wait
from papayapick.pool.rounds.yielding import YieldingJobs

__all__ = ["PlacementRounds"]

_FULL_ROUND_SECONDS = 0.1
# Most tasks of patient queues end within this time.
_RESERVE_SECONDS = 10.0
# A team that uses less of its maximum must not wait while the pool has room.
_RESERVE_SHARE = 0.5


class PlacementRounds:
    """Place the waiting steps of an owner in rounds.

    Parameters
    ----------
    owner : PoolOwner
    begin_run : callable
        Takes step, index, worker, and attempt or None; reserves the room and returns a
        Run.
    queue_starts : callable
        Takes the step, its new runs and its tickets by worker.
    """

    __slots__ = (
        "_begin_run",
        "_blocked_teams",
        "_budget",
        "_freed",
        "_full_at",
        "_holds",
        "_now",
        "_order",
        "_owner",
        "_queue_starts",
        "_yielding",
    )

    def __init__(self, owner, begin_run, queue_starts):
        self._owner = owner
        self._begin_run = begin_run
        self._queue_starts = queue_starts
        self._order = ServiceOrder()
        self._holds = Holds(owner.rooms, owner.job_registry.step_of)
        self._yielding = YieldingJobs(owner)
        # Teams with a step that may not start, for the rest of this round.
        self._blocked_teams = set()
        self._budget = None
        self._freed = set()
        self._full_at = float("-inf")
        self._now = 0.0

    @property
    def planned_jobs(self):
        """Return the counts of the last plan; see ``YieldingJobs``."""
        return self._yielding.counts

    def run(self, now):
        """Place waiting tasks, the most urgent first, unless nothing has changed."""
        owner = self._owner
        queue = owner.job_registry.step_queue
        is_full = now - self._full_at >= _FULL_ROUND_SECONDS
        changed = queue.take_changes() | owner.advice_manager.take_changes()
        self._freed = owner.rooms.take_freed()
        is_maximum_freed = self._is_maximum_freed()
        if not (is_full or changed or self._freed or is_maximum_freed):
            return
        self._now = now
        self._begin(changed, is_full)
        is_update_due, most_urgent = is_full, owner.rooms.headroom.priority
        for step in list(self._order):
            priority = step.job.priority
            if is_update_due and priority > most_urgent:
                # The urgent steps have taken their room: what remains is for others.
                self._update_headroom()
                is_update_due = False
            most_urgent = min(most_urgent, priority)
            self._examine_guarded(step, is_full)
        owner.advice_manager.is_saturated = self._budget.is_exhausted
        if is_update_due:
            # None of the steps that wait is limited by what is kept.
            self._update_headroom()
        self._end(queue)

    def _examine_guarded(self, step, is_full):
        try:
            self._examine_if_due(step, is_full)
        except Exception:
            self._holds.drop(step.key)
            set_aside_job(self._owner, step.job)

    def _examine_if_due(self, step, is_full):
        if self._waits_for_quota(step):
            return
        if is_full or step.wait_reason is None:
            self._examine(step)
        elif step.wait_reason == WaitReason.ADVICE:
            self._budget.admits(step)
        elif self._may_have_changed(step):
            self._examine(step)

    def _is_maximum_freed(self):
        """Return whether a team may start more than in the last round."""
        freed = self._owner.team_usage.freed
        is_freed = bool(freed)
        freed.clear()
        return is_freed

    def _begin(self, changed, is_full):
        rooms, queue = self._owner.rooms, self._owner.job_registry.step_queue
        if is_full:
            self._full_at = self._now
        rooms.preference.begin_round(self._now)
        self._holds.begin_round(self._now, is_full)
        for key in changed:
            self._holds.drop(key)
            step = queue.get(key)
            if step is not None:
                step.wait_reason = None
        # Rooms whose holds were dropped may admit other steps.
        self._freed |= rooms.take_freed()
        self._freed |= rooms.headroom.lift()
        refiled = self._yielding.renew(self._now) if is_full else set()
        self._order.update(changed | refiled, queue.get, self._now)
        self._blocked_teams = set()
        self._budget = AdviceBudget(rooms.capacity_processors, rooms.free_processors)

    def _update_headroom(self):
        jobs = self._owner.job_registry.live_jobs()
        headroom = self._owner.rooms.headroom
        headroom.lends = self._owner.knowledge.features.is_in_use
        self._freed |= headroom.update(jobs, self._now)

    def _end(self, queue):
        """File the steps again that this round has changed.

        The room that the round freed itself, after trials for gangs, is no news.
        """
        for step in self._holds.changed:
            queue.note_change(step)
        self._holds.changed.clear()
        self._order.update(queue.take_changes(), queue.get, self._now)
        self._owner.rooms.take_freed()
        self._owner.rooms.headroom.lift()

    def _waits_for_quota(self, step):
        """Return whether a step waits until its team has less running.

        Steps of the team that are served later wait as well. Otherwise small tasks
        would take what is returned bit by bit, and a large task or a gang would never
        start. Neither advice nor room is asked for: both would be wasted.
        """
        team = step.job.document.team
        if not team:
            return False
        if team not in self._blocked_teams and self._owner.team_usage.admits(step):
            if step.wait_reason == WaitReason.QUOTA:
                step.wait_reason = None
            return False
        if team not in self._blocked_teams and self._reserves(step, team):
            self._blocked_teams.add(team)
        if step.wait_reason != WaitReason.QUOTA:
            self._holds.drop(step.key)
            step.wait_reason = WaitReason.QUOTA
        if self._full_at == self._now:
            log_wait(self._owner, step, WaitReason.QUOTA, self._now)
        return True

    def _reserves(self, step, team):
        """Return whether later steps of a team wait for a step that may not start.

        They do for a limited time, since lasting tasks may use what the step needs for
        ever, and only while the team uses much of its maximum.
        """
        is_recent = self._now - step.ready_at < _RESERVE_SECONDS
        return is_recent and self._owner.team_usage.ratio(team) >= _RESERVE_SHARE

    def _may_have_changed(self, step):
        """Return whether a step that waits may be served better than a round ago."""
        if step.wait_reason == WaitReason.TURN:
            return not self._budget.is_exhausted
        if not self._freed:
            return False
        if step.wait_reason == WaitReason.NO_FIT or step.job.queue.advice is None:
            return self._fits_on_freed(step, None)
        tickets = self._owner.advice_manager.tickets(step, self._now)
        return tickets is None or self._fits_on_freed(step, tickets)

    def _fits_on_freed(self, step, allowed):
        """Return whether a task of a step fits on a worker that has just been freed."""
        demand = step.step.room_demand
        return any(
            room.has_room(demand)
            for room in self._freed
            if allowed is None or room.worker in allowed
        )

    def _examine(self, step):
        allowed = None
        if step.job.queue.advice is not None:
            allowed = self._owner.advice_manager.tickets(step, self._now)
            if allowed is None:
                self._wait_for_advice(step)
                return
        is_as_before = step.wait_reason == WaitReason.ROOM
        if not is_as_before or self._fits_on_freed(step, allowed):
            self._place(step, allowed)
        if step.waiting and not self._waits_for_quota(step):
            self._wait_for_room(step, allowed)

    def _place(self, step, allowed):
        runs = place_step(step, self._owner.rooms, allowed, self._begin_run)
        self._queue_starts(step, runs, allowed or {})
        if runs:
            log_placed(self._owner, step, runs, self._now)

    def _wait_for_room(self, step, allowed):
        step.wait_reason = WaitReason.ROOM
        log_wait(self._owner, step, WaitReason.ROOM, self._now)
        if lift_exclusions(step, self._now):
            # The next round examines the workers again.
            step.wait_reason = None
        free_in = self._hold_room(step, allowed)
        if free_in is not None:
            self._owner.advice_manager.renew(step, free_in, self._now)

    def _wait_for_advice(self, step):
        known = self._owner.advice_manager.last_tickets(step)
        is_held = bool(known) and self._hold_room(step, known) is not None
        step.wait_reason = self._request_advice(step, is_held)
        log_wait(self._owner, step, step.wait_reason, self._now)

    def _hold_room(self, step, allowed):
        self._holds.drop(step.key)
        return self._holds.hold_room(step, allowed)

    def _request_advice(self, step, is_held):
        """Request advice on a step if it is its turn; return what it waits for.

        Usefulness is checked first: a step that can't use advice must not consume the
        advice budget and so prevent requests for the steps behind it.
        """
        advice_manager = self._owner.advice_manager
        if not is_held and not advice_manager.is_useful(step):
            return WaitReason.NO_FIT
        if not self._budget.admits(step):
            return WaitReason.TURN
        advice_manager.request(step, self._now)
        return WaitReason.ADVICE
