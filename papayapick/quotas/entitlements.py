"""Which jobs are owed to their teams, by the rate that the configuration sets.

Load pattern: one team sends several times its usual load. Served in the order of
arrival, its jobs would delay those of all other teams. What a team sends beyond its
rate is therefore served last, from room that no other job wants.
"""

__all__ = ["Entitlements"]


class _Bucket:
    """Tokens of one team; the time is given by the caller."""

    __slots__ = ("_slack_jobs", "_tokens", "_updated_at", "_window_seconds", "rate")

    def __init__(self, rate, window_seconds, slack_jobs):
        self._window_seconds = window_seconds
        self._slack_jobs = slack_jobs
        self.rate = rate
        self._tokens = self._burst
        self._updated_at = None

    @property
    def _burst(self):
        return max(1.0, self.rate * self._window_seconds + self._slack_jobs)

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
    window_seconds : float
        Time over which the rate is averaged: jobs of a small team within its rate are
        often closer together than its mean.
    slack_jobs : int, optional
        Jobs that a team may send beyond what its rate allows in this time.

    Examples
    --------
    >>> from papayapick.quotas import Team
    >>> entitlements = Entitlements(window_seconds=1.0)
    >>> entitlements.set_teams([Team("accounts", jobs_per_second=2)])
    >>> [entitlements.is_owed("accounts", 100.0) for _ in range(3)]
    [True, True, False]
    >>> entitlements.is_owed("accounts", 100.5)
    True
    """

    __slots__ = ("_buckets", "_slack_jobs", "_window_seconds")

    def __init__(self, window_seconds, slack_jobs=0):
        self._window_seconds = window_seconds
        self._slack_jobs = slack_jobs
        self._buckets = {}

    @classmethod
    def from_settings(cls, settings):
        """Build it with the tolerance that the platform's settings give.

        Parameters
        ----------
        settings : PlatformSettings
        """
        return cls(settings.rate_window_seconds, settings.rate_slack_jobs)

    def set_teams(self, teams):
        """Set the rates of the teams of a configuration; tokens are kept."""
        buckets = {}
        for team in teams:
            bucket = self._buckets.get(team.name)
            if bucket is None:
                bucket = _Bucket(
                    team.jobs_per_second, self._window_seconds, self._slack_jobs
                )
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
