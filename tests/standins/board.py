"""Faults that tests switch on and off by target."""

import threading

KINDS = ("down", "slow", "lose_answers", "freeze", "fail", "leave")


class FaultBoard:
    """Hold the faults in force.

    ``down``: no effect, no answer. ``slow``: so many seconds first.
    ``lose_answers``: the effect happens, the answer is lost; a number limits
    how many. ``freeze``: waits until cleared. ``fail``: answers an error.
    ``leave``: says in each answer that it leaves, and goes on answering.
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
        """Return whether the fault is in force and use up one of a number."""
        with self._condition:
            value = self._faults.get((target, kind))
            if value is True or not value:
                return bool(value)
            self._faults[(target, kind)] = value - 1
            return True

    def delay(self, target):
        """Wait as ``slow`` and ``freeze`` demand."""
        slow = self.get(target, "slow")
        if slow:
            threading.Event().wait(slow)
        with self._condition:
            self._condition.wait_for(lambda: not self.get(target, "freeze"))
