"""Write typed events as JSON lines, bounded in volume and without blocking.

An event records a decision: about which request it was made, from which inputs and how
old these were. Each kind has a limit of lines per second; dropped lines are counted and
reported. A separate thread writes to standard output: when its reader stalls, the queue
fills and lines are dropped, but no decision is delayed.
"""

import logging
import logging.handlers
import queue
import sys
import threading

from pythonjsonlogger.core import RESERVED_ATTRS
from pythonjsonlogger.json import JsonFormatter

__all__ = ["EVENTS", "Event", "EventLog"]

_LOG = logging.getLogger("papayapick.events")
_FORMAT = "%(asctime)s %(levelname)s %(message)s"
_RESERVED_ATTRIBUTES = [*RESERVED_ATTRS, "fields", "kind"]
_RENAMED_FIELDS = {"asctime": "time", "levelname": "level", "message": "event"}
# Default limit of lines per second of one kind. The target load has 440 starts and
# some 300 steps per second. A line takes 30 us and 300 bytes, so ten kinds at this
# limit take 1% of a core and 90 KB/s.
_DEFAULT_PER_SECOND = 30
# Capacity of the queue to the writer, in lines: about 1 MB.
_QUEUE_LINES = 4000
_CLOSE_TIMEOUT_SECONDS = 0.3
# Lines within this time are written with one call: a call for each line takes more
# processor time of an owner than the lines themselves.
_BATCH_SECONDS = 0.02
_POLL_SECONDS = 1.0

EVENTS = {}


class Event:
    """Describe one kind of event and write its lines.

    Parameters
    ----------
    name : str
        Value of the field ``event``; unique.
    fields : str
        Names of its fields, separated by spaces.
    meaning : str
        Description for the reference page.
    level : int
    per_second : int
        Most lines that are written per second.
    """

    __slots__ = ("fields", "level", "meaning", "name", "per_second")

    def __init__(
        self, name, fields, meaning, level=logging.INFO, per_second=_DEFAULT_PER_SECOND
    ):
        if name in EVENTS:
            raise ValueError(f"event {name} is defined already")
        self.name = name
        self.fields = tuple(fields.split())
        self.meaning = meaning
        self.level = level
        self.per_second = per_second
        EVENTS[name] = self

    def write(self, **values):
        """Write a line with these fields."""
        self._write(values, exc_info=False)

    def write_failure(self, **values):
        """Write a line with these fields and the exception being handled."""
        self._write(values, exc_info=True)

    def _write(self, values, exc_info):
        if _LOG.isEnabledFor(self.level):
            extra = {"fields": values, "kind": self}
            _LOG.log(self.level, self.name, extra=extra, exc_info=exc_info)


LINES_LEFT_OUT = Event(
    "lines left out",
    "of count",
    "Lines of an event that were dropped since the last report: more came in a second "
    "than its limit allows, or the output was not read.",
    level=logging.WARNING,
)


class _RateLimit(logging.Filter):
    """Limit the lines per second of each event, and count the dropped ones."""

    def __init__(self, clock, dropped):
        super().__init__()
        self._clock = clock
        self._dropped = dropped
        # By event: the second of its last line, and the lines written in it.
        self._written = {}
        self._lock = threading.Lock()

    def filter(self, record):
        kind = getattr(record, "kind", None)
        # Records that are no events, such as those of other packages, are limited
        # by their message.
        name = record.msg if kind is None else kind.name
        limit = _DEFAULT_PER_SECOND if kind is None else kind.per_second
        second = int(self._clock.monotonic())
        with self._lock:
            last, count = self._written.get(name, (second, 0))
            count = count if last == second else 0
            if count >= limit:
                self._dropped.add(name)
                return False
            self._written[name] = (second, count + 1)
        return True


class _DropCounter:
    """Count dropped lines by event."""

    __slots__ = ("_counts", "_lock")

    def __init__(self):
        self._counts = {}
        self._lock = threading.Lock()

    def add(self, name):
        with self._lock:
            self._counts[name] = self._counts.get(name, 0) + 1

    def pop_counts(self):
        with self._lock:
            counts, self._counts = self._counts, {}
        return counts


