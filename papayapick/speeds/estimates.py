"""Means that forget: the estimate of one number from values seen over time."""

__all__ = ["FadingMean"]

# Time in which the weight of what was seen halves.
_HALF_LIFE_SECONDS = 60.0
# Bound of the weight, so that no burst of runs outweighs what is seen afterwards.
_MAX_WEIGHT = 1000.0


class FadingMean:
    """Hold the weighted sum of values whose weights halve within a minute.

    Attributes
    ----------
    total, weight : float
        As of the last time that was given.

    Examples
    --------
    >>> mean = FadingMean()
    >>> mean.add(2.0, 1.0, now=0.0)
    >>> mean.add(1.0, 1.0, now=60.0)
    >>> round(mean.towards(0.0, 0.5), 2), mean.weight
    (1.0, 1.5)
    """

    __slots__ = ("_at", "total", "weight")

    def __init__(self, total=0.0, weight=0.0):
        self.total = total
        self.weight = weight
        self._at = None

    def add(self, value, weight, now):
        """Add a value.

        Parameters
        ----------
        value, weight, now : float
        """
        self.fade(now)
        if self.weight < _MAX_WEIGHT:
            self.total += value * weight
            self.weight += weight

    def fade(self, now):
        """Reduce the weights by the time since the last call."""
        if self._at is not None and now > self._at:
            factor = 0.5 ** ((now - self._at) / _HALF_LIFE_SECONDS)
            self.total *= factor
            self.weight *= factor
        self._at = now if self._at is None else max(now, self._at)

    def fade_by(self, seconds):
        """Reduce the weights by an age, of a record that was read."""
        factor = 0.5 ** (seconds / _HALF_LIFE_SECONDS)
        self.total *= factor
        self.weight *= factor

    def towards(self, prior, prior_weight):
        """Return the mean with a prior of some weight, above 0."""
        return (self.total + prior * prior_weight) / (self.weight + prior_weight)
