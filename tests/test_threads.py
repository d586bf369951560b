"""What fails where nobody can catch it fails the test that runs by then."""

import pytest

from demo.cells import ROOT

pytest_plugins = "pytester"

DIES_IN_THE_TEST = """
import threading

def test_thread():
    thread = threading.Thread(target=[].pop)
    thread.start()
    thread.join()
"""
DIES_IN_THE_TEARDOWN = """
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

BARE_THREAD = """
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
        (DIES_IN_THE_TEST, {"failed": 1}),
        (DIES_IN_THE_TEARDOWN, {"passed": 1, "errors": 1}),
    ],
    ids=["test", "teardown"],
)
def test_thread_that_dies_fails_its_test(pytester, source, outcomes):
    """All tests pass while a thread of a stand-in dies in one of them.

    Nobody waits for the thread, so its exception goes nowhere; pytest only warns, and
    what the thread would have done is missing, in this test or in a later one.
    """
    ran = _run(pytester, source)
    ran.assert_outcomes(**outcomes)
    ran.stdout.fnmatch_lines(["*PytestUnhandledThreadExceptionWarning*"])


@pytest.mark.parametrize(
    "source", [BARE_THREAD, FINALIZER], ids=["thread", "finalizer"]
)
def test_exception_that_nobody_can_catch_fails_its_test(pytester, source):
    """All tests pass while something dies where there is no caller.

    It is raised by an object's finalizer, or by a thread that was started without
    the class Thread; the interpreter writes a line and goes on.
    """
    ran = _run(pytester, source)
    ran.assert_outcomes(failed=1)
    ran.stdout.fnmatch_lines(["*PytestUnraisableExceptionWarning*"])


def _run(pytester, source):
    """Run the tests of a source under the settings of this project."""
    path = pytester.makepyfile(source)
    return pytester.runpytest_inprocess(
        "-c", ROOT / "pyproject.toml", "--rootdir", pytester.path, path
    )
