"""Run tasks in threads whose number follows the tasks at work.

Guards against a host that keeps a thread for each task that ever ran at the same time.
An owner of a pool has thousands of them; if former owners and hosts that only tried to
become one kept theirs, the machine could start no more threads for the present owner.
"""

import collections
import threading
from concurrent.futures import Executor, Future

__all__ = ["ElasticExecutor"]

# Tasks come in bursts within this time; a thread that ends sooner is started again.
_IDLE_SECONDS = 3.0


class ElasticExecutor(Executor):
    """Start a thread for each task that finds none idle; end threads that stay idle.

    If a thread can't be started, the task waits for one that becomes idle.

    Parameters
    ----------
    max_threads : int
    thread_name_prefix : str
    on_shortage : callable, optional
        Called with the keywords executor, threads, queued and error when no thread
        could be started for a task.
    idle_seconds : float, optional
        Time after which an idle thread ends.
    """

    def __init__(
        self,
        max_threads,
        thread_name_prefix,
        on_shortage=lambda **fields: None,
        idle_seconds=_IDLE_SECONDS,
    ):
        self._on_shortage = on_shortage
        self._max_threads = max_threads
        self._prefix = thread_name_prefix
        self._idle_seconds = idle_seconds
        self._condition = threading.Condition()
        self._queue = collections.deque()
        self._idle = 0
        self._threads = set()
        self._is_shut_down = False

    @property
    def threads(self):
        """Return the number of threads."""
        return len(self._threads)

    def submit(self, fn, /, *args, **kwargs):
        """Run a function in a thread; return a Future of its result.

        Raises
        ------
        RuntimeError
            The executor is shut down.
        """
        future = Future()
        with self._condition:
            if self._is_shut_down:
                raise RuntimeError("the executor is shut down")
            self._queue.append((future, fn, args, kwargs))
            if len(self._queue) > self._idle:
                self._start_thread()
            else:
                self._condition.notify()
        return future

    def shutdown(self, wait=True, *, cancel_futures=False):
        """Accept no more tasks; end each thread after the tasks that are queued.

        Parameters
        ----------
        wait : bool
            Whether to return only when all threads have ended.
        cancel_futures : bool
            Whether to cancel the tasks that no thread has begun.
        """
        with self._condition:
            self._is_shut_down = True
            if cancel_futures:
                for future, *_ in self._queue:
                    future.cancel()
                self._queue.clear()
            threads = list(self._threads)
            self._condition.notify_all()
        if wait:
            for thread in threads:
                thread.join()

    def _start_thread(self):
        if len(self._threads) >= self._max_threads:
            self._note_shortage("as many threads as allowed")
            return
        thread = threading.Thread(
            target=self._work, name=f"{self._prefix}-{len(self._threads)}", daemon=True
        )
        self._threads.add(thread)
        try:
            thread.start()
        except RuntimeError as error:
            # The machine has no threads or memory left.
            self._threads.discard(thread)
            self._note_shortage(str(error))

    def _note_shortage(self, error):
        self._on_shortage(
            executor=self._prefix,
            threads=len(self._threads),
            queued=len(self._queue),
            error=error,
        )

    def _work(self):
        while (task := self._next_task()) is not None:
            future, fn, args, kwargs = task
            if not future.set_running_or_notify_cancel():
                continue
            try:
                result = fn(*args, **kwargs)
            except BaseException as error:
                future.set_exception(error)
            else:
                future.set_result(result)
            # The thread may stay idle for long: it must not keep the task's objects.
            del task, future, fn, args, kwargs

    def _next_task(self):
        """Return the next task, or None if the thread is to end."""
        with self._condition:
            while not self._queue:
                if self._is_shut_down or not self._wait_for_task():
                    self._threads.discard(threading.current_thread())
                    return None
            return self._queue.popleft()

    def _wait_for_task(self):
        """Wait; return whether to look for a task again."""
        self._idle += 1
        try:
            is_notified = self._condition.wait(self._idle_seconds)
        finally:
            self._idle -= 1
        return is_notified or bool(self._queue)
