"""Judge whether an owner may still decide, or should be replaced."""

__all__ = ["CONFIRMATION_VALID_SECONDS", "OwnershipStatus"]

# An owner that had no word for so long whether it still owns the pool orders
# nothing. Leases last longer, so what runs is not lost by a short pause.
CONFIRMATION_VALID_SECONDS = 2.0
# An owner that has just started gives way to a host that is so much larger: the first
# one to start is not the best, and later the largest is first to notice.
_LARGER_FACTOR = 1.5
_FIRST_SECONDS = 10.0
# The others have answered a beat by then.
_ACQUAINTED_SECONDS = 1.0
# Another host had an answer so long after this one had none: then the store is not
# down for all. Hosts notice an outage within tenths of a second of each other.
_STORE_MARGIN_SECONDS = 0.4


class OwnershipStatus:
    """Hold the last word that a pool is still its owner's.

    Parameters
    ----------
    host : EntryHost

    Attributes
    ----------
    is_leaving : bool
        The owner was told to stop, and asks for a successor.
    """

    __slots__ = ("_confirmed_at", "_host", "_since", "is_leaving")

    def __init__(self, host):
        self._host = host
        self._confirmed_at = self._since = host.clock.monotonic()
        self.is_leaving = False

    @property
    def confirmed_at(self):
        """Return the monotonic time at which the pool was last known to be its own."""
        return self._confirmed_at

    def is_confirmed(self):
        """Return whether the last word is recent enough to act upon.

        A process that was suspended or cut off may have been replaced without
        knowing. Workers that the new owner reached refuse it; for the others the
        new owner waits, and this bound makes that wait long enough.
        """
        age = self._host.clock.monotonic() - self._confirmed_at
        return age < CONFIRMATION_VALID_SECONDS

    def invalidate(self):
        """Act no more until there is a new word."""
        self._confirmed_at = float("-inf")

    def note_peer_answer(self, peer, asked_at):
        """Take in that a peer knows of no newer owner.

        A host that has lately had word from the store confirms this owner as well
        as the store itself would. While the store answers nobody, the owner goes on
        if most hosts are heard: then nobody can take over either.
        """
        if peer.store_age < CONFIRMATION_VALID_SECONDS:
            self.note_confirmed(asked_at - peer.store_age)
        elif self.is_store_down_for_all():
            self.note_confirmed(asked_at)

    def note_confirmed(self, asked_at):
        """Note that the pool was still this owner's at a time."""
        self._confirmed_at = max(self._confirmed_at, asked_at)

    def gives_way(self):
        """Return whether another host should take over.

        An owner that the store does not answer can neither see new jobs nor record
        ends. While other hosts are answered, one of them does better. This owner
        goes on until it is replaced: if the store is down for all, nobody else can
        do more.
        """
        if self.is_leaving or self._has_larger_peer():
            return True
        lost_at = self._host.store_health.lost_at()
        if lost_at is None:
            return False
        return any(
            peer.answered_at - peer.store_age > lost_at + _STORE_MARGIN_SECONDS
            for peer in self._host.peers.live()
        )

    def _has_larger_peer(self):
        """Return whether a much larger host of this region should own the pool.

        Only shortly after this process has started, so that hosts that can't agree on
        who is best hand the pool on for seconds only.
        """
        now = self._host.clock.monotonic()
        is_acquainted = now - self._since > _ACQUAINTED_SECONDS
        if not is_acquainted or now - self._host.started_at > _FIRST_SECONDS:
            return False
        settings = self._host.settings
        return any(
            peer.region == settings.region
            and peer.processors > _LARGER_FACTOR * settings.processors
            and peer.store_age < CONFIRMATION_VALID_SECONDS
            for peer in self._host.peers.live()
        )

    def is_store_down_for_all(self):
        """Return whether most hosts are heard, and none of them has the store."""
        peers, live = self._host.peers.all(), self._host.peers.live()
        if 2 * (len(live) + 1) <= len(peers) + 1:
            return False
        return not any(peer.store_age < CONFIRMATION_VALID_SECONDS for peer in live)
