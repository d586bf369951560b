"""Kinds of workers: what those with the same labels and size have in common."""

from papayapick.jobs.labels import rack_label
from papayapick.speeds.estimates import FadingMean

__all__ = ["WorkerKind", "kind_of"]

# Variance of the logarithm of a run's duration, as tasks of a step vary by up to a
# third and the reference is not exact.
_RUN_VARIANCE = 0.09
# Variance of the logarithms of the speeds of one kind: assumed, and the least.
_KIND_VARIANCE = 0.03
_MIN_KIND_VARIANCE = 0.01
# Number of workers as which the assumed variance counts.
_ASSUMED_WORKERS = 3.0
# Weight with which a kind is drawn towards 1.
_POOL_WEIGHT = 3.0


def kind_of(registration):
    """Return the name of a worker's kind: its labels but the rack, and its size.

    Parameters
    ----------
    registration : Registration

    Returns
    -------
    str
    """
    rack = rack_label(registration.labels)
    labels = sorted(label for label in registration.labels if label != rack)
    size = registration.capacity
    return f"{','.join(labels)}:{size.processors}/{size.memory}/{size.accelerators}"


class WorkerKind:
    """Hold what is known of the workers of one kind.

    Attributes
    ----------
    mean : FadingMean
        Logarithms of the speeds that the runs on all its workers indicated.
    prior_weight : float
        Weight of the kind in the speed of each of its workers, in runs.
    """

    __slots__ = ("mean", "prior_weight")

    def __init__(self):
        self.mean = FadingMean()
        self.prior_weight = _RUN_VARIANCE / _KIND_VARIANCE

    @property
    def log_mean(self):
        """Return the logarithm of the speed of a worker of which nothing is known."""
        return self.mean.towards(0.0, _POOL_WEIGHT)

    @property
    def known_weight(self):
        """Return as how many runs the kind counts for a worker without any."""
        known = self.mean.weight / (self.mean.weight + _POOL_WEIGHT)
        return self.prior_weight * known

    def log_speed(self, worker_mean):
        """Return the logarithm of the speed of one of its workers.

        Parameters
        ----------
        worker_mean : FadingMean
        """
        return worker_mean.towards(self.log_mean, self.prior_weight)

    def estimate_spread(self, worker_means):
        """Estimate how alike its workers are, and so how much the kind tells of each.

        Parameters
        ----------
        worker_means : iterable of FadingMean
        """
        variance, count = _KIND_VARIANCE * _ASSUMED_WORKERS, _ASSUMED_WORKERS
        middle = self.mean.towards(0.0, 1e-9)
        for mean in worker_means:
            if mean.weight >= 1.0:
                # The part of the difference that is due to few runs is taken off.
                error = mean.total / mean.weight - middle
                variance += error * error - _RUN_VARIANCE / mean.weight
                count += 1.0
        variance = max(variance / count, _MIN_KIND_VARIANCE)
        self.prior_weight = _RUN_VARIANCE / variance
