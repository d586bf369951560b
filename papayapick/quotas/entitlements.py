"""Which jobs are owed to their teams, by the rate that the configuration sets.

Load pattern: one team sends several times its usual load. Served in the order of
arrival, its jobs would delay those of all other teams. What a team sends beyond its
rate is therefore served last, from room that no other job wants.
"""

import heapq
import math

__all__ = ["Entitlements"]


class _Bucket:
    """Tokens of one team, which return with its rate; the time is an argument.

    Parameters
    ----------
    rate : float
        Jobs a second.
    window_seconds : float
    slack_jobs : int
    """

    __slots__ = ("_slack_jobs", "_tokens", "_window_seconds", "rate", "updated_at")

    def __init__(self, rate, window_seconds, slack_jobs):
        self._window_seconds = window_seconds
        self._slack_jobs = slack_jobs
        self.rate = rate
        self._tokens = self._burst
        self.updated_at = None

    @property
    def _burst(self):
        return max(1.0, self.rate * self._window_seconds + self._slack_jobs)

    def take(self, at):
        """Take a token if there is one; return whether there was."""
        if self.updated_at is not None and at > self.updated_at:
            self._tokens += (at - self.updated_at) * self.rate
            self._tokens = min(self._tokens, self._burst)
        # Hosts whose clocks differ accept jobs in turn: an earlier time adds nothing.
        self.updated_at = max(at, self.updated_at or at)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def seconds_until_owed(self):
        """Return the time from ``updated_at`` until a job is owed; may be infinite."""
        lacking = max(0.0, 1 - self._tokens)
        if not lacking:
            return 0.0
        return lacking / self.rate if self.rate > 0 else math.inf


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

    __slots__ = ("_counts", "_seen", "_slack_jobs", "_window_seconds")

    def __init__(self, window_seconds, slack_jobs=0):
        self._window_seconds = window_seconds
        self._slack_jobs = slack_jobs
        self._counts = {}
        # For each team, when its count was last updated, and the monotonic time at
        # which that was first seen.
        self._seen = {}

    @classmethod
    def from_settings(cls, settings):
        """Build it with the tolerance that the platform's settings give.

        Parameters
        ----------
        settings : PlatformSettings
        """
        return cls(settings.rate_window_seconds, settings.rate_slack_jobs)

    def set_teams(self, teams):
        """Set the rates of the teams of a configuration; what was counted is kept."""
        counts = {}
        for team in teams:
            count = self._counts.get(team.name)
            if count is None:
                count = _Bucket(
                    team.jobs_per_second, self._window_seconds, self._slack_jobs
                )
            count.rate = team.jobs_per_second
            counts[team.name] = count
        self._counts = counts
        self._seen = {name: self._seen[name] for name in counts if name in self._seen}

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
        count = self._counts.get(team)
        return count is None or count.take(accepted_at)

    def beyond_rate(self, now, limit):
        """Return the teams whose next job is not owed, with the seconds until one is.

        The clocks of the hosts that accept jobs may differ by seconds from this one's.
        A team whose last job bears a time ahead of this clock would stay beyond its
        rate until the clock has caught up, and all its jobs would be refused meanwhile.
        So the time since its last job is measured here.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        limit : int
            Number of teams at most; those that wait longest are kept.

        Returns
        -------
        dict of str to float
            By team; infinite for a team to which nothing is owed.
        """
        found = []
        for team, count in self._counts.items():
            if count.updated_at is None:
                continue
            updated_at, seen_at = self._seen.get(team, (None, now))
            if updated_at != count.updated_at:
                self._seen[team] = (count.updated_at, now)
                seen_at = now
            seconds = count.seconds_until_owed() - (now - seen_at)
            if seconds > 0:
                found.append((seconds, team))
        return {team: seconds for seconds, team in heapq.nlargest(limit, found)}
