"""Bound retries to a share of the requests."""

import threading

__all__ = ["RetryBudget"]


class RetryBudget:
    """Allow retries in proportion to first tries.

    Without it, retries multiply the load just when servers fail, and keep them
    failing.

    Parameters
    ----------
    ratio : float
        Retries earned by each request.
    reserve : float
        Most retries that can be saved up.

    Examples
    --------
    >>> budget = RetryBudget(ratio=0.5, reserve=1)
    >>> budget.spend(), budget.spend()
    (True, False)
    >>> budget.earn(); budget.earn(); budget.spend()
    True
    """

    __slots__ = ("_lock", "_ratio", "_reserve", "_saved")

    def __init__(self, ratio=0.1, reserve=10.0):
        self._ratio = ratio
        self._reserve = reserve
        self._saved = float(reserve)
        self._lock = threading.Lock()

    def earn(self):
        """Count a first try."""
        with self._lock:
            self._saved = min(self._reserve, self._saved + self._ratio)

    def spend(self):
        """Take one retry; return whether there was one."""
        with self._lock:
            if self._saved < 1:
                return False
            self._saved -= 1
            return True
