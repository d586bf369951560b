"""An uncaught error in a thread or a finalizer fails the running test."""

import pytest

from demo.cells import ROOT

pytest_plugins = "pytester"

FAILS_IN_THE_TEST = """
import threading

def test_thread():
    thread = threading.Thread(target=[].pop)
    thread.start()
    thread.join()
"""
FAILS_IN_THE_TEARDOWN = """
import threading
import pytest

@pytest.fixture
def thread():
    thread = threading.Thread(target=[].pop)
    yield thread
    thread.start()
    thread.join()

def test_thread(thread):
    pass
"""

LOW_LEVEL_THREAD = """
import _thread, sys, threading

def test_thread(monkeypatch):
    is_noted, hook = threading.Event(), sys.unraisablehook

    def note(found):
        hook(found)
        is_noted.set()

    monkeypatch.setattr(sys, "unraisablehook", note)
    _thread.start_new_thread([].pop, ())
    assert is_noted.wait(10)
"""
FINALIZER = """
class Held:
    def __del__(self):
        [].pop()

def test_finalizer():
    Held()
"""


@pytest.mark.parametrize(
    ("source", "outcomes"),
    [
        (FAILS_IN_THE_TEST, {"failed": 1}),
        (FAILS_IN_THE_TEARDOWN, {"passed": 1, "errors": 1}),
    ],
    ids=["test", "teardown"],
)
def test_uncaught_error_in_a_thread_fails_its_test(pytester, source, outcomes):
    """All tests pass although a thread of a test double ended with an exception.

    The exception is not raised in any other thread and pytest only warns, so this
    test or a later one runs without what the thread should have done.
    """
    result = _run(pytester, source)
    result.assert_outcomes(**outcomes)
    result.stdout.fnmatch_lines(["*PytestUnhandledThreadExceptionWarning*"])


@pytest.mark.parametrize(
    "source", [LOW_LEVEL_THREAD, FINALIZER], ids=["thread", "finalizer"]
)
def test_unraisable_exception_fails_its_test(pytester, source):
    """All tests pass although an exception was raised outside of any call.

    An object's finalizer raised it, or a thread that was not started by the class
    Thread; the interpreter only prints it and continues.
    """
    result = _run(pytester, source)
    result.assert_outcomes(failed=1)
    result.stdout.fnmatch_lines(["*PytestUnraisableExceptionWarning*"])


def _run(pytester, source):
    """Run the tests of a source with the pytest settings of this project."""
    path = pytester.makepyfile(source)
    return pytester.runpytest_inprocess(
        "-c", ROOT / "pyproject.toml", "--rootdir", pytester.path, path
    )
