"""Decide whether a start may be sent before its record is durable."""

import threading

__all__ = ["RecordingMode"]

# A commit usually takes 7 to 10 ms. If commits take longer than this, waiting for them
# costs callers more than a takeover that has to wait for silent workers.
_SLOW_SECONDS = 0.06
# Consecutive fast commits after which the store no longer counts as slow.
_FAST_COMMITS = 5
# Starts that were sent without a record have been recorded this long after the last.
_RECORDED_AFTER_SECONDS = 1.0
# A host that had no heartbeat from the owner for this long no longer trusts that the
# records are complete.
RECORDS_TRUSTED_SECONDS = 2.5
# A host that did not answer for this long trusts no record. Longer than
# RECORDS_TRUSTED_SECONDS, so that the host no longer trusts the records by then.
_SILENT_SECONDS = 3.0


class RecordingMode:
    """Hold whether starts wait until their records are durable.

    Normally they do, so that a successor knows on which worker each task was started
    and waits only for the silent ones among these. While the store is slow or
    unavailable, that would stop all work, and starts are sent without a record.
    A successor must know of that: it would otherwise place a task that already runs
    on a silent worker. Therefore the owner's heartbeats first announce to every host
    that records may be missing, and a host without a recent heartbeat trusts no record.

    Parameters
    ----------
    clock : Clock
    """

    __slots__ = (
        "_clock",
        "_exited",
        "_fast_commits",
        "_informed",
        "_is_slow",
        "_is_store_down",
        "_lock",
        "_since",
        "_used_at",
    )

    def __init__(self, clock):
        self._clock = clock
        self._since = clock.monotonic()
        self._lock = threading.Lock()
        self._is_slow = False
        self._is_store_down = False
        self._fast_commits = 0
        # Hosts that have acknowledged that records may be missing.
        self._informed = set()
        # Hosts whose process has exited. A new process there trusts no record before
        # its first heartbeat from the owner.
        self._exited = set()
        # Time of the last start that was sent without a record.
        self._used_at = None

    def note_commit(self, seconds):
        """Record the duration of a successful commit."""
        with self._lock:
            self._is_store_down = False
            if seconds > _SLOW_SECONDS:
                self._is_slow, self._fast_commits = True, 0
                return
            self._fast_commits += 1
            if self._fast_commits >= _FAST_COMMITS:
                self._is_slow = False

    def note_failure(self):
        """Treat the store as slow after a commit without an answer."""
        with self._lock:
            self._is_slow, self._fast_commits = True, 0

    def note_outage(self, is_store_down):
        """Record whether the store is unavailable to all hosts."""
        with self._lock:
            self._is_store_down = is_store_down

    @property
    def is_announced(self):
        """Return whether heartbeats must announce that records may be missing."""
        with self._lock:
            return self._is_wanted() or self._was_used_lately()

    def _is_wanted(self):
        return self._is_slow or self._is_store_down

    def _was_used_lately(self):
        if self._used_at is None:
            return False
        return self._clock.monotonic() - self._used_at < _RECORDED_AFTER_SECONDS

    def note_heartbeat_answer(self, host, was_announced):
        """Record that a host answered a heartbeat.

        Parameters
        ----------
        host : str
        was_announced : bool
            Whether the heartbeat announced that records may be missing.
        """
        with self._lock:
            self._exited.discard(host)
            if was_announced:
                self._informed.add(host)
            else:
                self._informed.discard(host)

    def note_host_exit(self, host):
        """Record that the process of a host has exited and need not be informed.

        If such a host were waited for until it counts as silent, each restart of a
        host would make all starts wait for their records while the store is slow.
        """
        with self._lock:
            self._informed.discard(host)
            self._exited.add(host)

    def may_send(self, peers):
        """Return whether a start may be sent now without a durable record.

        Parameters
        ----------
        peers : list of Peer
            All other hosts, with ``answered_at`` in monotonic seconds.
        """
        now = self._clock.monotonic()
        with self._lock:
            if not self._is_wanted():
                return False
            informed = self._informed | self._exited
            if any(
                now - self._last_answer_at(peer) < _SILENT_SECONDS
                for peer in peers
                if peer.name not in informed
            ):
                return False
            self._used_at = now
            return True

    def _last_answer_at(self, peer):
        """Return the time from which the silence of a host is counted.

        A host that has not answered this owner yet may have had a heartbeat from the
        previous owner a moment ago and trust its records. Its silence is therefore
        counted from the creation of this object at the earliest.
        """
        return max(peer.answered_at, self._since)
