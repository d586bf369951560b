"""Ask for advice on steps, ahead of need, through the hosts that have time."""

from papayapick.placement.progress import projected_rest
from papayapick.pool.advice_cache import AdviceCache
from papayapick.pool.events import ADVICE_LOST, NO_ADVICE
from papayapick.pool.exceptions import AdviceNotNeeded

__all__ = ["AdviceManager"]

# An order is sent and carried out within this time of the decision.
_AHEAD_SECONDS = 0.3
# A question on a step of the next lower priority lets others go first for so long, and
# one on a step that does not wait yet for so much longer: an urgent step would wait
# behind questions of a second each, and a patient one has its turn all the same.
_PRIORITY_SECONDS = 0.5
_ASKED_AHEAD_SECONDS = 1.0


class AdviceManager:
    """Want advice where it can be used, and take in the answers.

    Parameters
    ----------
    owner : PoolOwner

    Attributes
    ----------
    is_saturated : bool
        More steps wait for advice than the pool has room for: a new one waits for
        its turn.
    """

    __slots__ = ("_cache", "_owner", "is_saturated")

    def __init__(self, owner):
        self._owner = owner
        self._cache = AdviceCache(self._ask)
        self.is_saturated = False

    def tickets(self, step, now):
        """Return the valid tickets of a step by worker, or None."""
        return self._cache.tickets(step.key, step.job.queue.advice, now)

    def usable_until(self, step):
        """Return when the tickets of a step are too old to be sent."""
        return self._cache.usable_until(step.key)

    def drop_ticket(self, run):
        """Forget the ticket of a start that its worker refused for it."""
        self._cache.drop_ticket(run.key.step_key, run.worker)

    def forget(self, identifier):
        """Drop what is known of the steps of a job that is over."""
        self._cache.forget(identifier)

    def request_for_job(self, job, now):
        """Ask for advice on the steps of a job that are ready."""
        if job.is_final or self.is_saturated:
            return
        for step in job.steps():
            if step.is_ready and not step.is_done:
                self.request_if_useful(step, now)

    def request_if_useful(self, step, now):
        """Ask for advice on a step where it can be used."""
        if step.job.queue.advice is not None and self.is_useful(step):
            self.request(step, now)

    def is_useful(self, step, may_fit=True):
        """Return whether advice on a step can be used now.

        A ticket ages: once the workers are known that may not run the step, it is
        asked for again only where one of the others can take a task of it. Steps that
        fit nowhere would be asked about for ever, and use up the turns of those behind.
        """
        if not self._cache.is_answered(step.key):
            return True
        if not may_fit:
            return False
        return self._owner.rooms.has_free(step, self._cache.unfit(step.key))

    def known_fit(self, step):
        """Return the workers that may run a step by the last answer; may be none."""
        return self._cache.known_fit(step.key)

    def renew(self, step, free_in, now):
        """Ask again in time for tickets that will be too old when they are needed.

        Asked for when they are, the room that was held for the step would come free
        while there are none.

        Parameters
        ----------
        step : StepState
        free_in : float
            Seconds until the room that is held for it is free.
        now : float
        """
        policy = step.job.queue.advice
        if policy is None:
            return
        expected = policy.expected_seconds(len(self._owner.rooms)) + _AHEAD_SECONDS
        if free_in < expected and self._cache.valid_seconds(step.key, now) < expected:
            self.request(step, now)

    def status(self, step, now):
        """Return how far the advice on a step is."""
        return self._cache.status(step.key, now)

    def request(self, step, now):
        """Ask for advice on a step unless that is under way."""
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
        """Return the workers to ask about, those that can take a task soonest first.

        A pool may have more workers than one call names. In the order of the list, each
        step would wait for the same first ones while the others stand idle.
        """
        rooms = [
            room
            for room in self._owner.rooms.able(step.step)
            if not room.registration.is_leaving
        ]
        rooms.sort(key=lambda room: (not room.is_open, -room.processors))
        return [room.worker for room in rooms]

    def prefetch(self, now):
        """Ask for the advice on a step while the one before it is about to end."""
        for job in self._owner.book.live_jobs():
            if job.queue.advice is None:
                continue
            for steps in job.occurrences.values():
                for step in steps:
                    if step.is_ready or not step.step.after:
                        continue
                    rest = max(
                        self._rest_seconds(steps[number], now)
                        for number in step.step.after
                    )
                    workers = len(self._owner.rooms)
                    expected = job.queue.advice.expected_seconds(workers)
                    if rest < expected + _AHEAD_SECONDS:
                        self.request_if_useful(step, now)

    @staticmethod
    def _rest_seconds(step, now):
        """Return how long a step may still run, going by its progress."""
        if step.is_done:
            return 0.0
        if not step.is_ready or step.waiting:
            return float("inf")
        rest = 0.0
        for task in step.tasks:
            if task.is_done:
                continue
            if not task.runs:
                # Kept back after a takeover: it may run at a worker that has not
                # answered yet, and is no sign that its step is about to end.
                return float("inf")
            rests = [projected_rest(step, run, now) for run in task.runs]
            rest = max(rest, *rests)
        return rest

    def _ask(self, key, workers, expected):
        step = self._owner.book.step_of(key)
        future = self._owner.host.advice.ask(
            key,
            workers,
            expected,
            _delay_seconds(step),
            lambda: self._is_needed(step),
        )
        future.add_done_callback(lambda done: self._note(key, workers, done))

    def _is_needed(self, step):
        return not (self._owner.is_stopped or step.job.is_final or step.is_done)

    def _note(self, key, workers, done):
        error = done.exception()
        with self._owner.lock:
            step = self._owner.book.step_of(key)
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
    """Return by how much later other questions may go before one on a step."""
    patience = step.job.queue.priority * _PRIORITY_SECONDS
    return patience if step.waiting else patience + _ASKED_AHEAD_SECONDS
