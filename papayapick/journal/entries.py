"""Track records until they are durable."""

from concurrent.futures import Future

__all__ = ["Entry"]


class Entry:
    """Hold a record and the futures of its write.

    ``written`` completes after the first write attempt, with JournalUnsettled if
    the result is unknown. ``settled`` becomes True or False once it is known
    whether the record was written.

    Parameters
    ----------
    record : Record
    must_persist : bool
        Keep the entry queued while the result of another write is unknown.
    """

    __slots__ = ("must_persist", "record", "settled", "written")

    def __init__(self, record, must_persist=False):
        self.record = record
        self.must_persist = must_persist
        self.written = Future()
        self.settled = Future()

    def succeed(self):
        """Complete the futures: the record is durable."""
        if not self.written.done():
            self.written.set_result(None)
        self.settled.set_result(True)

    def fail(self, error):
        """Complete the futures: the record was not written because of an error."""
        if not self.written.done():
            self.written.set_exception(error)
        self.settled.set_result(False)
