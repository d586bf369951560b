"""Requests for advice on steps, sent before the tickets are needed."""

from papayapick.placement.rooms.rooms import allows_another
from papayapick.placement.runs.progress import projected_remaining_seconds
from papayapick.pool.advice.cache import AdviceCache
from papayapick.pool.events import ADVICE_LOST, NO_ADVICE
from papayapick.pool.exceptions import AdviceNotNeeded

__all__ = ["AdviceManager"]

# An order is sent and carried out within this time of the decision.
_ORDER_SECONDS = 0.3
# A request yields to requests made up to _PRIORITY_SECONDS later for each level by
# which its step's priority is lower, and to those made _PREFETCH_DELAY_SECONDS later
# if its step is not waiting yet. Urgent steps would otherwise wait behind requests of a
# second each; the limited delay ensures that no request is starved.
_PRIORITY_SECONDS = 0.5
_PREFETCH_DELAY_SECONDS = 1.0


class AdviceManager:
    """Request advice on steps that can use it, and cache the answers.

    Parameters
    ----------
    owner : PoolOwner

    Attributes
    ----------
    is_saturated : bool
        Whether more steps wait for advice than the pool has room for, so that
        advice on a new step is not requested until its turn.
    """

    __slots__ = ("_cache", "_owner", "is_saturated")

    def __init__(self, owner):
        self._owner = owner
        self._cache = AdviceCache(self._send_request)
        self.is_saturated = False

    def take_changes(self):
        """Return the keys of the steps on which advice was answered or has failed."""
        return self._cache.take_changes()

    def tickets(self, step, now):
        """Return the valid tickets of a step by worker, or None if there are none."""
        return self._cache.tickets(step.key, step.job.queue.advice, now)

    def usable_until(self, step):
        """Return the time after which a step's tickets must not be sent."""
        return self._cache.usable_until(step.key)

    def drop_ticket(self, run):
        """Remove the ticket of a start that its worker refused as invalid."""
        self._cache.drop_ticket(run.key.step_key, run.worker)

    def forget(self, identifier):
        """Remove the advice on all steps of a job that was removed."""
        self._cache.forget(identifier)

    def forget_worker(self, worker):
        """Remove all advice on a worker that is of another kind now."""
        self._cache.forget_worker(worker)

    def request_for_job(self, job, now):
        """Request advice on the ready steps of a new job, unless saturated."""
        if job.is_final or self.is_saturated:
            return
        for step in job.steps():
            may_start = self._owner.team_usage.admits(step)
            if step.is_ready and not step.is_done and may_start:
                self.request_if_useful(step, now)

    def request_if_useful(self, step, now):
        """Request advice on a step if its queue needs it and the step can use it."""
        if step.job.queue.advice is not None and self.is_useful(step):
            self.request(step, now)

    def is_useful(self, step):
        """Return whether advice on a step can be used now.

        Tickets expire. Once it is known which workers may not run the step, new ones
        are requested only if one of the other workers has room for a task of it.
        Otherwise advice on steps that fit nowhere would be requested over and over,
        and would delay the requests for other steps.
        """
        if not self._cache.is_answered(step.key):
            return True
        return self._owner.rooms.has_room_for(step, self._cache.unfit(step.key))

    def last_tickets(self, step):
        """Return the tickets of the last answer by worker, also expired ones."""
        return self._cache.last_tickets(step.key)

    def renew(self, step, free_in, now):
        """Request new tickets if the present ones expire before they can be used.

        If new ones were requested only after that, they could arrive after the room
        that is held for the step becomes free.

        Parameters
        ----------
        step : StepState
        free_in : float
            Seconds until the room that is held for the step is free.
        now : float
        """
        policy = step.job.queue.advice
        if policy is None:
            return
        expected = policy.expected_seconds(len(self._owner.rooms)) + _ORDER_SECONDS
        if free_in < expected and self._cache.valid_seconds(step.key, now) < expected:
            self.request(step, now)

    def status(self, step, now):
        """Return the AdviceStatus of a step."""
        return self._cache.status(step.key, now)

    def request(self, step, now):
        """Request advice on a step unless a request is in progress.

        The workers are examined only for a request that is sent: most calls are about
        steps whose request is in progress.
        """
        if not self._cache.may_request(step.key, now):
            return
        status = self.status(step, now)
        if status.is_lost:
            ADVICE_LOST.write(
                request_id=step.key.job,
                occurrence=step.key.occurrence,
                step=step.key.step,
                asked_seconds=round(status.asked_seconds, 3),
            )
        self._cache.request(
            step.key, step.job.queue.advice, self._candidates(step), now
        )

    def _candidates(self, step):
        """Yield the workers to include in a request, those with most room first.

        Where speeds differ, those on which the step would be placed come first.

        A pool may have more workers than one call accepts. In the order of the list,
        every step would wait for the same first workers while the others are idle.
        Workers that run as many tasks of the step as allowed are left out: a wide step
        with such a limit would ask about them in each request, and never get enough.
        """
        rooms = self._owner.rooms
        for room in rooms.most_free(step.step, rooms.preference.tiers(step)):
            if not room.registration.is_leaving and allows_another(room, step):
                yield room.worker

    def prefetch(self, now):
        """Request advice on steps whose preceding steps are about to end."""
        for job in self._owner.job_registry.live_jobs():
            if job.queue.advice is None:
                continue
            for steps in job.occurrences.values():
                for step in steps:
                    if step.is_ready or not step.step.after:
                        continue
                    remaining = max(
                        self._remaining_seconds(steps[number], now)
                        for number in step.step.after
                    )
                    workers = len(self._owner.rooms)
                    expected = job.queue.advice.expected_seconds(workers)
                    if remaining < expected + _ORDER_SECONDS:
                        self.request_if_useful(step, now)

    @staticmethod
    def _remaining_seconds(step, now):
        """Return for how many seconds a step may still run, judging by its progress."""
        if step.is_done:
            return 0.0
        if not step.is_ready or step.waiting:
            return float("inf")
        remaining = 0.0
        for task in step.tasks:
            if task.is_done:
                continue
            if not task.runs:
                # The task is held after a takeover, as it may run on a worker that has
                # not reported yet; its end can't be predicted.
                return float("inf")
            estimates = [
                projected_remaining_seconds(step, run, now) for run in task.runs
            ]
            remaining = max(remaining, *estimates)
        return remaining

    def _send_request(self, key, workers, expected):
        step = self._owner.job_registry.step_of(key)
        future = self._owner.host.advice.ask(
            key,
            workers,
            expected,
            _delay_seconds(step),
            lambda: self._is_needed(step),
        )
        future.add_done_callback(lambda done: self._handle_answer(key, workers, done))

    def _is_needed(self, step):
        return not (self._owner.is_stopped or step.job.is_final or step.is_done)

    def _handle_answer(self, key, workers, done):
        error = done.exception()
        with self._owner.lock:
            step = self._owner.job_registry.step_of(key)
            if isinstance(error, AdviceNotNeeded):
                self._cache.note_failure(key, workers)
            elif error is not None:
                NO_ADVICE.write(
                    request_id=key.job,
                    occurrence=key.occurrence,
                    step=key.step,
                    workers=len(workers),
                    error=str(error),
                )
                self._cache.note_failure(key, workers)
            elif step is not None:
                now = self._owner.now()
                policy = step.job.queue.advice
                self._cache.note_answer(key, done.result(), policy, now, workers)
        self._owner.wake()


def _delay_seconds(step):
    """Return how much later another request may be made and still be sent first."""
    delay = step.job.queue.priority * _PRIORITY_SECONDS
    return delay if step.waiting else delay + _PREFETCH_DELAY_SECONDS
