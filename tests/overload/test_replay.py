"""Ways of admission on the same loads, with the way of before as the baseline."""

import pytest

from tests.overload.loads import REBUILD, RUSH
from tests.overload.replay import (
    ByBounds,
    ByCount,
    ByWork,
    Replay,
    Spell,
    arrivals_of,
)

# The load of a customer: 341 cores of urgent work and 1,930 of patient work, on a pool
# of which tasks that do not fit leave some cores free.
RATES = {RUSH: 9.7, REBUILD: 2.7}
SECONDS = 22.0
CORES = 2700.0
HOT = ("t0", "t1", "t2")
WAYS = {"count": ByCount, "work": ByWork, "bounds": ByBounds}


def full_pool(seconds):
    return CORES


def shrinking_pool(seconds):
    """Return the cores of a pool that loses a third of its workers."""
    return CORES if seconds < 6 else CORES * 2 / 3


LOADS = {
    "wide burst": ([Spell(4, 10, 2.3, REBUILD)], lambda seconds: 2300.0),
    "three hot teams": ([Spell(2, 16, 6.0, teams=HOT)], full_pool),
    "all, and a third of the pool away": (
        [Spell(4, 10, 2.3, REBUILD), Spell(2, 16, 6.0, teams=HOT)],
        shrinking_pool,
    ),
}


class Outcome:
    """What became of the jobs of one replay."""

    def __init__(self, replay, without_refusals):
        arrivals = replay.arrivals
        self.useful = sum(one.is_useful for one in arrivals) / len(arrivals)
        work = sum(_work(one) for one in arrivals)
        self.useful_work = sum(_work(one) for one in arrivals if one.is_useful) / work
        self.in_vain = sum(one.is_in_vain for one in arrivals)
        refused = [one for one in arrivals if one.job is None]
        self.refused = len(refused)
        # Refused at least once and of no use, but of use where nobody is refused. Those
        # that were owed there, as another job of their team is here, count apart.
        wrongly = [
            without_refusals[one.document.identifier]
            for one in arrivals
            if one.refusals and not one.is_useful
        ]
        wrongly = [one for one in wrongly if one.is_useful]
        self.displaced = sum(one.job.is_owed for one in wrongly)
        self.wrongly = len(wrongly) - self.displaced
        self.missed = replay.forecaster.missed

    def __repr__(self):
        return (
            f"useful {self.useful:.3f} of jobs, {self.useful_work:.3f} of work; "
            f"in vain {self.in_vain}, refused {self.refused}, wrongly {self.wrongly}, "
            f"for another of the team {self.displaced}, "
            f"promises missed {self.missed}"
        )


def _work(arrival):
    return sum(
        step.tasks * step.demand.processors * step.estimate_seconds
        for step in arrival.document.steps
    )


def outcomes_of(name, seed):
    spells, cores = LOADS[name]
    found, unrefused = {}, None
    for way, kind in WAYS.items():
        arrivals = arrivals_of(seed, SECONDS, RATES, spells)
        replay = Replay(kind(), arrivals, cores, RATES, seed).run(SECONDS)
        if unrefused is None:
            unrefused = {one.document.identifier: one for one in arrivals}
        found[way] = Outcome(replay, unrefused)
        print(name, seed, way, found[way])
    return found


@pytest.mark.parametrize("name", LOADS)
@pytest.mark.parametrize("seed", [2])
def test_bounds_lose_nothing_against_the_count_of_jobs(name, seed):
    """Guards against refusals that cost more than the waiting they save.

    What comes while a surplus waits is a guess, so one job may be refused that would
    have been of use.
    """
    found = outcomes_of(name, seed)
    before, now = found["count"], found["bounds"]
    assert before.refused == 0
    assert now.wrongly <= 1
    assert now.useful >= max(before.useful, found["work"].useful)
    assert now.useful_work >= before.useful_work
    assert now.in_vain <= before.in_vain


def test_callers_of_hot_teams_are_told_early():
    """Guards against jobs beyond their teams' rate that wait in vain."""
    found = outcomes_of("all, and a third of the pool away", 3)
    assert found["bounds"].in_vain < 0.7 * found["count"].in_vain
    assert found["bounds"].wrongly == 0
