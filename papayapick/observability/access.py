"""Log the requests that a gateway answers, one line each."""

import logging

from papayapick.observability.fields import current_fields

__all__ = ["AccessLog"]

ALL, FAILURES, NONE = "all", "failures", "none"
_LOG = logging.getLogger("papayapick.access")
_MAX_PATH_CHARACTERS = 128
_FIRST_FAILURE_STATUS = 400


class AccessLog:
    """Log method, path, status and outcome of requests, never bodies, keys or headers.

    Parameters
    ----------
    logged : {"all", "failures", "none"}
        Which requests are logged.
    clock : Clock
    """

    __slots__ = ("_clock", "_logged")

    def __init__(self, logged, clock):
        self._logged = logged
        self._clock = clock

    def start(self):
        """Return the start time of a request on the monotonic clock, in seconds."""
        return self._clock.monotonic()

    def write(self, started_at, method, path, status, outcome):
        """Log one request.

        Parameters
        ----------
        started_at : float
            As returned by ``start``.
        method, path : str
        status : int
        outcome : str
            Outcome of the work.
        """
        is_failure = status >= _FIRST_FAILURE_STATUS
        if self._logged == NONE or (self._logged == FAILURES and not is_failure):
            return
        fields = {
            **current_fields(),
            "method": method[:16],
            "path": path[:_MAX_PATH_CHARACTERS],
            "status": status,
            "outcome": outcome,
            "milliseconds": round((self._clock.monotonic() - started_at) * 1000, 3),
        }
        _LOG.info("request", extra=fields)
