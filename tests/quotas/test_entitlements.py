"""Rates of teams: which jobs are owed, and that other jobs are served last."""

import pytest

from papayapick.jobs import Step
from papayapick.ledger import Amounts
from papayapick.placement.release.preemption import may_preempt
from papayapick.pool.records.journal import JOBS_TABLE
from papayapick.quotas import Entitlements, Team, TeamDirectory
from tests.pool.owners import host_with_two_workers, owner_of, place, report
from tests.pool.test_team_maxima import CellConfiguration, JobDocument

TASK = Amounts(1000, 10)


def entitlements_of(rate):
    found = Entitlements(window_seconds=1.0)
    found.set_teams([Team("accounts", jobs_per_second=rate)])
    return found


def owed(entitlements, times):
    return [entitlements.is_owed("accounts", time) for time in times]


def test_jobs_within_the_rate_are_owed():
    assert all(owed(entitlements_of(2), [number / 2 for number in range(20)]))


def test_jobs_beyond_the_rate_are_not():
    found = owed(entitlements_of(2), [number / 8 for number in range(80)])
    assert sum(found) == pytest.approx(2 * 10, abs=2)


def test_clocks_that_differ_add_no_jobs():
    """Guards against twice the rate, as two hosts accept jobs in turn."""
    times = [number / 8 + 5 * (number % 2) for number in range(80)]
    assert sum(owed(entitlements_of(2), times)) <= 2 * (10 + 5) + 2


def test_small_team_within_its_rate_may_send_several_jobs_at_once():
    """Guards against jobs of small teams that wait behind all others.

    A team of one job a second sends two within a tenth of a second every now and then.
    """
    found = Entitlements(window_seconds=5.0)
    found.set_teams([Team("accounts", jobs_per_second=1)])
    assert owed(found, [0.0, 0.05, 0.1, 4.0, 4.1]) == [True] * 5


def test_slack_is_allowed_beyond_the_rate():
    found = Entitlements(window_seconds=5.0, slack_jobs=20)
    found.set_teams([Team("accounts", jobs_per_second=1)])
    assert sum(owed(found, [0.0] * 40)) == 25


def test_jobs_without_a_team_are_owed():
    assert entitlements_of(0.1).is_owed("", 0.0)
    assert entitlements_of(0.1).is_owed("removed", 0.0)


def test_version_that_changes_the_rate_keeps_what_was_used():
    found = entitlements_of(1)
    assert owed(found, [0.0, 0.0]) == [True, False]
    found.set_teams([Team("accounts", jobs_per_second=4)])
    assert owed(found, [0.0, 0.25]) == [False, True]


@pytest.fixture
def owner():
    host = host_with_two_workers()
    teams = [Team("hot", jobs_per_second=0.4), Team("calm", jobs_per_second=0.4)]
    host.configuration.current = CellConfiguration(1, [], 1000, TeamDirectory(teams))
    store(host, range(10), "hot", 0.0)
    store(host, range(10, 12), "calm", 0.9)
    owner = owner_of(host)
    for worker in ("w1", "w2"):
        report(owner, worker)
    return owner


def store(host, numbers, team, accepted_at, **step):
    for number in numbers:
        identifier = f"{number:016x}"
        document = JobDocument(
            identifier,
            "q",
            "pool",
            "t",
            [Step(1, TASK, **step)],
            accepted_at + number / 100,
            team=team,
        )
        host.put(JOBS_TABLE, f"pool/{number % 8}", identifier, document.as_record())


def test_team_that_sends_much_delays_no_other(owner):
    """Guards against a burst of one team that fills the pool before others' jobs."""
    first = [int(run.key.job, 16) for run in place(owner)]
    assert sorted(first[:4]) == [0, 1, 10, 11]
    assert len(first) == 8


def test_new_owner_finds_the_same_jobs_within_the_rate(owner):
    def beyond(found):
        return [j.identifier for j in found.job_registry.jobs() if not j.is_owed]

    assert sorted(beyond(owner_of(owner.host))) == sorted(beyond(owner))
    assert len(beyond(owner)) == 8


def test_lasting_jobs_keep_their_priority(owner):
    store(owner.host, [20], "hot", 0.0, is_lasting=True)
    job = owner_of(owner.host).job_registry.get(f"{20:016x}")
    assert (job.is_owed, job.priority) == (False, job.queue.priority)


def test_job_beyond_the_rate_preempts_no_other(owner):
    job = next(j for j in owner.job_registry.jobs() if not j.is_owed)
    step = job.steps()[0]
    assert may_preempt(step, owner.now() + 10)
    assert job.priority > max(j.queue.priority for j in owner.job_registry.jobs())


def hot_team(rate=2, window=1.0):
    """Return the entitlements of a team that has just used up what is owed to it."""
    found = Entitlements(window)
    found.set_teams([Team("accounts", jobs_per_second=rate), Team("idle")])
    while found.is_owed("accounts", 50.0):
        pass
    return found


def test_team_beyond_its_rate_is_named_with_the_time_until_a_job_is_owed():
    found = hot_team()
    assert found.beyond_rate(900.0, 20) == {"accounts": pytest.approx(0.5)}
    assert found.beyond_rate(900.2, 20) == {"accounts": pytest.approx(0.3)}
    assert found.beyond_rate(900.5, 20) == {}
    assert found.is_owed("accounts", 50.5)


def test_team_is_owed_again_though_the_clock_of_its_host_is_ahead():
    """Guards against refusing all jobs of a team for as long as the clocks differ.

    No refused job is counted, so nothing else would tell the owner of the time.
    """
    found = hot_team()
    assert found.beyond_rate(10.0, 20)
    assert not found.beyond_rate(10.6, 20)


def test_team_to_which_nothing_is_owed_is_never_owed_again():
    found = Entitlements(1.0)
    found.set_teams([Team("accounts")])
    found.is_owed("accounts", 1.0)
    assert found.beyond_rate(2.0, 20) == {"accounts": float("inf")}


def test_named_teams_are_bounded():
    found = Entitlements(1.0)
    found.set_teams([Team(f"t{number}", jobs_per_second=0.1) for number in range(30)])
    for number in range(30):
        found.is_owed(f"t{number}", 1.0)
    assert len(found.beyond_rate(2.0, 20)) == 20
