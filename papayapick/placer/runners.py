"""Run durable work as it comes due."""

import collections
import threading

from papayapick.clients import PlatformError
from papayapick.journal import JournalError
from papayapick.observability import get_logger

__all__ = ["WorkLoop"]

_LOG = get_logger(__name__)
_TAKE_SECONDS = 5.0
_RETRY_SECONDS = 1.0
_LEAVING_SECONDS = 0.1


class WorkLoop:
    """Take items from the dispatcher and run them, one at a time in each task.

    Parameters
    ----------
    process : Process
    dispatcher : WorkDesk
    runner_of : callable
        Returns the runner of an item.
    """

    __slots__ = ("_dispatcher", "_running_counts", "_lock", "_process", "_runner_of")

    def __init__(self, process, dispatcher, runner_of):
        self._process = process
        self._dispatcher = dispatcher
        self._runner_of = runner_of
        self._running_counts = collections.Counter()
        self._lock = threading.Lock()

    def running_count(self, shard):
        """Return how many runs of a shard are under way."""
        with self._lock:
            return self._running_counts[shard.name]

    def step(self):
        """Run the next item that comes due; the step of a task."""
        found = self._dispatcher.take(_TAKE_SECONDS)
        if found is not None:
            self.run_one(*found)

    def run_one(self, shard, item):
        """Run an item; whatever fails, it is put off and not dropped."""
        with self._lock:
            self._running_counts[shard.name] += 1
        try:
            self._run(shard, item)
        finally:
            with self._lock:
                self._running_counts[shard.name] -= 1

    def _run(self, shard, item):
        if shard.is_handing_over and not shard.is_closed:
            # The next owner starts it; here it is kept for the case that the
            # shard stays after all.
            self._dispatcher.enqueue(shard, item, _LEAVING_SECONDS)
            return
        try:
            self._runner_of(item).run(shard, item)
        except (PlatformError, JournalError) as error:
            _LOG.info("run put off", extra={"error": str(error)})
            self._dispatcher.enqueue(shard, item, _RETRY_SECONDS)
        except Exception:
            # A fault of ours: the item would be lost, and its caller with it.
            _LOG.exception("run failed", extra={"request": item.request_id})
            self._dispatcher.enqueue(shard, item, _RETRY_SECONDS)
