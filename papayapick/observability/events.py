"""Write typed events as JSON lines, bounded in volume and never waiting.

An event says what was decided, about which request, from which inputs and of what
age. Each kind may write so many lines a second; what is left out is counted and said.
A task of its own writes to standard output: a reader that has stopped reading fills a
queue and then costs lines, never a decision.
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
_OWN_ATTRIBUTES = [*RESERVED_ATTRS, "fields", "kind"]
_RENAMED = {"asctime": "time", "levelname": "level", "message": "event"}
# Lines a second of one kind. At 440 starts a second the target has some 300 steps a
# second; a line takes 30 us and 300 bytes, so ten such kinds at their limit cost 1% of
# a core and 90 KB/s.
_PER_SECOND = 30
# Lines that wait for the writer: about 1 MB.
_WAITING_LINES = 4000
_CLOSE_SECONDS = 0.3
# Lines that come within this time are written together: a write for each takes more of
# an owner's core than the lines themselves.
_GATHER_SECONDS = 0.02
_LOOK_SECONDS = 1.0

EVENTS = {}


class Event:
    """Describe one kind of line and write it.

    Parameters
    ----------
    name : str
        As the line names it; unique.
    fields : str
        Names of its fields, separated by spaces.
    meaning : str
        For the reference page.
    level : int
    per_second : int
        Lines that may be written in a second.
    """

    __slots__ = ("fields", "level", "meaning", "name", "per_second")

    def __init__(
        self, name, fields, meaning, level=logging.INFO, per_second=_PER_SECOND
    ):
        if name in EVENTS:
            raise ValueError(f"event {name} is there already")
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
        """Write a line with these fields and the exception that is handled."""
        self._write(values, exc_info=True)

    def _write(self, values, exc_info):
        if _LOG.isEnabledFor(self.level):
            extra = {"fields": values, "kind": self}
            _LOG.log(self.level, self.name, extra=extra, exc_info=exc_info)


LINES_LEFT_OUT = Event(
    "lines left out",
    "of count",
    "So many lines of an event were not written since the last one that was: more came "
    "in a second than it may have, or nobody read the output.",
    level=logging.WARNING,
)


class _Budget(logging.Filter):
    """Let so many lines of each event pass in a second, and count the others."""

    def __init__(self, clock, left_out):
        super().__init__()
        self._clock = clock
        self._left_out = left_out
        # By event: second in which it was last written, and lines written in it.
        self._written = {}
        self._lock = threading.Lock()

    def filter(self, record):
        kind = getattr(record, "kind", None)
        # Lines of packages that know no events count by their text.
        name = record.msg if kind is None else kind.name
        limit = _PER_SECOND if kind is None else kind.per_second
        second = int(self._clock.monotonic())
        with self._lock:
            last, count = self._written.get(name, (second, 0))
            count = count if last == second else 0
            if count >= limit:
                self._left_out.note(name)
                return False
            self._written[name] = (second, count + 1)
        return True


class _LeftOut:
    """Count the lines that were not written, by event."""

    __slots__ = ("_counts", "_lock")

    def __init__(self):
        self._counts = {}
        self._lock = threading.Lock()

    def note(self, name):
        with self._lock:
            self._counts[name] = self._counts.get(name, 0) + 1

    def take(self):
        with self._lock:
            counts, self._counts = self._counts, {}
        return counts


class _Handler(logging.handlers.QueueHandler):
    """Put records into a bounded queue without waiting."""

    def __init__(self, waiting, left_out):
        super().__init__(waiting)
        self._left_out = left_out

    def prepare(self, record):
        # The record stays in this process: its fields need no copy. An exception's
        # text is made here, where its frames are still as they were.
        if record.exc_info:
            record.exc_text = logging.Formatter().formatException(record.exc_info)
            record.exc_info = None
        return record

    def enqueue(self, record):
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            # Nobody reads the output. Waiting here would hold up whoever decides.
            self._left_out.note(record.getMessage())


class _Formatter(JsonFormatter):
    """Add the fields of an event to its line."""

    def add_fields(self, log_data, record, message_dict):
        super().add_fields(log_data, record, message_dict)
        log_data.update(getattr(record, "fields", {}))


class _Writer:
    """Write records to a stream, those that come together with one call.

    Parameters
    ----------
    waiting : queue.Queue of logging.LogRecord
    stream : file
    formatter : logging.Formatter
    left_out : _LeftOut
    """

    __slots__ = ("_formatter", "_left_out", "_stopping", "_stream", "_waiting")

    def __init__(self, waiting, stream, formatter, left_out):
        self._waiting = waiting
        self._stream = stream
        self._formatter = formatter
        self._left_out = left_out
        self._stopping = threading.Event()

    def run(self):
        """Write until stopped, then what still waits."""
        while not self._stopping.is_set():
            try:
                first = self._waiting.get(timeout=_LOOK_SECONDS)
            except queue.Empty:
                continue
            self._stopping.wait(_GATHER_SECONDS)
            self._write([first, *self._take()])
        self._write(self._take())

    def stop(self):
        """Write what waits, and end."""
        self._stopping.set()

    def _take(self):
        taken = []
        while True:
            try:
                taken.append(self._waiting.get_nowait())
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
            # The output is closed. There is nowhere to say so but the counts.
            for record in records:
                self._left_out.note(record.getMessage())


class EventLog:
    """Write all events of this process to a stream.

    Parameters
    ----------
    clock : Clock
    level : str
        Least level that is written.
    static_fields : dict
        On each line.
    stream : file, optional
        Standard output where none is given.
    on_dropped_lines : callable, optional
        Called with the number of lines that were left out, when they are told.
    """

    __slots__ = ("_handler", "_left_out", "_on_left_out", "_task", "_writer")

    def __init__(self, clock, level, static_fields, stream=None, on_dropped_lines=None):
        self._on_left_out = on_dropped_lines or (lambda count: None)
        self._left_out = _LeftOut()
        waiting = queue.Queue(_WAITING_LINES)
        self._handler = _Handler(waiting, self._left_out)
        self._handler.addFilter(_Budget(clock, self._left_out))
        formatter = _Formatter(
            _FORMAT,
            rename_fields=_RENAMED,
            static_fields=static_fields,
            reserved_attrs=_OWN_ATTRIBUTES,
        )
        self._writer = _Writer(waiting, stream or sys.stdout, formatter, self._left_out)
        self._task = threading.Thread(
            target=self._writer.run, name="events", daemon=True
        )
        root = logging.getLogger("papayapick")
        root.handlers = [self._handler]
        root.setLevel(level.upper())
        root.propagate = False

    def start(self):
        """Begin to write, as a task of its own."""
        self._task.start()

    def report_dropped_lines(self):
        """Write how many lines were left out since the last call."""
        if self._handler.queue.full():
            # Nobody reads: the counts are kept until somebody does.
            return
        for name, count in sorted(self._left_out.take().items()):
            self._on_left_out(count)
            LINES_LEFT_OUT.write(of=name, count=count)

    def close(self):
        """Write what waits; give up where nobody reads."""
        self.report_dropped_lines()
        self._writer.stop()
        self._task.join(_CLOSE_SECONDS)
