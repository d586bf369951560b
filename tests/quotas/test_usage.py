"""Usage of teams' maxima: what counts, and how much more may be started."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from papayapick.jobs import JobDocument, JobState, Queue, Step
from papayapick.ledger import Amounts
from papayapick.quotas import Team, TeamDirectory, TeamUsage, key_digest
from papayapick.quotas.usage import fits_maximum

TASK = Amounts(1000, 100, 1)


def usage_with(**maximum):
    usage = TeamUsage()
    usage.set_maxima(1, {"accounts": maximum})
    return usage


@pytest.mark.parametrize(
    ("maximum", "expected"),
    [
        ({"processors": 2999}, 2),
        ({"memory": 100}, 1),
        ({"accelerators": 5}, 5),
        ({"processors": 4000, "memory": 350}, 3),
        ({}, 9),
    ],
)
def test_scarcest_amount_limits_the_tasks(maximum, expected):
    assert usage_with(**maximum).admissible("accounts", TASK, 9) == expected


def test_team_that_is_not_configured_and_work_without_a_team_are_not_limited():
    usage = usage_with(processors=1000)
    assert usage.admissible("leasing", TASK, 9) == 9
    assert usage.admissible("", TASK, 9) == 9


def test_lowered_maximum_admits_nothing_until_enough_has_ended():
    usage = usage_with(processors=5000)
    for _ in range(5):
        usage.add("accounts", TASK)
    usage.set_maxima(2, {"accounts": {"processors": 3000}})
    admitted = []
    for _ in range(4):
        admitted.append(usage.admissible("accounts", TASK, 9))
        usage.remove("accounts", TASK)
    assert admitted == [0, 0, 0, 1]


def test_raised_maximum_is_used_at_once():
    usage = usage_with(processors=1000)
    usage.add("accounts", TASK)
    usage.freed.clear()
    usage.set_maxima(2, {"accounts": {"processors": 3000}})
    assert usage.freed == {"accounts"}
    assert usage.admissible("accounts", TASK, 9) == 2


def test_team_that_a_version_drops_keeps_its_maximum():
    """Guards against jobs of a removed team that take the whole pool."""
    usage = usage_with(processors=2000)
    usage.set_maxima(2, {})
    assert usage.admissible("accounts", TASK, 9) == 2


def test_run_of_unknown_demand_admits_nothing():
    """Guards against starts beside a run of a job whose steps were not read."""
    usage = usage_with(processors=9000)
    usage.add("accounts", None)
    assert usage.admissible("accounts", TASK, 9) == 0
    usage.remove("accounts", None)
    assert usage.admissible("accounts", TASK, 9) == 9


def test_task_larger_than_a_lowered_maximum_runs_alone():
    """Guards against an accepted job that waits for ever."""
    usage = usage_with(processors=500)
    assert usage.admissible("accounts", TASK, 1) == 1
    usage.add("accounts", TASK)
    assert usage.admissible("accounts", TASK, 1) == 0


def test_only_one_task_is_run_beyond_a_maximum_of_memory():
    """Guards against tasks that need no processors and pass as if nothing ran."""
    usage = usage_with(memory=50)
    task = Amounts(0, 100)
    assert usage.admissible("accounts", task, 1) == 1
    usage.add("accounts", task)
    assert usage.admissible("accounts", task, 1) == 0


@pytest.mark.parametrize("scarce", ["processors", "memory", "accelerators"])
@pytest.mark.parametrize(
    ("used", "admitted"), [(0, 1), (700, 1), (1499, 1), (1500, 0), (3000, 0), (9000, 0)]
)
def test_task_larger_than_a_lowered_maximum_starts_below_half_of_it(
    scarce, used, admitted
):
    """Guards against a task that waits as long as its team runs anything at all."""
    usage = usage_with(**{scarce: 3000})
    usage.add("accounts", Amounts(**{scarce: used}))
    large = Amounts(**{scarce: 4000})
    assert usage.admissible("accounts", large, 1) == admitted
    if admitted:
        usage.add("accounts", large)
        assert usage.admissible("accounts", large, 1) == 0
        assert usage.admissible("accounts", Amounts(**{scarce: 1}), 1) == 0


def test_task_that_fits_into_the_maximum_waits_until_it_fits():
    """Guards against a team that exceeds its maximum though it need not."""
    usage = usage_with(processors=3000)
    usage.add("accounts", Amounts(1400))
    assert usage.admissible("accounts", Amounts(2000), 1) == 0


@pytest.mark.parametrize(
    ("members", "used", "is_admitted"),
    [(2, 0, True), (2, 900, True), (2, 1500, False), (3, 0, False), (1, 0, True)],
)
def test_gang_may_exceed_a_lowered_maximum_by_one_member(members, used, is_admitted):
    """Guards against a gang that waits for ever, as its members fit only one by one."""
    usage = usage_with(processors=3000)
    usage.add("accounts", Amounts(used))
    gang = Step(members, Amounts(2000), is_gang=True)
    document = JobDocument("1", "q", "p", "t", [gang], 0.0, team="accounts")
    queue = Queue("q", "h", "/q/", "p", 0, 2, 1.5, 0.5, 3.0, False, None)
    step_state = JobState(document, queue, 0.0).open_occurrence(0)[0]
    assert usage.admits(step_state) == is_admitted


def test_gang_must_fit_as_a_whole():
    gang = Step(4, TASK, is_gang=True)
    assert fits_maximum(gang, {"processors": 4000})
    assert not fits_maximum(gang, {"processors": 3999})
    assert fits_maximum(Step(4, TASK), {"processors": 1000})


@given(
    maximum=st.integers(0, 20_000),
    demands=st.lists(st.integers(1, 3000), max_size=40),
    ends=st.lists(st.booleans(), max_size=40),
)
def test_admitted_tasks_never_exceed_the_maximum(maximum, demands, ends):
    usage = usage_with(processors=maximum)
    running = []
    for demand, ends_one in zip(demands, ends, strict=False):
        amounts = Amounts(demand, 0)
        count = usage.admissible("accounts", amounts, 3)
        for _ in range(count):
            usage.add("accounts", amounts)
            running.append(amounts)
        total = sum(one.processors for one in running)
        assert total <= maximum
        assert count == 3 or total + demand > maximum
        assert usage.used("accounts").processors == total
        if ends_one and running:
            usage.remove("accounts", running.pop(0))


def test_keys_are_found_by_their_digest():
    digests = [key_digest("k1"), key_digest("k2")]
    teams = TeamDirectory([Team("accounts", digests), Team("leasing")])
    assert [teams.find_by_key(key).name for key in ("k1", "k2")] == ["accounts"] * 2
    assert teams.find_by_key("k") is None
    assert teams.find_by_key("\udcff") is None
    assert "k1" not in repr(vars_of(teams))


def vars_of(teams):
    return [(team.name, team.key_digests) for team in teams]
