"""Count what the teams use of their quotas in one shard."""

import math

from papayapick.ledger import Amounts

__all__ = ["QuotaTracker"]

_NOTHING = Amounts()


class QuotaTracker:
    """Tell whose work is within its team's quota and whose borrows.

    A shard enforces its share of each quota, as jobs are spread evenly over the
    shards by their ids. Work without a team, or of a team that the bundle does not
    name, has no quota and never borrows.

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
        """Return whether the bundle names any team."""
        return bool(self._quotas)

    def set_quotas(self, digest, teams, shards):
        """Take the quotas of a bundle.

        Parameters
        ----------
        digest : str
            Of the bundle; the same one again changes nothing.
        teams : dict of str to dict
            Amounts by team; what is missing is not limited.
        shards : int
            Among which each quota is divided.
        """
        if digest == self._digest:
            return
        self._digest = digest
        self._quotas = {name: _share(found, shards) for name, found in teams.items()}

    def add_usage(self, team, demand, members):
        """Count a job that holds room."""
        self._add(team, demand, members)

    def remove_usage(self, team, demand, members):
        """Count a job no longer."""
        self._add(team, demand, -members)

    def used(self, team):
        """Return what a team's jobs hold."""
        return self._used.get(team, _NOTHING)

    def would_borrow(self, team, demand, members):
        """Return whether so many members more would be over the quota."""
        quota = self._quotas.get(team)
        if quota is None:
            return False
        used = self.used(team)
        return (
            used.processors + demand.processors * members > quota[0]
            or used.memory + demand.memory * members > quota[1]
            or used.accelerators + demand.accelerators * members > quota[2]
        )

    def is_over_quota(self, team, returned=_NOTHING):
        """Return whether a team holds more than its quota.

        Parameters
        ----------
        team : str
        returned : Amounts
            What it gives back already.
        """
        return self.would_borrow(team, _NOTHING - returned, 1)

    def ratio(self, team, planned=0):
        """Return what a team uses of its quota, by its most used amount.

        Parameters
        ----------
        team : str
        planned : int
            Processors about to be added, in millicores.
        """
        quota = self._quotas.get(team)
        if quota is None:
            return 0.0
        used = self.used(team)
        return max(
            _part(used.processors + planned, quota[0]),
            _part(used.memory, quota[1]),
            _part(used.accelerators, quota[2]),
        )

    def _add(self, team, demand, members):
        used = self.used(team)
        self._used[team] = Amounts(
            used.processors + demand.processors * members,
            used.memory + demand.memory * members,
            used.accelerators + demand.accelerators * members,
        )


def _share(found, shards):
    return tuple(
        found[name] / shards if name in found else math.inf
        for name in ("processors", "memory", "accelerators")
    )


def _part(used, quota):
    if not used:
        return 0.0
    return used / quota if quota else math.inf
