"""Tests of the callers' rate limits over several gateways and of attempt timeouts."""

from types import SimpleNamespace

import pytest

from papayapick.clock import ManualClock
from papayapick.limits import AttemptTimeouts, CallerLimits, CallerOverLimit

BUNDLE = SimpleNamespace(
    callers={"ana": {"name": "ana", "requests_per_second": 30, "burst": 3}}
)


def admitted(limits, clock, seconds, step=0.01):
    """Send one request per step; return the number of admitted requests."""
    count = 0
    for _ in range(int(seconds / step)):
        clock.advance(step)
        try:
            limits.admit("ana")
            count += 1
        except CallerOverLimit:
            continue
    return count


def test_gateways_share_a_rate():
    """Guard against a caller that gets three times its rate from three gateways.

    The load balancer spreads its requests, so each gateway must admit a third only.
    """
    clock = ManualClock()
    gateways = [CallerLimits(clock, lambda: 3) for _ in range(3)]
    for limits in gateways:
        limits.use_bundle(BUNDLE)
    total = sum(admitted(limits, clock, 10, step=0.001) for limits in gateways)
    assert 290 <= total <= 310


def test_share_grows_when_gateways_stop():
    """Guard against a caller limited to a third after two of three gateways stop."""
    clock = ManualClock()
    live = [3]
    limits = CallerLimits(clock, lambda: live[0])
    limits.use_bundle(BUNDLE)
    before = admitted(limits, clock, 10)
    live[0] = 1
    assert admitted(limits, clock, 10) > 2.5 * before


def test_empty_list_of_gateways_counts_as_one():
    """Guard against a division by zero while the list of gateways was never read."""
    limits = CallerLimits(ManualClock(), lambda: 0)
    limits.use_bundle(BUNDLE)
    limits.admit("ana")


def test_refusal_reports_when_the_next_token_is_available():
    clock = ManualClock()
    limits = CallerLimits(clock)
    limits.use_bundle(BUNDLE)
    for _ in range(3):
        limits.admit("ana")
    with pytest.raises(CallerOverLimit) as caught:
        limits.admit("ana")
    assert caught.value.outcome == "not_run"
    clock.advance(caught.value.retry_after)
    limits.admit("ana")


def test_callers_that_are_not_in_the_bundle_are_not_limited():
    limits = CallerLimits(ManualClock())
    limits.use_bundle(BUNDLE)
    for _ in range(100):
        limits.admit("ben")


def test_first_attempt_leaves_time_for_another_and_ends_before_the_deadline():
    timeouts = AttemptTimeouts()
    for number in range(64):
        timeouts.observe("counts", 0.01 if number else 1.0)
    assert 0.03 <= timeouts.first_attempt_seconds("counts", remaining_seconds=2.0) < 1.0
    assert (
        timeouts.first_attempt_seconds("counts", remaining_seconds=0.02) <= 0.02 * 0.7
    )
