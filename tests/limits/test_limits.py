"""Hold callers to their rates over several gateways."""

from types import SimpleNamespace

import pytest

from papayapick.clock import ManualClock
from papayapick.limits import AttemptTimeouts, CallerLimits, CallerOverLimit

BUNDLE = SimpleNamespace(
    callers={"ana": {"name": "ana", "requests_per_second": 30, "burst": 3}}
)


def admitted(limits, clock, seconds, step=0.01):
    """Ask at every step; return how many were admitted."""
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
    """A caller may send 30 a second and three gateways each admit 30.

    The balancer spreads its requests, so that it gets three times its rate.
    """
    clock = ManualClock()
    gateways = [CallerLimits(clock, lambda: 3) for _ in range(3)]
    for found in gateways:
        found.use_bundle(BUNDLE)
    total = sum(admitted(found, clock, 10, step=0.001) for found in gateways)
    assert 290 <= total <= 310


def test_share_grows_when_gateways_go():
    """Two of three gateways go; the caller must not be left with a third."""
    clock = ManualClock()
    live = [3]
    limits = CallerLimits(clock, lambda: live[0])
    limits.use_bundle(BUNDLE)
    before = admitted(limits, clock, 10)
    live[0] = 1
    assert admitted(limits, clock, 10) > 2.5 * before


def test_empty_list_of_gateways_counts_as_one():
    """The live list was never read, and a share of nothing would be none."""
    limits = CallerLimits(ManualClock(), lambda: 0)
    limits.use_bundle(BUNDLE)
    limits.admit("ana")


def test_refusal_says_when_a_token_is_there():
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


def test_unnamed_callers_are_not_limited():
    limits = CallerLimits(ManualClock())
    limits.use_bundle(BUNDLE)
    for _ in range(100):
        limits.admit("ben")


def test_first_try_leaves_time_and_never_passes_the_deadline():
    timeouts = AttemptTimeouts()
    for number in range(64):
        timeouts.observe("counts", 0.01 if number else 1.0)
    assert 0.03 <= timeouts.first_attempt_seconds("counts", rest=2.0) < 1.0
    assert timeouts.first_attempt_seconds("counts", rest=0.02) <= 0.02 * 0.7
