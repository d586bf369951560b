"""Threads of an executor follow the tasks at work, and their shortage ends no task."""

import _thread
import os
import sys
import threading
import time

import pytest

from papayapick.executors import ElasticExecutor

WAIT_SECONDS = 10.0
# Lists the threads of this process, also those that the threading module doesn't know.
_THREADS_PATH = "/proc/self/task"


def wait_for(condition):
    """Wait until a condition holds; fail after ten seconds."""
    deadline = time.monotonic() + WAIT_SECONDS
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.01)


@pytest.fixture
def executor():
    executor = ElasticExecutor(8, "test", idle_seconds=0.05)
    yield executor
    executor.shutdown()


def occupy(executor, count):
    """Submit tasks that wait; return the event that ends them, once all have begun."""
    begun, end = threading.Semaphore(0), threading.Event()

    def task():
        begun.release()
        end.wait(WAIT_SECONDS)

    for _ in range(count):
        executor.submit(task)
    for _ in range(count):
        assert begun.acquire(timeout=WAIT_SECONDS)
    return end


def test_each_task_finds_a_thread(executor):
    end = occupy(executor, 8)
    assert executor.threads == 8
    end.set()


def test_idle_threads_end():
    """Guards against hosts that keep thousands of threads after they owned a pool.

    The machine could then start no more threads for the next owner.
    """
    before = set(os.listdir(_THREADS_PATH))
    executor = ElasticExecutor(8, "test", idle_seconds=0.0)
    end = occupy(executor, 8)
    started = set(os.listdir(_THREADS_PATH)) - before
    assert len(started) >= 8
    end.set()
    wait_for(lambda: started.isdisjoint(os.listdir(_THREADS_PATH)))
    assert executor.threads == 0
    assert executor.submit(lambda: 7).result(WAIT_SECONDS) == 7


def test_idle_thread_takes_the_next_task():
    executor = ElasticExecutor(8, "test", idle_seconds=WAIT_SECONDS)
    idents = {
        executor.submit(threading.get_ident).result(WAIT_SECONDS) for _ in range(20)
    }
    assert len(idents) <= 2
    executor.shutdown()


def test_task_without_a_thread_waits_for_one(executor):
    end = occupy(executor, 8)
    late = executor.submit(lambda: "done")
    assert not late.done()
    end.set()
    assert late.result(WAIT_SECONDS) == "done"


def test_shortage_of_the_machine_raises_nothing(monkeypatch):
    """Guards against a process that ends as its machine starts no more threads.

    A new owner has a thread for each worker and host; the error ended its process,
    and then the next owner's.
    """
    shortages = []
    executor = ElasticExecutor(8, "test", lambda **fields: shortages.append(fields))
    end = occupy(executor, 1)

    def refuse(function, arguments):
        raise RuntimeError("can't start new thread")

    with monkeypatch.context() as patched:
        patched.setattr(_thread, "start_new_thread", refuse)
        queued = [executor.submit(lambda: 1) for _ in range(3)]
    assert [one["queued"] for one in shortages] == [1, 2, 3]
    end.set()
    assert [one.result(WAIT_SECONDS) for one in queued] == [1, 1, 1]
    executor.shutdown()


def test_thread_that_ends_leaves_others_to_end_in_their_time():
    """Guards against idle threads that wait anew, one after the other, as each ends.

    They became idle at different moments. Each end woke all others, and a host kept
    the threads of its bursts for minutes.
    """
    executor = ElasticExecutor(8, "test", idle_seconds=0.6)
    ends = [threading.Event() for _ in range(8)]
    futures = [executor.submit(end.wait, WAIT_SECONDS) for end in ends]
    for end, future in zip(ends, futures, strict=True):
        end.set()
        future.result(WAIT_SECONDS)
        time.sleep(0.05)
    idle_since = time.monotonic()
    wait_for(lambda: executor.threads == 0)
    assert time.monotonic() - idle_since < 1.4
    executor.shutdown()


def test_submitting_does_not_wait_until_the_thread_runs():
    """Guards against a new owner whose heartbeats to hundreds of hosts come too late.

    Beside a thread that computes, each start of a thread that is waited for takes
    several switch intervals, and one after the other they took seconds. Here no thread
    can begin before all tasks are submitted.
    """
    executor = ElasticExecutor(8, "test", idle_seconds=0.0)
    interval = sys.getswitchinterval()
    began = []
    try:
        # The interpreter switches threads only where this one waits.
        sys.setswitchinterval(1000.0)
        futures = [executor.submit(began.append, number) for number in range(4)]
        began_meanwhile = list(began)
    finally:
        sys.setswitchinterval(interval)
    for future in futures:
        future.result(WAIT_SECONDS)
    assert began_meanwhile == []
    executor.shutdown()


def test_error_of_a_task_is_its_result(executor):
    with pytest.raises(ZeroDivisionError):
        executor.submit(lambda: 1 / 0).result(WAIT_SECONDS)
    assert executor.submit(lambda: 1).result(WAIT_SECONDS) == 1


def test_shutdown_cancels_what_has_not_begun(executor):
    end = occupy(executor, 8)
    late = executor.submit(lambda: 1)
    executor.shutdown(wait=False, cancel_futures=True)
    assert late.cancelled()
    with pytest.raises(RuntimeError):
        executor.submit(lambda: 1)
    end.set()


def test_shutdown_runs_what_is_queued():
    executor = ElasticExecutor(1, "test")
    futures = [executor.submit(lambda n=number: n) for number in range(9)]
    executor.shutdown()
    assert [one.result(0) for one in futures] == list(range(9))
