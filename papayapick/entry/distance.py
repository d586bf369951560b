"""Measure how far the store is from this host."""

__all__ = ["StoreDistance"]

# Those that wait for changes or read whole tables tell nothing of the distance; most
# others read a row or write a group.
_SHORT_OPERATIONS = frozenset(("read", "transact"))
_ANSWERED = "200"


class StoreDistance:
    """Hold the least time that a short call of the store took from here.

    One sample would not do: while the store is slow, or while this process starts, a
    call takes many times what the way to the store does. The least of all calls comes
    near to it, and no outage adds to it, since each try is measured by itself.

    Attributes
    ----------
    seconds : float or None
        None until a call was answered.
    """

    __slots__ = ("seconds",)

    def __init__(self):
        self.seconds = None

    def note_call(self, operation, outcome, seconds):
        """Take in one call.

        Parameters
        ----------
        operation, outcome : str
            As ``Store`` tells its observer.
        seconds : float
        """
        if operation not in _SHORT_OPERATIONS or outcome != _ANSWERED:
            return
        if self.seconds is None or seconds < self.seconds:
            self.seconds = seconds
