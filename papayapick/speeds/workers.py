"""Speeds of the workers of a pool, learned from the runs of tasks.

Guards against workers of different speeds that are taken for equal: where one takes 2.4
times as long as another, the last task of a wide step decides when its job ends.
"""

import math

from papayapick.speeds.comparisons import StepComparison
from papayapick.speeds.durations import known_duration
from papayapick.speeds.kinds import WorkerKind, kind_of
from papayapick.speeds.records import decode_speeds, encode_speeds
from papayapick.speeds.spread import SpeedSpread
from papayapick.speeds.states import WorkerState
from papayapick.speeds.types import SpeedTier

__all__ = ["WorkerSpeeds"]

# One task in thirty takes seven times as long as the others of its step, which tells
# nothing of its worker. The better a speed is known, the less a run may differ from it.
_MAX_LOG_ERROR = math.log(4.0)
_MIN_LOG_ERROR = math.log(2.0)
# No speed is further than this from the mean of the pool.
_MAX_LOG_SPEED = math.log(4.0)
# Weight of a run whose reference is made of workers of unknown speeds.
_MIN_REFERENCE_WEIGHT = 0.6
# Runs of one step have errors in common, so that the second of a worker counts less.
_SAME_STEP_WEIGHT = 0.5
# A report of progress may be wrong, and its run counts again when it ends.
_PROGRESS_WEIGHT = 0.25
_MIN_PROGRESS_PERCENT = 20
# Weight with which a speed is as certain as not.
_TRUST_WEIGHT = 2.0
# Least interval at which speeds and classes are derived from what was learned, and what
# it grows by for each worker: the owner's lock is held for 4 us a worker.
_REFRESH_SECONDS = 0.5
_REFRESH_WORKER_SECONDS = 0.001
_MAX_KINDS = 100


