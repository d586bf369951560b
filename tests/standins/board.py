"""Faults that tests inject into the stand-ins, by target."""

import threading

KINDS = ("down", "slow", "lose_answers", "freeze", "fail", "leave")


class FaultBoard:
    """Store the active faults of each target.

    ``down``: the call has no effect and fails. ``slow``: the call is delayed by the
    value in seconds. ``lose_answers``: the call takes effect but its answer is lost; a
    number limits the lost answers. ``freeze``: the call blocks until the fault is
    cleared. ``fail``: the call returns an error. ``leave``: each answer announces that
    the target is leaving; calls are still answered.
    """

    def __init__(self):
        self._faults = {}
        self._condition = threading.Condition()

    def set(self, target, kind, value=True):
        assert kind in KINDS, kind
        with self._condition:
            self._faults[(target, kind)] = value

    def clear(self, target=None):
        with self._condition:
            for key in list(self._faults):
                if target in (None, key[0]):
                    del self._faults[key]
            self._condition.notify_all()

    def get(self, target, kind):
        return self._faults.get((target, kind))

    def take(self, target, kind):
        """Return whether the fault is active, and count down a limited one."""
        with self._condition:
            value = self._faults.get((target, kind))
            if value is True or not value:
                return bool(value)
            self._faults[(target, kind)] = value - 1
            return True

    def delay(self, target):
        """Block for as long as the faults ``slow`` and ``freeze`` require."""
        slow = self.get(target, "slow")
        if slow:
            threading.Event().wait(slow)
        with self._condition:
            self._condition.wait_for(lambda: not self.get(target, "freeze"))
