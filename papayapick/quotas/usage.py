"""Usage of the teams' maxima in a pool, counted by what workers may be running.

Guards against a team that has more running than its maximum. A run counts from the
decision to start it until its end is certain: a start without an answer, a run that is
being stopped and one on a worker that is cut off may still run. After a takeover,
tasks that an earlier owner may have started count as well until it is known where they
run.
"""

import collections
import heapq

from papayapick.ledger import Amounts
from papayapick.quotas.shares import QuotaTracker

__all__ = ["TeamUsage", "fits_maximum"]


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
        if not fitting and wanted == 1 and self._tracker.used(team) == Amounts():
            # A maximum that was lowered below a single task would keep an accepted job
            # waiting for ever, so such a task is run alone.
            return 1
        return fitting

    def admits(self, step_state):
        """Return whether a waiting task of a step, or its whole gang, may be started.

        Parameters
        ----------
        step_state : StepState
        """
        team = step_state.job.document.team
        if not team:
            return True
        members = step_state.step.members_at_once
        return self.admissible(team, step_state.step.demand, members) == members


def fits_maximum(step, maximum):
    """Return whether a task of a step, or its whole gang, fits into a maximum.

    Parameters
    ----------
    step : Step
    maximum : dict of str to int
        Amounts; a missing one is not limited.
    """
    return all(
        getattr(step.demand, name) * step.members_at_once <= amount
        for name, amount in maximum.items()
    )
