"""Distribution of the ratios of actual to estimated durations, of fixed size."""

import array
import math

__all__ = ["RatioHistogram"]

# Ratios from 1/16 to 16, in steps of a quarter of an octave.
_BINS_PER_OCTAVE = 4
_OCTAVES = 4
_ONE = _BINS_PER_OCTAVE * _OCTAVES
_BINS = 2 * _ONE + 1
# What the estimates themselves count for, in observations.
_PRIOR_WEIGHT = 4.0
# Beyond this total all weights are halved, so that what is old is forgotten.
_MAX_TOTAL = 400.0


class RatioHistogram:
    """Count ratios in bins of equal width on a logarithmic scale.

    It begins with the ratio 1, as if a few durations had been as estimated. Each ratio
    counts half as much once some hundred others have followed.

    Examples
    --------
    >>> histogram = RatioHistogram()
    >>> for _ in range(96):
    ...     histogram.add(2.0)
    >>> histogram.mean()
    1.96
    """

    __slots__ = ("_mean", "_weights")

    def __init__(self):
        self._weights = array.array("f", bytes(4 * _BINS))
        self._weights[_ONE] = _PRIOR_WEIGHT
        self._mean = 1.0

    def add(self, ratio):
        """Count a ratio; extreme ones count as less extreme.

        Parameters
        ----------
        ratio : float
            Above 0.
        """
        self._weights[_bin(ratio)] += 1.0
        self._mean = None
        if sum(self._weights) > _MAX_TOTAL:
            for index, weight in enumerate(self._weights):
                self._weights[index] = weight / 2

    def mean(self):
        """Return the mean ratio."""
        if self._mean is None:
            weighted = (
                weight * _ratio(number)
                for number, weight in enumerate(self._weights)
                if weight
            )
            self._mean = sum(weighted) / sum(self._weights)
        return self._mean

    def quantile(self, share):
        """Return a ratio that a share of the ratios does not exceed."""
        remaining = share * sum(self._weights)
        for number, weight in enumerate(self._weights):
            remaining -= weight
            if remaining <= 0:
                return _ratio(number)
        # The sums were rounded.
        return _ratio(_BINS - 1)


def _bin(ratio):
    number = _ONE + round(_BINS_PER_OCTAVE * math.log2(ratio))
    return min(max(number, 0), _BINS - 1)


def _ratio(number):
    """Return the ratio in the middle of a bin."""
    return 2.0 ** ((number - _ONE) / _BINS_PER_OCTAVE)
