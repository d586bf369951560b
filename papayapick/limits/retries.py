"""Retry budgets, which limit retries to a share of the requests."""

import threading

__all__ = ["RetryBudget", "RetryBudgets"]


class RetryBudget:
    """Allow retries in proportion to first attempts.

    Without a budget, retries would multiply the load while servers are failing, and so
    prevent them from recovering.

    Parameters
    ----------
    ratio : float
        Retries earned by each request.
    reserve : float
        Most retries that can accumulate.

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

    @property
    def can_retry(self):
        """Return whether the budget allows a retry now."""
        return self._saved >= 1

    def earn(self):
        """Count a first attempt."""
        with self._lock:
            self._saved = min(self._reserve, self._saved + self._ratio)

    def spend(self):
        """Spend one retry; return whether the budget allowed it."""
        with self._lock:
            if self._saved < 1:
                return False
            self._saved -= 1
            return True


class RetryBudgets:
    """Hold a retry budget for each service, so that no service spends another's.

    Parameters
    ----------
    ratio, reserve : float
        Parameters of each ``RetryBudget``.

    Examples
    --------
    >>> budgets = RetryBudgets(reserve=1)
    >>> budgets.of("counts").spend(), budgets.of("counts").spend()
    (True, False)
    >>> budgets.of("access").spend()
    True
    """

    __slots__ = ("_budgets", "_lock", "_ratio", "_reserve")

    def __init__(self, ratio=0.1, reserve=10.0):
        self._ratio = ratio
        self._reserve = reserve
        self._budgets = {}
        self._lock = threading.Lock()

    def of(self, service):
        """Return the budget of a service."""
        found = self._budgets.get(service)
        if found is None:
            with self._lock:
                found = self._budgets.setdefault(
                    service, RetryBudget(self._ratio, self._reserve)
                )
        return found
