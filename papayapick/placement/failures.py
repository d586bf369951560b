"""Tell jobs that fail everywhere from workers that fail everything."""

import threading

__all__ = ["FailureTracker"]

_JOBS_PER_HOST = 3
_HOSTS_PER_JOB = 3
_SHARE = 0.1
_FIRST_SECONDS = 60.0
_LONGEST_SECONDS = 3600.0


class _Suspect:
    """Hold what failed on a host since something last succeeded there."""

    __slots__ = ("quarantine_seconds", "jobs", "quarantined_until")

    def __init__(self):
        self.jobs = set()
        self.quarantine_seconds = 0.0
        self.quarantined_until = None


class FailureTracker:
    """Set workers aside that fail different jobs, and count where a job failed.

    A failure speaks against the worker only while its job has failed nowhere
    else: a job that can't run would otherwise take one worker after the other
    out of the cell. A worker set aside is let in again after a time that doubles
    with each relapse; then its first failure sets it aside and its first success
    clears it.

    Parameters
    ----------
    ledger : HostLedger
    share : float
        Most workers set aside at once, as a share of all; one at least.
    """

    __slots__ = (
        "_quarantined",
        "_failed",
        "_ledger",
        "_lock",
        "_refused",
        "_share",
        "_suspects",
    )

    def __init__(self, ledger, share=_SHARE):
        self._ledger = ledger
        self._share = share
        self._suspects = {}
        self._quarantined = set()
        self._failed = {}
        self._refused = {}
        self._lock = threading.Lock()

    @property
    def quarantined(self):
        """Return the names of the workers set aside."""
        with self._lock:
            return set(self._quarantined)

    def hosts_to_avoid(self, job):
        """Return the hosts to avoid for a job: it failed there or was refused."""
        with self._lock:
            failed = self._failed.get(job, set())
            return frozenset(failed | self._refused.get(job, set()))

    def fails_everywhere(self, job):
        """Return whether a job failed on so many hosts that it is to blame."""
        limit = min(_HOSTS_PER_JOB, len(self._ledger.names))
        return len(self._failed.get(job, ())) >= max(1, limit)

    def note_failure(self, host, job, now):
        """Count a member that failed on a host.

        Parameters
        ----------
        host, job : str
        now : float
        """
        with self._lock:
            failed = self._failed.setdefault(job, set())
            failed.add(host)
            if len(failed) > 1:
                self._clear_job(job)
            else:
                self._suspect(host, job, now)

    def note_refusal(self, host, job, now):
        """Count a start that a host refused or did not answer."""
        with self._lock:
            self._refused.setdefault(job, set()).add(host)
            self._suspect(host, job, now)

    def note_success(self, host):
        """Clear a host: something ran there to its end."""
        with self._lock:
            self._suspects.pop(host, None)
            self._readmit(host)

    def forget(self, job):
        """Drop a job that has ended."""
        with self._lock:
            self._failed.pop(job, None)
            self._refused.pop(job, None)

    def readmit_due(self, now):
        """Let workers in again whose time is over."""
        with self._lock:
            for host in list(self._quarantined):
                if self._suspects[host].quarantined_until <= now:
                    self._readmit(host)

    def _clear_job(self, job):
        for suspect in self._suspects.values():
            suspect.jobs.discard(job)

    def _suspect(self, host, job, now):
        suspect = self._suspects.setdefault(host, _Suspect())
        suspect.jobs.add(job)
        is_relapse = (
            suspect.quarantined_until is not None and host not in self._quarantined
        )
        if not is_relapse and len(suspect.jobs) < _JOBS_PER_HOST:
            return
        # Many failing at once is more likely the fault of what they share.
        limit = max(1, int(self._share * len(self._ledger.names)))
        if host in self._quarantined or len(self._quarantined) >= limit:
            return
        doubled = max(_FIRST_SECONDS, 2 * suspect.quarantine_seconds)
        suspect.quarantine_seconds = min(_LONGEST_SECONDS, doubled)
        suspect.quarantined_until = now + suspect.quarantine_seconds
        self._quarantined.add(host)
        self._ledger.set_aside(host, True)

    def _readmit(self, host):
        if host in self._quarantined:
            self._quarantined.discard(host)
            if host in self._ledger:
                self._ledger.set_aside(host, False)
