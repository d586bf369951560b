"""Execute durable work when it is due."""

import collections
import threading

from papayapick.clients import PlatformError
from papayapick.journal import JournalError
from papayapick.observability import get_logger

__all__ = ["WorkLoop"]

_LOG = get_logger(__name__)
_TAKE_SECONDS = 5.0
_RETRY_SECONDS = 1.0
_HANDOVER_RETRY_SECONDS = 0.1


class WorkLoop:
    """Take items from the dispatcher and run them, one per thread at a time.

    Parameters
    ----------
    process : Process
    dispatcher : WorkDispatcher
    runner_of : callable
        Returns the runner of an item.
    """

    __slots__ = ("_dispatcher", "_lock", "_process", "_runner_of", "_running_counts")

    def __init__(self, process, dispatcher, runner_of):
        self._process = process
        self._dispatcher = dispatcher
        self._runner_of = runner_of
        self._running_counts = collections.Counter()
        self._lock = threading.Lock()

    def running_count(self, shard):
        """Return the number of runs of a shard in this process."""
        with self._lock:
            return self._running_counts[shard.name]

    def step(self):
        """Run the next due item, if any; called repeatedly by each runner thread."""
        due = self._dispatcher.take(_TAKE_SECONDS)
        if due is not None:
            self.run_one(*due)

    def run_one(self, shard, item):
        """Run an item; after any error the item is queued again, never dropped."""
        with self._lock:
            self._running_counts[shard.name] += 1
        try:
            self._run(shard, item)
        finally:
            with self._lock:
                self._running_counts[shard.name] -= 1

    def _run(self, shard, item):
        if shard.is_handing_over and not shard.is_closed:
            # The next owner starts the item. It is queued again here in case the
            # handover fails and the shard stays.
            self._dispatcher.enqueue(shard, item, _HANDOVER_RETRY_SECONDS)
            return
        try:
            self._runner_of(item).run(shard, item)
        except (PlatformError, JournalError) as error:
            _LOG.info("run postponed after an error", extra={"error": str(error)})
            self._dispatcher.enqueue(shard, item, _RETRY_SECONDS)
        except Exception:
            # An unexpected error. Without the retry the item would be lost and its
            # caller would never be answered.
            _LOG.exception(
                "run failed unexpectedly; queued again",
                extra={"request": item.request_id},
            )
            self._dispatcher.enqueue(shard, item, _RETRY_SECONDS)
