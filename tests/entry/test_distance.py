"""How far a host takes the store to be."""

import pytest

from papayapick.entry.distance import StoreDistance


@pytest.fixture
def distance():
    found = StoreDistance()
    found.note_call("read", "200", 0.24)
    return found


def test_distance_is_not_known_before_the_first_answer():
    assert StoreDistance().seconds is None


def test_slow_first_answer_is_forgotten_once_the_store_is_quick(distance):
    """A host near the store would count as far from it for as long as it lives."""
    distance.note_call("transact", "200", 0.008)
    distance.note_call("read", "200", 0.5)
    assert distance.seconds == 0.008


@pytest.mark.parametrize(
    ("operation", "outcome"),
    [("follow", "200"), ("read", "503"), ("read", "no-answer"), ("read", "not-sent")],
)
def test_call_that_was_not_served_tells_nothing_of_the_distance(
    distance, operation, outcome
):
    """A refusal by something in between would make a far host the first to try."""
    distance.note_call(operation, outcome, 0.001)
    assert distance.seconds == 0.24
