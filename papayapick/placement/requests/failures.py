"""Distinguish jobs that fail on every host from hosts on which every job fails."""

import threading

__all__ = ["FailureTracker"]

# Number of jobs that must fail on a host before it is put into quarantine.
_JOBS_PER_HOST = 3
# Number of hosts on which a job must fail to be itself considered the cause.
_HOSTS_PER_JOB = 3
_MAX_QUARANTINED_SHARE = 0.1
_MIN_QUARANTINE_SECONDS = 60.0
_MAX_QUARANTINE_SECONDS = 3600.0


class _Suspect:
    """Jobs that failed on a host since its last success, and its quarantine."""

    __slots__ = ("jobs", "quarantine_seconds", "quarantined_until")

    def __init__(self):
        self.jobs = set()
        self.quarantine_seconds = 0.0
        self.quarantined_until = None


class FailureTracker:
    """Quarantine hosts on which several jobs fail, and track where each job failed.

    A failure counts against a host only while its job has failed on no other host:
    a job that cannot run would otherwise put one host after the other into
    quarantine. The duration of a quarantine doubles with each relapse. After it,
    the first failure puts the host back into quarantine, and the first success
    clears its record.

    Parameters
    ----------
    ledger : HostLedger
    share : float
        Maximum share of all hosts in quarantine at once; at least one host.
    """

    __slots__ = (
        "_failed",
        "_ledger",
        "_lock",
        "_quarantined",
        "_refused",
        "_share",
        "_suspects",
    )

    def __init__(self, ledger, share=_MAX_QUARANTINED_SHARE):
        self._ledger = ledger
        self._share = share
        self._suspects = {}
        self._quarantined = set()
        self._failed = {}
        self._refused = {}
        self._lock = threading.Lock()

    @property
    def quarantined(self):
        """Return the names of the hosts in quarantine."""
        with self._lock:
            return set(self._quarantined)

    def hosts_to_avoid(self, job):
        """Return the hosts on which a job failed or that did not start it."""
        with self._lock:
            failed = self._failed.get(job, set())
            return frozenset(failed | self._refused.get(job, set()))

    def fails_everywhere(self, job):
        """Return whether a job failed on enough hosts to be itself the cause."""
        limit = min(_HOSTS_PER_JOB, len(self._ledger.names))
        return len(self._failed.get(job, ())) >= max(1, limit)

    def note_failure(self, host, job, now):
        """Record that a member of a job failed on a host.

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
        """Record that a host refused the start of a job or did not answer."""
        with self._lock:
            self._refused.setdefault(job, set()).add(host)
            self._suspect(host, job, now)

    def note_success(self, host):
        """Clear the record of a host on which a job has completed."""
        with self._lock:
            self._suspects.pop(host, None)
            self._readmit(host)

    def forget(self, job):
        """Delete the record of a job that has ended."""
        with self._lock:
            self._failed.pop(job, None)
            self._refused.pop(job, None)

    def readmit_due(self, now):
        """Readmit the hosts whose quarantine has expired."""
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
        # Where many hosts fail at once, the cause is more likely one that they share.
        limit = max(1, int(self._share * len(self._ledger.names)))
        if host in self._quarantined or len(self._quarantined) >= limit:
            return
        doubled = max(_MIN_QUARANTINE_SECONDS, 2 * suspect.quarantine_seconds)
        suspect.quarantine_seconds = min(_MAX_QUARANTINE_SECONDS, doubled)
        suspect.quarantined_until = now + suspect.quarantine_seconds
        self._quarantined.add(host)
        self._ledger.set_quarantined(host, True)

    def _readmit(self, host):
        if host in self._quarantined:
            self._quarantined.discard(host)
            if host in self._ledger:
                self._ledger.set_quarantined(host, False)
