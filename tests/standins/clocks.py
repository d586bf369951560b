"""Clocks whose waits take no real time."""

from papayapick.clock import ManualClock


class AdvancingClock(ManualClock):
    """Advance by the time to wait instead of waiting, unless the event is set."""

    def wait(self, event, seconds):
        if not event.is_set():
            self.advance(seconds)
        return event.is_set()
