"""Exactly the tests that KNOWN-RED.txt lists are deselected."""

import pytest

from tests import conftest

LINES = """\
# A comment.
tests/a.py::test_one | command and seed, what was seen; issue
tests/a.py::test_case[2] | one case of several; issue
"""


@pytest.fixture
def listed(tmp_path, monkeypatch):
    path = tmp_path / "KNOWN-RED.txt"
    path.write_text(LINES)
    monkeypatch.setattr(conftest, "KNOWN_RED", path)
    return conftest.known_red()


@pytest.mark.parametrize(
    ("nodeid", "is_red"),
    [
        ("tests/a.py::test_one", True),
        ("tests/a.py::test_one[small]", True),
        ("tests/a.py::test_one_more", False),
        ("tests/a.py::test_case[2]", True),
        ("tests/a.py::test_case[1]", False),
        ("tests/b.py::test_one", False),
    ],
)
def test_listed_test_is_deselected_with_all_its_cases(listed, nodeid, is_red):
    assert conftest.is_known_red(nodeid, listed) == is_red


def test_more_entries_than_the_limit_are_rejected(listed):
    lines = "".join(f"tests/a.py::test_{n} | x\n" for n in range(4))
    conftest.KNOWN_RED.write_text(lines)
    with pytest.raises(AssertionError, match="too many"):
        conftest.known_red()
