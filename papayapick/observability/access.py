"""Write one line for each request that a gateway answers."""

import logging

from papayapick.observability.fields import current_fields

__all__ = ["AccessLog"]

ALL, FAILURES, NONE = "all", "failures", "none"
_LOG = logging.getLogger("papayapick.access")
_PATH_CHARACTERS = 128
_FIRST_FAILURE = 400


class AccessLog:
    """Write what was asked and answered; never a body, key or other header.

    Parameters
    ----------
    kept : {"all", "failures", "none"}
    clock : Clock
    """

    __slots__ = ("_clock", "_kept")

    def __init__(self, kept, clock):
        self._kept = kept
        self._clock = clock

    def start(self):
        """Return the moment from which ``write`` counts."""
        return self._clock.monotonic()

    def write(self, began, method, path, status, outcome):
        """Write the line of one request.

        Parameters
        ----------
        began : float
            As ``start`` gave it.
        method, path : str
        status : int
        outcome : str
            What became of the work.
        """
        is_failure = status >= _FIRST_FAILURE
        if self._kept == NONE or (self._kept == FAILURES and not is_failure):
            return
        fields = {
            **current_fields(),
            "method": method[:16],
            "path": path[:_PATH_CHARACTERS],
            "status": status,
            "outcome": outcome,
            "milliseconds": round((self._clock.monotonic() - began) * 1000, 3),
        }
        _LOG.info("request", extra=fields)