class WorkerSpeeds:
    """Learn the speeds of workers; an implementation of ``SpeedSource``.

    The logarithm of a run's duration is that of the length of its step's tasks, less
    that of its worker's speed, plus noise. The speed of a worker is drawn towards the
    mean of its kind while little is known of it, and that of a kind towards 1.

    Parameters
    ----------
    uses_kinds : bool, optional
        Whether workers of a kind are expected to be alike. Otherwise each is learned
        for itself.

    Notes
    -----
    The owner's lock must be held by the caller of each method that learns.
    """

    __slots__ = (
        "_is_changed",
        "_kinds",
        "_record",
        "_refreshed_at",
        "_spread",
        "_uses_kinds",
        "_workers",
    )

    name = "speeds"
    version = 1

    def __init__(self, uses_kinds=True):
        self._uses_kinds = uses_kinds
        self._workers = {}
        self._kinds = {}
        self._spread = SpeedSpread()
        self._is_changed = False
        self._refreshed_at = float("-inf")
        # Record of what was learned until the last run, None if there was one since.
        self._record = None

    @property
    def differ(self):
        """Whether speeds differ so much that callers notice on which a task runs."""
        return self._spread.differ

    def speed(self, worker):
        """Return the speed of a worker; 1.0 while nothing is known of it."""
        state = self._workers.get(worker)
        return 1.0 if state is None else state.speed

    def certainty(self, worker):
        """Return how certain the speed is, from 0 (unknown) to 1."""
        state = self._workers.get(worker)
        return 0.0 if state is None else state.certainty

    def tier(self, worker):
        """Return the class of a worker; NORMAL for all if speeds do not differ."""
        state = self._workers.get(worker)
        if state is None or not self._spread.differ:
            return SpeedTier.NORMAL
        return state.tier

    def tier_counts(self):
        """Return the number of workers by class, a dict."""
        counts = dict.fromkeys(SpeedTier, 0)
        for worker in self._workers:
            counts[self.tier(worker)] += 1
        return counts

    def set_stretch(self, stretch):
        """Set the tightest stretch of the pool's queues.

        Parameters
        ----------
        stretch : float or None
            None if no queue uses the pool.
        """
        self._spread.set_stretch(stretch)
        self._is_changed = True

    # Workers that come and go.

    def add_worker(self, registration):
        """Add a worker, or note its registration; another kind begins anew.

        Parameters
        ----------
        registration : Registration
        """
        kind = self._kind(kind_of(registration) if self._uses_kinds else "")
        state = self._workers.get(registration.worker)
        if state is None:
            self._workers[registration.worker] = WorkerState(kind)
        elif state.kind is not kind:
            state.kind = kind
            state.begin(state.born)
        else:
            return
        self._is_changed = True

    def note_incarnation(self, worker, born):
        """Note which incarnation of a worker has reported; another one begins anew.

        Parameters
        ----------
        worker : str
        born : int or None
        """
        state = self._workers.get(worker)
        if state is None or state.born == born:
            return
        if state.born is None:
            state.born = born
        else:
            state.begin(born)
            self._is_changed = True

    def forget(self, worker):
        """Delete what is known of a worker; its kind remembers its runs."""
        self._workers.pop(worker, None)
        self._is_changed = True

    def _kind(self, name):
        if name not in self._kinds:
            if len(self._kinds) >= _MAX_KINDS:
                used = {id(state.kind) for state in self._workers.values()}
                self._kinds = {
                    one: kind for one, kind in self._kinds.items() if id(kind) in used
                }
            self._kinds[name] = WorkerKind()
        return self._kinds[name]

    # Learning.

    def note_done(self, step, run, now):
        """Learn from a run that ended as done.

        Parameters
        ----------
        step : StepState
        run : Run
        now : float

        Returns
        -------
        list of float
            Error of the known speed against each run that was compared: the logarithm
            of the ratio, without its sign.
        """
        seconds = known_duration(run, now)
        if seconds is None:
            return []
        if step.comparison is None:
            step.comparison = StepComparison()
        found = step.comparison.note_done(step, run.worker, seconds, self.speed)
        errors = [
            abs(one.log_speed - math.log(self.speed(one.worker))) for one in found
        ]
        self._learn(step, found, 1.0, now)
        return errors

    def note_progress(self, step, projections, now):
        """Learn from active runs, from each once.

        Parameters
        ----------
        step : StepState
        projections : list of tuple of Run and float
            Active runs, with the whole seconds projected from their progress.
        now : float
        """
        if len(projections) < 2 or all(
            run.is_speed_noted or run.percent < _MIN_PROGRESS_PERCENT
            for run, _ in projections
        ):
            return
        # If those that are slow to report were left out, the others would seem slow.
        if 2 * len(projections) < len(step.active_runs()):
            return
        if step.comparison is None:
            step.comparison = StepComparison()
        projected = [(run.worker, whole) for run, whole in projections]
        found = step.comparison.compare_projected(projected, self.speed)
        chosen = []
        for (run, _), deviation in zip(projections, found, strict=False):
            if run.percent >= _MIN_PROGRESS_PERCENT and not run.is_speed_noted:
                run.is_speed_noted = True
                chosen.append(deviation)
        self._learn(step, chosen, _PROGRESS_WEIGHT, now)

    def _learn(self, step, found, weight, now):
        if not found:
            return
        certainty = sum(self.certainty(one.worker) for one in found) / len(found)
        known = _MIN_REFERENCE_WEIGHT + (1.0 - _MIN_REFERENCE_WEIGHT) * certainty
        for one in found:
            self._learn_one(step.key, one, weight * known * one.weight, now)
        self._record = None
        self._is_changed = True

    def _learn_one(self, step_key, deviation, weight, now):
        state = self._workers.get(deviation.worker)
        if state is None or weight <= 0.0:
            return
        if state.last_step == step_key:
            weight *= _SAME_STEP_WEIGHT
        state.last_step = step_key
        known = math.log(state.speed)
        limit = _MAX_LOG_ERROR - state.certainty * (_MAX_LOG_ERROR - _MIN_LOG_ERROR)
        value = min(max(deviation.log_speed, known - limit), known + limit)
        value = min(max(value, -_MAX_LOG_SPEED), _MAX_LOG_SPEED)
        state.mean.add(value, weight, now)
        state.kind.mean.add(value, weight, now)

    def refresh(self, now):
        """Derive speeds and classes from what was learned, if it is time.

        Parameters
        ----------
        now : float

        Returns
        -------
        bool
            Whether ``differ`` has changed.
        """
        interval = max(_REFRESH_SECONDS, _REFRESH_WORKER_SECONDS * len(self._workers))
        if not self._is_changed or now - self._refreshed_at < interval:
            return False
        self._refreshed_at = now
        self._is_changed = False
        for known in (*self._workers.values(), *self._kinds.values()):
            known.mean.fade(now)
        return self._derive()

    def _derive(self):
        """Derive speeds and classes; return whether ``differ`` has changed."""
        states = list(self._workers.values())
        self._estimate_kinds(states)
        logs = [state.kind.log_speed(state.mean) for state in states]
        mean = sum(map(math.exp, logs)) / len(logs) if logs else 1.0
        for state, log_speed in zip(states, logs, strict=True):
            state.speed = math.exp(log_speed) / mean
            weight = state.mean.weight + state.kind.known_weight
            state.certainty = weight / (weight + _TRUST_WEIGHT)
        return self._spread.update(states)

    def _estimate_kinds(self, states):
        members = {}
        for state in states:
            members.setdefault(id(state.kind), []).append(state.mean)
        for kind in self._kinds.values():
            kind.estimate_spread(members.get(id(kind), ()))

    # What the next owner of the pool is given.

    def as_record(self, now):
        """Return what was learned; None while speeds do not differ.

        Parameters
        ----------
        now : float

        Returns
        -------
        dict or None
        """
        if not self._spread.differ:
            return None
        if self._record is None:
            self._record = encode_speeds(self._workers, self._kinds)
        return self._record

    def restore(self, record, age_seconds):
        """Continue from what the last owner learned.

        Workers that have not been added are left out.

        Parameters
        ----------
        record : dict
        age_seconds : float

        Raises
        ------
        TypeError, ValueError, KeyError
            If the record can't be read; nothing is changed then.
        """
        kinds, workers = decode_speeds(record)
        for name, mean in kinds.items():
            mean.fade_by(age_seconds)
            self._kind(name).mean = mean
        for worker, (mean, tier, born) in workers.items():
            state = self._workers.get(worker)
            if state is not None:
                mean.fade_by(age_seconds)
                state.mean, state.tier, state.born = mean, tier, born
        # The record exists only because speeds differed.
        self._spread.differ = True
        # At once: the first round places all waiting work, and with speeds of 1 each
        # worker would seem to be fast enough for it.
        self._derive()
        self._is_changed = True
        self._refreshed_at = float("-inf")
