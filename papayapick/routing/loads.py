"""Correct the loads of heartbeats by what this process did since."""

import threading

__all__ = ["Candidate", "LoadView"]

_SILENCE_SECONDS = 1.0
_REFUSAL_SECONDS = 0.5
_VOID = 1 << 20


class Candidate:
    """Hold one shard that may serve a call.

    Parameters
    ----------
    tier : int
        Own zone, own region or across the link; the lower the nearer.
    shard : str
    peer : Peer
    room : int
        Free slots less waiting requests, as far as this process knows.
    is_refusing : bool
        Refused a request of the service a moment ago.
    """

    __slots__ = ("is_refusing", "peer", "room", "shard", "tier")

    def __init__(self, tier, shard, peer, room, is_refusing=False):
        self.tier = tier
        self.shard = shard
        self.peer = peer
        self.room = room
        self.is_refusing = is_refusing


class _Own:
    __slots__ = ("change", "heard_at", "refusing_until")

    def __init__(self, heard_at):
        self.heard_at = heard_at
        self.change = 0
        self.refusing_until = 0.0


class LoadView:
    """Keep the grants, releases and refusals since the last heartbeat.

    The loads that heartbeats tell are up to two seconds old. Without this, all
    calls of that time go to the shard that looked emptiest.

    Parameters
    ----------
    clock : Clock
    """

    __slots__ = ("_clock", "_lock", "_own", "_silent")

    def __init__(self, clock):
        self._clock = clock
        self._own = {}
        self._silent = {}
        self._lock = threading.Lock()

    def candidate(self, tier, shard, peer, load):
        """Return a shard with its load corrected.

        Parameters
        ----------
        tier : int
        shard : str
        peer : Peer
        load : ServiceLoad

        Returns
        -------
        Candidate
        """
        now = self._clock.monotonic()
        with self._lock:
            own = self._of(shard, load.service, peer.last_heartbeat_at)
            room = load.free_slots - load.waiting - own.change
            return Candidate(tier, shard, peer, room, own.refusing_until > now)

    def note_grant(self, shard, service, heard_at):
        """Count a slot that was had."""
        with self._lock:
            self._of(shard, service, heard_at).change += 1

    def note_release(self, shard, service):
        """Count a slot that was given back."""
        with self._lock:
            own = self._own.get((shard, service))
            if own is not None:
                own.change -= 1

    def note_refusal(self, candidate, service):
        """Take a shard for full until its next heartbeat."""
        now = self._clock.monotonic()
        with self._lock:
            own = self._of(candidate.shard, service, candidate.peer.last_heartbeat_at)
            own.change += max(0, candidate.room)
            own.refusing_until = now + _REFUSAL_SECONDS

    def note_stale(self, shard, service):
        """Take a shard for full whose slot a backend server refused as stale.

        Another placer owns it now, and the heartbeat that tells so is still
        to come; until then its former owner gives out slots that are void.
        """
        with self._lock:
            own = self._own.get((shard, service))
            if own is not None:
                own.change += _VOID
                own.refusing_until = self._clock.monotonic() + _REFUSAL_SECONDS

    def note_silence(self, peer):
        """Send nothing to a peer for a while."""
        with self._lock:
            self._silent[peer.name] = self._clock.monotonic() + _SILENCE_SECONDS

    def note_answer(self, peer):
        """Take a peer for reachable again."""
        if peer.name in self._silent:
            with self._lock:
                self._silent.pop(peer.name, None)

    def is_silent(self, peer):
        """Return whether a peer was silent a moment ago."""
        return self._silent.get(peer.name, 0.0) > self._clock.monotonic()

    def may_try(self, peer):
        """Return whether a request may be sent to a peer.

        After a silence one request at a time tries it again: all threads that
        waited for the same dead peer would leave none for the living.
        """
        with self._lock:
            until = self._silent.get(peer.name)
            if until is None:
                return True
            now = self._clock.monotonic()
            if until > now:
                return False
            self._silent[peer.name] = now + _SILENCE_SECONDS
            return True

    def _of(self, shard, service, heard_at):
        own = self._own.get((shard, service))
        if own is None:
            own = self._own[(shard, service)] = _Own(heard_at)
        if own.heard_at != heard_at:
            # The newer heartbeat has them in its count.
            own.heard_at = heard_at
            own.change = 0
        return own
