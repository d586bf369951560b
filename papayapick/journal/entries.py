"""Follow records on their way into the journal."""

from concurrent.futures import Future

__all__ = ["Entry"]


class Entry:
    """Pair a record with its fate.

    ``written`` is told at once, with JournalUnsettled where the fate is open;
    ``settled`` gets True or False once it is known.
    """

    __slots__ = ("must_persist", "record", "settled", "written")

    def __init__(self, record, must_persist=False):
        self.record = record
        self.must_persist = must_persist
        self.written = Future()
        self.settled = Future()

    def succeed(self):
        """Tell that the record is durable."""
        if not self.written.done():
            self.written.set_result(None)
        self.settled.set_result(True)

    def fail(self, error):
        """Tell that the record is not written, with the reason."""
        if not self.written.done():
            self.written.set_exception(error)
        self.settled.set_result(False)
