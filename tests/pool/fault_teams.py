"""Maxima of teams in the simulation of faults, and whether they are exceeded."""

from papayapick.jobs.queues import CellConfiguration
from papayapick.quotas import Team, TeamDirectory

__all__ = ["TeamMaxima"]

TEAMS = ("accounts", "leasing")


class TeamMaxima:
    """Put maxima into force in turn, and record what teams have running beyond them.

    Parameters
    ----------
    simulation : FaultSimulation
    host : WritableHost
    maxima : list of int
        Processors that each team may have running, in millicores; the first is in
        force.

    Attributes
    ----------
    excesses : list of tuple
        Teams that had more running after a start than allowed, and the millicores.
    """

    def __init__(self, simulation, host, maxima):
        self._simulation = simulation
        self._host = host
        self._maxima = list(maxima)
        self._teams = {}
        self.excesses = []

    def assign(self, identifier):
        """Draw the team of a job; return its name."""
        team = self._teams[identifier] = self._simulation.rng.choice(TEAMS)
        return team

    def configure(self, version, owner):
        """Put the next of the maxima into force for both teams."""
        self._maxima = self._maxima[1:] + self._maxima[:1]
        teams = [Team(name, maximum={"processors": self._maxima[0]}) for name in TEAMS]
        self._host.configuration.current = CellConfiguration(
            version, [], 1000, TeamDirectory(teams)
        )
        if owner is not None:
            owner.refresh_queues()

    def check(self, key, workers):
        """Record if the team of a task that has started has too much running."""
        team = self._teams[key.job]
        used = sum(
            self._simulation.step_of(key).demand.processors
            for worker in workers
            for (key, _), run in worker.runs.items()
            if self._teams[key.job] == team and not run.is_stray
        )
        # An order that was sent before the maximum was lowered may be carried out
        # later.
        allowed = max(self._maxima[0], self._maxima[-1])
        if used > allowed + self._one_task_beyond(key, allowed):
            self.excesses.append((team, used))

    def _one_task_beyond(self, key, maximum):
        """Return what a team may have running beyond its maximum at a start.

        Only where the task, or its gang, exceeds the maximum by itself, and then one
        task: it would never run otherwise.
        """
        step = self._simulation.step_of(key)
        demand = step.demand.processors
        return demand if demand * step.members_at_once > maximum else 0
