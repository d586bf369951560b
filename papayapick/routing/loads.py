"""Correct the loads in heartbeats by the later requests of this process."""

import threading

__all__ = ["Candidate", "LoadView"]

_UNREACHABLE_SECONDS = 1.0
_REFUSAL_SECONDS = 0.5
# More slots than any shard has, so that the shard counts as full.
_ALL_SLOTS = 1 << 20


class Candidate:
    """Hold one shard whose placer may grant a slot for a call.

    Parameters
    ----------
    tier : int
        0 for the own zone, 1 for the own region, 2 for a shard across the link.
    shard : str
    peer : Peer
    room : int
        Free slots less waiting requests, as estimated by this process.
    is_refusing : bool
        Whether its placer refused a request for the service within the last half
        second.
    """

    __slots__ = ("is_refusing", "peer", "room", "shard", "tier")

    def __init__(self, tier, shard, peer, room, is_refusing=False):
        self.tier = tier
        self.shard = shard
        self.peer = peer
        self.room = room
        self.is_refusing = is_refusing


class _LocalChanges:
    __slots__ = ("heartbeat_at", "refusing_until", "slots_taken")

    def __init__(self, heartbeat_at):
        self.heartbeat_at = heartbeat_at
        self.slots_taken = 0
        self.refusing_until = 0.0


class LoadView:
    """Track the grants, releases and refusals since the last heartbeat of each shard.

    The loads in heartbeats are up to two seconds old. Without a correction, all calls
    within that time would go to the shard that had the most free slots.

    Parameters
    ----------
    clock : Clock
    """

    __slots__ = ("_changes", "_clock", "_lock", "_unreachable_until")

    def __init__(self, clock):
        self._clock = clock
        self._changes = {}
        self._unreachable_until = {}
        self._lock = threading.Lock()

    def candidate(self, tier, shard, peer, load):
        """Return a candidate with the corrected load of a shard.

        Parameters
        ----------
        tier : int
        shard : str
        peer : Peer
        load : ServiceLoad
            Load in the last heartbeat.

        Returns
        -------
        Candidate
        """
        now = self._clock.monotonic()
        with self._lock:
            changes = self._changes_of(shard, load.service, peer.last_heartbeat_at)
            room = load.free_slots - load.waiting - changes.slots_taken
            return Candidate(tier, shard, peer, room, changes.refusing_until > now)

    def note_grant(self, shard, service, heartbeat_at):
        """Count a slot that was granted."""
        with self._lock:
            self._changes_of(shard, service, heartbeat_at).slots_taken += 1

    def note_release(self, shard, service):
        """Count a slot that was released."""
        with self._lock:
            changes = self._changes.get((shard, service))
            if changes is not None:
                changes.slots_taken -= 1

    def note_refusal(self, candidate, service):
        """Treat a shard as full until its next heartbeat."""
        now = self._clock.monotonic()
        with self._lock:
            changes = self._changes_of(
                candidate.shard, service, candidate.peer.last_heartbeat_at
            )
            changes.slots_taken += max(0, candidate.room)
            changes.refusing_until = now + _REFUSAL_SECONDS

    def note_stale(self, shard, service):
        """Treat a shard as full after a backend server refused its slot as stale.

        Another placer owns the shard, but its heartbeat has not arrived yet. Until
        then, the former owner may grant further slots that are invalid.
        """
        with self._lock:
            changes = self._changes.get((shard, service))
            if changes is not None:
                changes.slots_taken += _ALL_SLOTS
                changes.refusing_until = self._clock.monotonic() + _REFUSAL_SECONDS

    def note_unreachable(self, peer):
        """Send no request to a peer for a second."""
        with self._lock:
            self._unreachable_until[peer.name] = (
                self._clock.monotonic() + _UNREACHABLE_SECONDS
            )

    def note_answer(self, peer):
        """Treat a peer as reachable again."""
        if peer.name in self._unreachable_until:
            with self._lock:
                self._unreachable_until.pop(peer.name, None)

    def is_unreachable(self, peer):
        """Return whether a peer failed to answer within the last second."""
        return self._unreachable_until.get(peer.name, 0.0) > self._clock.monotonic()

    def may_try(self, peer):
        """Return whether a request may be sent to a peer.

        After a failure, one request per second tries the peer again. If all did, every
        thread could wait for the same failed peer, and none would be left for the
        reachable ones.
        """
        with self._lock:
            until = self._unreachable_until.get(peer.name)
            if until is None:
                return True
            now = self._clock.monotonic()
            if until > now:
                return False
            self._unreachable_until[peer.name] = now + _UNREACHABLE_SECONDS
            return True

    def _changes_of(self, shard, service, heartbeat_at):
        changes = self._changes.get((shard, service))
        if changes is None:
            changes = self._changes[(shard, service)] = _LocalChanges(heartbeat_at)
        if changes.heartbeat_at != heartbeat_at:
            # The load in the newer heartbeat includes these changes.
            changes.heartbeat_at = heartbeat_at
            changes.slots_taken = 0
        return changes
