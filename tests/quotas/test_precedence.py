"""A team under half its share is never behind one above its share."""

from hypothesis import given, settings
from hypothesis import strategies as st

from papayapick.quotas.precedence import Precedence, team_precedence

SHARES = st.floats(0, 3)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(SHARES, SHARES, SHARES)
def test_team_under_half_its_share_precedes_those_above_theirs(low, high, fair):
    if low < fair / 2 and high > fair:
        assert team_precedence(low, fair) < team_precedence(high, fair)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(SHARES, SHARES, SHARES)
def test_team_that_uses_more_never_precedes(one, other, fair):
    if one <= other:
        assert team_precedence(one, fair) <= team_precedence(other, fair)


def test_teams_without_any_use_are_alike():
    assert team_precedence(0.0, 0.0) == Precedence.UNDER_SHARE
