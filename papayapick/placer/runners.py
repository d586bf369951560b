"""Run durable work as it comes due."""

from papayapick.journal import JournalError
from papayapick.observability import get_logger
from papayapick.platforms import PlatformError

__all__ = ["WorkLoop"]

_LOG = get_logger(__name__)
_TAKE_SECONDS = 5.0
_RETRY_SECONDS = 1.0


class WorkLoop:
    """Take items from the desk and run them, one at a time in each task.

    Parameters
    ----------
    process : Process
    desk : WorkDesk
    runner_of : callable
        Returns the runner of an item.
    """

    __slots__ = ("_desk", "_process", "_runner_of")

    def __init__(self, process, desk, runner_of):
        self._process = process
        self._desk = desk
        self._runner_of = runner_of

    def step(self):
        """Run the next item that comes due; the step of a task."""
        if self._process.is_draining:
            self._process.clock.wait(self._process.is_stopping, _RETRY_SECONDS)
            return
        found = self._desk.take(_TAKE_SECONDS)
        if found is not None:
            self.run_one(*found)

    def run_one(self, shard, item):
        """Run an item; whatever fails, it is put off and not dropped."""
        try:
            self._runner_of(item).run(shard, item)
        except (PlatformError, JournalError) as error:
            _LOG.info("run put off", extra={"error": str(error)})
            self._desk.enqueue(shard, item, _RETRY_SECONDS)
        except Exception:
            # A fault of ours: the item would be lost, and its caller with it.
            _LOG.exception("run failed", extra={"request": item.request_id})
            self._desk.enqueue(shard, item, _RETRY_SECONDS)
