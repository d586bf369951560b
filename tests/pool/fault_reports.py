"""Reports of a fault simulation that are applied late and out of order."""

__all__ = ["DelayedListener"]

LONGEST_SECONDS = 0.4
LONGEST_WAIT_SECONDS = 0.6


class DelayedListener:
    """Apply reports some time after they were requested, each after a time of its own.

    The answer to a long poll was made long after it was requested, and may be newer
    than one on another connection that was requested later. An answer may wait for a
    busy owner, or be overtaken on its way.

    Parameters
    ----------
    simulation : FaultSimulation
    listener : LinkListener
    waits_for_lock : bool
        Whether the answers have arrived meanwhile, and wait for the owner's lock.
    """

    def __init__(self, simulation, listener, waits_for_lock):
        self._simulation = simulation
        self._waits_for_lock = waits_for_lock
        self._listener = listener
        # Whether reports come from the poll of a link, which makes no other call
        # before its report is applied.
        self.is_polling = False

    def __getattr__(self, name):
        return getattr(self._listener, name)

    def note_report(self, link, report, requested_at):
        simulation, rng = self._simulation, self._simulation.rng
        if self._waits_for_lock:
            simulation.done_ends.note_listed(report.ends, simulation.epoch)
        if rng.random() < 0.4:
            self._apply(link, report, requested_at)
            return
        wait = rng.uniform(0.0, LONGEST_WAIT_SECONDS)
        delay = rng.uniform(0.0, LONGEST_SECONDS)
        if not self.is_polling:
            simulation.run_in(delay, self._apply, link, report, requested_at)
        elif rng.random() < 0.5:
            simulation.hold_polls(link, delay)
            simulation.run_in(delay, self._apply, link, report, requested_at)
        else:
            simulation.hold_polls(link, wait + delay)
            simulation.run_in(wait, self._answer, link, requested_at, delay)

    def _answer(self, link, requested_at, delay):
        """Make the answer to a long poll, which arrives after a delay."""
        report = self._simulation.report_now(link)
        if report is not None:
            self._simulation.run_in(delay, self._apply, link, report, requested_at)

    def _apply(self, link, report, requested_at):
        if not link.is_stopped:
            self._simulation.done_ends.note_listed(report.ends, self._simulation.epoch)
            self._listener.note_report(link, report, requested_at)
