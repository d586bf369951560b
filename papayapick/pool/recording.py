"""Decide whether a start may be ordered before its record is durable."""

import threading

__all__ = ["RecordingMode"]

# A commit takes 7 to 10 ms as a rule. Past this, waiting for it costs callers more
# than a takeover that has to wait for silent workers.
_SLOW_SECONDS = 0.06
_QUICK_COMMITS = 5
# What was ordered without a record has been recorded this long after the last.
_AFTER_SECONDS = 1.0
# A host that was not heard for so long does not trust its word any more.
RECORDS_TRUSTED_SECONDS = 2.5
_SILENT_SECONDS = 3.0


class RecordingMode:
    """Hold whether starts wait for their records.

    Normally they do: then a successor knows which worker each task was given to,
    and waits only for those that are silent. While the store is slow or answers
    nobody, that wait would stop all work, so starts leave at once; but a successor
    must know, else it would place a task that already runs on a silent worker. So
    each host is told first, and a host that was not told lately trusts no record.

    Parameters
    ----------
    clock : Clock
    """

    __slots__ = (
        "_clock",
        "_gone",
        "_is_lost",
        "_is_slow",
        "_lock",
        "_quick",
        "_since",
        "_told",
        "_used_at",
    )

    def __init__(self, clock):
        self._clock = clock
        self._since = clock.monotonic()
        self._lock = threading.Lock()
        self._is_slow = False
        self._is_lost = False
        self._quick = 0
        # Hosts that have taken the word that records may be missing.
        self._told = set()
        # Hosts whose process has ended. The next one there trusts no record before it
        # was told.
        self._gone = set()
        self._used_at = None

    def note_commit(self, seconds):
        """Take in how long a commit took."""
        with self._lock:
            self._is_lost = False
            if seconds > _SLOW_SECONDS:
                self._is_slow, self._quick = True, 0
                return
            self._quick += 1
            if self._quick >= _QUICK_COMMITS:
                self._is_slow = False

    def note_failure(self):
        """Take in a commit that had no answer: the next may have none either."""
        with self._lock:
            self._is_slow, self._quick = True, 0

    def note_outage(self, is_lost):
        """Take in whether the store answers nobody."""
        with self._lock:
            self._is_lost = is_lost

    @property
    def is_announced(self):
        """Return whether hosts are to be told that records may be missing."""
        with self._lock:
            return self._is_wanted() or self._was_used_lately()

    def _is_wanted(self):
        return self._is_slow or self._is_lost

    def _was_used_lately(self):
        if self._used_at is None:
            return False
        return self._clock.monotonic() - self._used_at < _AFTER_SECONDS

    def note_heartbeat_answer(self, host, was_announced):
        """Note that a host has answered a beat with or without the announcement."""
        with self._lock:
            self._gone.discard(host)
            if was_announced:
                self._told.add(host)
            else:
                self._told.discard(host)

    def note_host_exit(self, host):
        """Note that the process of a host has ended: it need not be told.

        Waited for until it is silent for long, each host that restarts would have all
        starts wait for their record while the store is slow.
        """
        with self._lock:
            self._told.discard(host)
            self._gone.add(host)

    def may_send(self, peers):
        """Return whether a start may leave now without a record.

        Parameters
        ----------
        peers : list of Peer
            All other hosts, with ``answered_at`` in monotonic seconds.
        """
        now = self._clock.monotonic()
        with self._lock:
            if not self._is_wanted():
                return False
            need_not_be_told = self._told | self._gone
            if any(
                now - self._heard_at(peer) < _SILENT_SECONDS
                for peer in peers
                if peer.name not in need_not_be_told
            ):
                return False
            self._used_at = now
            return True

    def _heard_at(self, peer):
        """Return the time from which on a host's silence counts.

        One that has not answered this owner yet may have heard the owner before it
        just now, and trusts that one's word: that it never answered here is no silence.
        """
        return max(peer.answered_at, self._since)
