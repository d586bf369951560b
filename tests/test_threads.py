"""A thread that dies fails the test in which it dies."""

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


@pytest.mark.parametrize(
    ("source", "outcomes"),
    [
        (DIES_IN_THE_TEST, {"failed": 1}),
        (DIES_IN_THE_TEARDOWN, {"passed": 1, "errors": 1}),
    ],
)
def test_thread_that_dies_fails_its_test(pytester, source, outcomes):
    """All tests pass while a thread of a stand-in dies in one of them.

    Nobody waits for the thread, so its exception goes nowhere; pytest only warns, and
    what the thread would have done is missing, in this test or in a later one.
    """
    path = pytester.makepyfile(source)
    ran = pytester.runpytest_inprocess(
        "-c", ROOT / "pyproject.toml", "--rootdir", pytester.path, path
    )
    ran.assert_outcomes(**outcomes)
    ran.stdout.fnmatch_lines(["*PytestUnhandledThreadExceptionWarning*"])
