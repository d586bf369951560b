"""Usage of the teams' maxima in a pool, counted by what workers may be running.

Guards against a team that has more running than its maximum. A run counts from the
decision to start it until its end is certain: a start without an answer, a run that is
being stopped and one on a worker that is cut off may still run. After a takeover,
tasks that an earlier owner may have started count as well until it is known where they
run.
"""

import collections
import heapq

from papayapick.quotas.shares import QuotaTracker

__all__ = ["TeamUsage", "fits_maximum", "is_within_maximum"]

# A team that uses less than this share of its maximum is never starved.
_STARVED_SHARE = 0.5


class TeamUsage:
    """Decide how many more tasks of a team may be started.

    Examples
    --------
    >>> from papayapick.ledger import Amounts
    >>> usage = TeamUsage()
    >>> usage.set_maxima(1, {"accounts": {"processors": 4000}})
    >>> usage.add("accounts", Amounts(3000))
    >>> usage.admissible("accounts", Amounts(1000), 5)
    1
    >>> usage.remove("accounts", Amounts(3000))
    >>> usage.admissible("accounts", Amounts(1000), 5)
    4
    """

    __slots__ = ("_maxima", "_tracker", "_unknown_runs", "freed")

    def __init__(self):
        self._tracker = QuotaTracker()
        self._maxima = {}
        # Number of runs by team whose demand is not known.
        self._unknown_runs = collections.Counter()
        # Teams that may start more than when the caller last emptied this set.
        self.freed = set()

    @property
    def has_maxima(self):
        """Return whether any team has a maximum."""
        return self._tracker.has_quotas

    def set_maxima(self, version, maxima):
        """Set the maxima of a configuration.

        A team that the configuration no longer has keeps its last maximum, as its jobs
        go on. What runs is never stopped: a team above a maximum that was lowered
        starts nothing until enough of its runs have ended.

        Parameters
        ----------
        version : int
            Version of the configuration.
        maxima : dict of str to dict
            Amounts by team; a missing amount is not limited.
        """
        self._maxima = {**self._maxima, **maxima}
        self._tracker.set_quotas(version, self._maxima, shards=1)
        self.freed.update(maxima)

    def used(self, team):
        """Return the amounts that runs of a team may be using."""
        return self._tracker.used(team)

    def ratio(self, team):
        """Return the usage of a team relative to its maximum, by dominant resource."""
        return self._tracker.ratio(team)

    def largest_shares(self, count):
        """Return the shares of their maxima that teams use, the largest ones.

        Parameters
        ----------
        count : int
            Number of teams at most.

        Returns
        -------
        dict of str to float
            By team.
        """
        shares = ((self.ratio(team), team) for team in self._maxima)
        return {team: share for share, team in heapq.nlargest(count, shares)}

    def add(self, team, demand):
        """Add a run, or a task that may be running.

        Parameters
        ----------
        team : str
            Empty if the job belongs to no team.
        demand : Amounts or None
            None if it is not known. The team starts nothing then until the run ends.
        """
        if not team:
            return
        if demand is None:
            self._unknown_runs[team] += 1
        else:
            self._tracker.add_usage(team, demand, 1)

    def remove(self, team, demand):
        """Remove a run whose end is certain; see ``add``."""
        if not team:
            return
        if demand is None:
            self._unknown_runs[team] -= 1
        else:
            self._tracker.remove_usage(team, demand, 1)
        self.freed.add(team)

    def admissible(self, team, demand, wanted):
        """Return how many of the wanted tasks of a team may be started now.

        Parameters
        ----------
        team : str
            Empty if the job belongs to no team.
        demand : Amounts
            Of one task.
        wanted : int
        """
        if not team or team not in self._maxima:
            return wanted
        if self._unknown_runs[team]:
            return 0
        fitting = self._tracker.fitting(team, demand, wanted)
        if not fitting and wanted == 1 and self._may_exceed(team, demand, 1):
            return 1
        return fitting

    def _may_exceed(self, team, demand, members):
        """Return whether a team may exceed its maximum by a part of one task.

        Guards against an accepted job that waits for ever, since its maximum was
        lowered below one task or gang of it, while lasting tasks run. No second one
        follows before the team uses less than the share again.
        """
        maximum = self._maxima[team]
        if is_within_maximum(demand, members, maximum):
            # It fits once enough of the team has ended.
            return False
        is_one_beyond = is_within_maximum(demand, members - 1, maximum)
        return is_one_beyond and self._tracker.ratio(team) < _STARVED_SHARE

    def admits(self, step_state):
        """Return whether a waiting task of a step, or its whole gang, may be started.

        Parameters
        ----------
        step_state : StepState
        """
        team = step_state.job.document.team
        if not team:
            return True
        demand, members = step_state.step.demand, step_state.step.members_at_once
        fitting = self.admissible(team, demand, members)
        if fitting == members:
            return True
        # All but one of a gang fit beside what runs.
        is_one_short = 0 < fitting == members - 1
        return is_one_short and self._may_exceed(team, demand, members)


def fits_maximum(step, maximum):
    """Return whether a task of a step, or its whole gang, fits into a maximum.

    Parameters
    ----------
    step : Step
    maximum : dict of str to int
        Amounts; a missing one is not limited.
    """
    return is_within_maximum(step.demand, step.members_at_once, maximum)


def is_within_maximum(demand, members, maximum):
    """Return whether some tasks together fit into a maximum.

    Parameters
    ----------
    demand : Amounts
        Of one task.
    members : int
    maximum : dict of str to int
        Amounts; a missing one is not limited.
    """
    return all(
        getattr(demand, name) * members <= amount for name, amount in maximum.items()
    )
