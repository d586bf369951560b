"""The minimum latency of the store that a host has measured."""

import pytest

from papayapick.entry.store.latency import StoreLatency


@pytest.fixture
def latency():
    found = StoreLatency()
    found.note_call("read", "200", 0.24)
    return found


def test_latency_is_not_known_before_the_first_answer():
    assert StoreLatency().seconds is None


def test_slow_first_answer_is_replaced_by_a_faster_one(latency):
    """Guards against a host near the store that is rated as far from it for ever."""
    latency.note_call("transact", "200", 0.008)
    latency.note_call("read", "200", 0.5)
    assert latency.seconds == 0.008


@pytest.mark.parametrize(
    ("operation", "outcome"),
    [("follow", "200"), ("read", "503"), ("read", "no-answer"), ("read", "not-sent")],
)
def test_call_that_was_not_served_does_not_change_the_latency(
    latency, operation, outcome
):
    """Guards against a distant host that claims a pool first.

    A refusal by an intermediary is faster than any answer of the store.
    """
    latency.note_call(operation, outcome, 0.001)
    assert latency.seconds == 0.24
