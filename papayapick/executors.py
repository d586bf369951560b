"""Run tasks in threads whose number follows the tasks at work.

Guards against a host that keeps a thread for each task that ever ran at the same time.
An owner of a pool has thousands of them; if former owners and hosts that only tried to
become one kept theirs, the machine could start no more threads for the present owner.

Also guards against an owner whose first heartbeats to hundreds of hosts come too late:
``threading.Thread.start`` waits until the new thread runs, and beside a thread that
decodes the state of the pool each such wait takes several switch intervals of the
interpreter. Threads are started without that wait.
"""

import _thread
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
        self._threads = 0
        self._is_shut_down = False

    @property
    def threads(self):
        """Return the number of threads."""
        return self._threads

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
                # With its task: a new thread that had to take the lock first would hold
                # it for a switch interval, and the next submission would wait for it.
                self._start_thread(self._queue.popleft())
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
            self._condition.notify_all()
            while wait and self._threads:
                self._condition.wait()

    def _start_thread(self, task):
        error = "as many threads as allowed"
        if self._threads < self._max_threads:
            try:
                _thread.start_new_thread(self._work, (task,))
            except RuntimeError as shortage:
                # The machine has no threads or memory left.
                error = str(shortage)
            else:
                self._threads += 1
                return
        self._queue.appendleft(task)
        self._note_shortage(error)

    def _note_shortage(self, error):
        self._on_shortage(
            executor=self._prefix,
            threads=self._threads,
            queued=len(self._queue),
            error=error,
        )

    def _work(self, task):
        while task is not None:
            future, fn, args, kwargs = task
            if future.set_running_or_notify_cancel():
                _run(future, fn, args, kwargs)
            # The thread may stay idle for long: it must not keep the task's objects.
            del task, future, fn, args, kwargs
            task = self._next_task()

    def _next_task(self):
        """Return the next task, or None if the thread is to end."""
        with self._condition:
            while not self._queue:
                if self._is_shut_down or not self._wait_for_task():
                    self._threads -= 1
                    # Otherwise only idle threads wait, and each would wait anew.
                    if self._is_shut_down:
                        self._condition.notify_all()
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


def _run(future, fn, args, kwargs):
    try:
        result = fn(*args, **kwargs)
    except BaseException as error:
        future.set_exception(error)
    else:
        future.set_result(result)
