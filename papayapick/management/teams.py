"""Sum up what the teams of the users' platform use, as recorded in the store."""

import collections

from papayapick.jobs.state import JobStatus
from papayapick.ledger import Amounts

__all__ = ["TeamView", "sum_up_teams"]


class TeamView:
    """Hold what one team uses, and its jobs that have not ended.

    Attributes
    ----------
    team : Team
    used : Amounts
        What its tasks use that were started and are not done, as recorded. A run that
        ended a moment ago may still be included.
    jobs : collections.Counter
        Number of its jobs by status; jobs that have ended are left out.
    """

    __slots__ = ("jobs", "team", "used")

    def __init__(self, team):
        self.team = team
        self.used = Amounts()
        self.jobs = collections.Counter()

    def add(self, job):
        """Add a job that has not ended.

        Parameters
        ----------
        job : JobView
        """
        self.jobs[job.status] += 1
        for step in job.steps:
            demand = job.document.steps[step.number].demand
            for _ in step.places:
                self.used = self.used + demand

    @property
    def share(self):
        """Return the largest share of its maximum that it uses; 0 without one."""
        return max(
            (
                getattr(self.used, name) / amount
                for name, amount in self.team.maximum.items()
            ),
            default=0.0,
        )


def sum_up_teams(teams, jobs):
    """Return the TeamView of each team, as a list in the order of the teams.

    Parameters
    ----------
    teams : TeamDirectory
    jobs : iterable of JobView
    """
    views = {team.name: TeamView(team) for team in teams}
    for job in jobs:
        view = views.get(job.document.team)
        if view is not None and job.status not in JobStatus.FINAL:
            view.add(job)
    return list(views.values())