class _DroppingQueueHandler(logging.handlers.QueueHandler):
    """Put records into a bounded queue, and drop them when it is full."""

    def __init__(self, record_queue, dropped):
        super().__init__(record_queue)
        self._dropped = dropped

    def prepare(self, record):
        # The record stays in this process, so its fields need no copy. An exception is
        # formatted here, before its frames change.
        if record.exc_info:
            record.exc_text = logging.Formatter().formatException(record.exc_info)
            record.exc_info = None
        return record

    def enqueue(self, record):
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            # The output is not read. Waiting here would block the thread that decides.
            self._dropped.add(record.getMessage())


class _EventFormatter(JsonFormatter):
    """Add the fields of an event to its line."""

    def add_fields(self, log_data, record, message_dict):
        super().add_fields(log_data, record, message_dict)
        log_data.update(getattr(record, "fields", {}))


class _StreamWriter:
    """Write records to a stream, in batches.

    Parameters
    ----------
    record_queue : queue.Queue of logging.LogRecord
    stream : file
    formatter : logging.Formatter
    dropped : _DropCounter
    """

    __slots__ = ("_dropped", "_formatter", "_queue", "_stopping", "_stream")

    def __init__(self, record_queue, stream, formatter, dropped):
        self._queue = record_queue
        self._stream = stream
        self._formatter = formatter
        self._dropped = dropped
        self._stopping = threading.Event()

    def run(self):
        """Write records until stopped, then those left in the queue."""
        while not self._stopping.is_set():
            try:
                first = self._queue.get(timeout=_POLL_SECONDS)
            except queue.Empty:
                continue
            self._stopping.wait(_BATCH_SECONDS)
            self._write([first, *self._drain()])
        self._write(self._drain())

    def stop(self):
        """Let ``run`` write the records left in the queue and return."""
        self._stopping.set()

    def _drain(self):
        taken = []
        while True:
            try:
                taken.append(self._queue.get_nowait())
            except queue.Empty:
                return taken

    def _write(self, records):
        if not records:
            return
        lines = [self._formatter.format(record) + "\n" for record in records]
        try:
            self._stream.write("".join(lines))
            self._stream.flush()
        except (OSError, ValueError):
            # The output is closed, so only the counts can show the loss.
            for record in records:
                self._dropped.add(record.getMessage())


class EventLog:
    """Write the events of this process to a stream.

    Parameters
    ----------
    clock : Clock
    level : str
        Lowest level that is written.
    static_fields : dict
        Added to each line.
    stream : file, optional
        Standard output by default.
    on_dropped_lines : callable, optional
        Called with the count of dropped lines of an event when it is reported.
    """

    __slots__ = ("_dropped", "_handler", "_on_dropped_lines", "_thread", "_writer")

    def __init__(self, clock, level, static_fields, stream=None, on_dropped_lines=None):
        self._on_dropped_lines = on_dropped_lines or (lambda count: None)
        self._dropped = _DropCounter()
        record_queue = queue.Queue(_QUEUE_LINES)
        self._handler = _DroppingQueueHandler(record_queue, self._dropped)
        self._handler.addFilter(_RateLimit(clock, self._dropped))
        formatter = _EventFormatter(
            _FORMAT,
            rename_fields=_RENAMED_FIELDS,
            static_fields=static_fields,
            reserved_attrs=_RESERVED_ATTRIBUTES,
        )
        self._writer = _StreamWriter(
            record_queue, stream or sys.stdout, formatter, self._dropped
        )
        self._thread = threading.Thread(
            target=self._writer.run, name="events", daemon=True
        )
        # Looking up the thread of a line makes the interpreter keep an object for each
        # thread that was started without one, even after it has ended.
        logging.logThreads = False
        root = logging.getLogger("papayapick")
        root.handlers = [self._handler]
        root.setLevel(level.upper())
        root.propagate = False

    def start(self):
        """Start the thread that writes."""
        self._thread.start()

    def report_dropped_lines(self):
        """Write how many lines were dropped since the last call."""
        if self._handler.queue.full():
            # The output is not read: keep the counts until it is.
            return
        for name, count in sorted(self._dropped.pop_counts().items()):
            self._on_dropped_lines(count)
            LINES_LEFT_OUT.write(of=name, count=count)

    def close(self):
        """Write the queued lines; give up after a timeout if the output is not read."""
        self.report_dropped_lines()
        self._writer.stop()
        self._thread.join(_CLOSE_TIMEOUT_SECONDS)
