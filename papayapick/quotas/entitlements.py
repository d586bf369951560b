"""Which jobs are owed to their teams, by the rate that the configuration sets.

Load pattern: one team sends several times its usual load. Served in the order of
arrival, its jobs would delay those of all other teams. What a team sends beyond its
rate is therefore served last, from room that no other job wants.
"""

__all__ = ["Entitlements"]

# Jobs that a team may send at once, as the seconds in which its rate allows as many.
# Arrivals of a small team within its rate are often closer together than its mean.
_BURST_SECONDS = 5.0


class _Bucket:
    """Tokens of one team; the time is given by the caller."""

    __slots__ = ("_burst_seconds", "_tokens", "_updated_at", "rate")

    def __init__(self, rate, burst_seconds):
        self._burst_seconds = burst_seconds
        self.rate = rate
        self._tokens = self._burst
        self._updated_at = None

    @property
    def _burst(self):
        return max(1.0, self.rate * self._burst_seconds)

    def take(self, at):
        """Take a token if there is one; return whether there was."""
        if self._updated_at is not None and at > self._updated_at:
            self._tokens += (at - self._updated_at) * self.rate
            self._tokens = min(self._tokens, self._burst)
        # Hosts whose clocks differ accept jobs in turn: an earlier time adds nothing.
        self._updated_at = max(at, self._updated_at or at)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class Entitlements:
    """Decide for each job in the order of acceptance whether it is owed to its team.

    Parameters
    ----------
    burst_seconds : float, optional
        Time over which the rate is averaged.

    Examples
    --------
    >>> from papayapick.quotas import Team
    >>> entitlements = Entitlements(burst_seconds=1.0)
    >>> entitlements.set_teams([Team("accounts", jobs_per_second=2)])
    >>> [entitlements.is_owed("accounts", 100.0) for _ in range(3)]
    [True, True, False]
    >>> entitlements.is_owed("accounts", 100.5)
    True
    """

    __slots__ = ("_buckets", "_burst_seconds")

    def __init__(self, burst_seconds=_BURST_SECONDS):
        self._burst_seconds = burst_seconds
        self._buckets = {}

    def set_teams(self, teams):
        """Set the rates of the teams of a configuration; tokens are kept."""
        buckets = {}
        for team in teams:
            bucket = self._buckets.get(team.name)
            if bucket is None:
                bucket = _Bucket(team.jobs_per_second, self._burst_seconds)
            bucket.rate = team.jobs_per_second
            buckets[team.name] = bucket
        self._buckets = buckets

    def is_owed(self, team, accepted_at):
        """Return whether a job is within its team's rate, and count it.

        Parameters
        ----------
        team : str
            Empty if the job belongs to no team; such jobs and those of teams that are
            not in the configuration have no rate, and are owed.
        accepted_at : float
            Unix seconds.
        """
        bucket = self._buckets.get(team)
        return bucket is None or bucket.take(accepted_at)
