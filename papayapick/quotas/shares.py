"""Usage of the teams' quotas in one shard."""

import math

from papayapick.ledger import Amounts

__all__ = ["QuotaTracker"]

_ZERO = Amounts()


class QuotaTracker:
    """Track the usage of each team, to decide whether work borrows beyond its quota.

    A shard enforces its share of each quota, as jobs are spread evenly over the shards
    by their identifiers. Work without a team, or of a team that is not in the bundle,
    has no quota and never borrows.

    Examples
    --------
    >>> tracker = QuotaTracker()
    >>> tracker.set_quotas("digest-1", {"accounts": {"processors": 4000}}, shards=2)
    >>> tracker.add_usage("accounts", Amounts(1000), 1)
    >>> tracker.would_borrow("accounts", Amounts(1000), 1)
    False
    >>> tracker.would_borrow("accounts", Amounts(1000), 2)
    True
    """

    __slots__ = ("_digest", "_quotas", "_used")

    def __init__(self):
        self._digest = None
        self._quotas = {}
        self._used = {}

    @property
    def has_quotas(self):
        """Return whether the bundle sets a quota for any team."""
        return bool(self._quotas)

    def set_quotas(self, digest, teams, shards):
        """Set the quotas from a bundle.

        Parameters
        ----------
        digest : str
            Digest of the bundle. A call with the present digest has no effect.
        teams : dict of str to dict
            Amounts by team; a missing amount is not limited.
        shards : int
            Number of shards among which each quota is divided.
        """
        if digest == self._digest:
            return
        self._digest = digest
        self._quotas = {
            name: _quota_of_shard(amounts, shards) for name, amounts in teams.items()
        }

    def add_usage(self, team, demand, members):
        """Add the reserved amounts of a job to the usage of its team."""
        self._add(team, demand, members)

    def remove_usage(self, team, demand, members):
        """Subtract the amounts of a job from the usage of its team."""
        self._add(team, demand, -members)

    def used(self, team):
        """Return the amounts that a team's jobs have reserved."""
        return self._used.get(team, _ZERO)

    def would_borrow(self, team, demand, members):
        """Return whether further members would exceed the team's quota."""
        quota = self._quotas.get(team)
        if quota is None:
            return False
        used = self.used(team)
        return (
            used.processors + demand.processors * members > quota[0]
            or used.memory + demand.memory * members > quota[1]
            or used.accelerators + demand.accelerators * members > quota[2]
        )

    def fitting(self, team, demand, wanted):
        """Return how many of the wanted members fit into the team's quota.

        Parameters
        ----------
        team : str
        demand : Amounts
            Of one member.
        wanted : int

        Returns
        -------
        int
            0 to ``wanted``.
        """
        quota = self._quotas.get(team)
        if quota is None:
            return wanted
        used = self.used(team)
        for limit, taken, each in (
            (quota[0], used.processors, demand.processors),
            (quota[1], used.memory, demand.memory),
            (quota[2], used.accelerators, demand.accelerators),
        ):
            if each and limit < math.inf:
                wanted = min(wanted, int((limit - taken) // each))
        return max(0, wanted)

    def is_over_quota(self, team, returned=_ZERO):
        """Return whether the usage of a team exceeds its quota.

        Parameters
        ----------
        team : str
        returned : Amounts
            Part of the usage that is about to be released.
        """
        return self.would_borrow(team, _ZERO - returned, 1)

    def ratio(self, team, planned=0):
        """Return the usage of a team relative to its quota, by its dominant resource.

        Parameters
        ----------
        team : str
        planned : int
            Processors that are about to be added, in millicores.

        Returns
        -------
        float
            0 if the team has no quota.
        """
        quota = self._quotas.get(team)
        if quota is None:
            return 0.0
        used = self.used(team)
        return max(
            _ratio(used.processors + planned, quota[0]),
            _ratio(used.memory, quota[1]),
            _ratio(used.accelerators, quota[2]),
        )

    def _add(self, team, demand, members):
        used = self.used(team)
        self._used[team] = Amounts(
            used.processors + demand.processors * members,
            used.memory + demand.memory * members,
            used.accelerators + demand.accelerators * members,
        )


def _quota_of_shard(amounts, shards):
    return tuple(
        amounts[name] / shards if name in amounts else math.inf
        for name in ("processors", "memory", "accelerators")
    )


def _ratio(used, quota):
    if not used:
        return 0.0
    return used / quota if quota else math.inf
