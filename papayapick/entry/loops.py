"""Run the loops of an entry host, which must never end.

Guards against hosts that end one after the other, as each tries to take a pool for
which the machine lacks threads or memory: a loop that raises is run again, and ends
the process only if it keeps failing.
"""

import os

from papayapick.entry.events import LOOP_FAILED

__all__ = ["LoopRunner"]

# A loop that fails more often than this, without running for long in between, ends the
# process.
_MAX_FAILURES = 5
_RETRY_SECONDS = 0.5
_RECOVERED_SECONDS = 10.0


class LoopRunner:
    """Run loops again that raise.

    Parameters
    ----------
    clock : Clock
    stopping : threading.Event
    flush_log : callable
        Writes the queued log lines; called before the process exits.
    """

    __slots__ = ("_clock", "_flush_log", "_stopping")

    def __init__(self, clock, stopping, flush_log):
        self._clock = clock
        self._stopping = stopping
        self._flush_log = flush_log

    def run(self, name, step, max_failures=_MAX_FAILURES):
        """Run a loop until the process stops.

        Parameters
        ----------
        name : str
            Names the loop in the log.
        step : callable
            Returns only when the process stops.
        max_failures : int, optional
            How often it may fail before the process exits.
        """
        failures = 0
        while not self._stopping.is_set():
            began_at = self._clock.monotonic()
            try:
                step()
                return
            except Exception:
                LOOP_FAILED.write_failure(loop=name)
            if self._clock.monotonic() - began_at > _RECOVERED_SECONDS:
                failures = 0
            failures += 1
            if failures > max_failures:
                # Without one of its loops a host would serve callers incorrectly. The
                # platform restarts it. The reason would be lost with the lines that
                # are still queued.
                self._flush_log()
                os._exit(1)
            self._clock.wait(self._stopping, _RETRY_SECONDS)
