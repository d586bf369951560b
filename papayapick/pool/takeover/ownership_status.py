"""Track whether an owner may still act for its pool or should be replaced."""

__all__ = ["CONFIRMATION_VALID_SECONDS", "OwnershipStatus"]

# An owner whose ownership was not confirmed for this long sends no orders. Leases last
# longer, so that a short pause does not end the running tasks.
CONFIRMATION_VALID_SECONDS = 2.0
# Shortly after its process has started, an owner gives way to a host that is larger by
# this factor: the first host to start is not always the most suitable. Later on, the
# largest host is the first to notice that an owner failed.
_LARGER_FACTOR = 1.5
_STARTUP_SECONDS = 10.0
# The other hosts have answered a heartbeat within this time.
_PEER_DISCOVERY_SECONDS = 1.0
# If another host had an answer from the store at least this long after this host lost
# it, then the store is not down for all: hosts notice an outage within tenths of a
# second of each other.
_STORE_MARGIN_SECONDS = 0.4
# Each heartbeat says whether this owner gives way. Finding that out goes over all
# hosts, which among hundreds of them was most of the work of a heartbeat, so that it is
# then found out for the heartbeats of this time together.
_MAX_HOSTS_EACH_TIME = 40
_FOUND_VALID_SECONDS = 0.1


class OwnershipStatus:
    """Track when this host's ownership of a pool was last confirmed.

    Parameters
    ----------
    host : EntryHost

    Attributes
    ----------
    is_leaving : bool
        Whether the owner is shutting down and asks for a successor.
    """

    __slots__ = (
        "_confirmed_at",
        "_found_at",
        "_host",
        "_is_found_worse",
        "_since",
        "is_leaving",
    )

    def __init__(self, host):
        self._host = host
        self._confirmed_at = self._since = host.clock.monotonic()
        self._found_at = float("-inf")
        self._is_found_worse = False
        self.is_leaving = False

    @property
    def confirmed_at(self):
        """Return the monotonic time at which ownership was last confirmed."""
        return self._confirmed_at

    def is_confirmed(self):
        """Return whether ownership was confirmed recently enough to send orders.

        A process that was suspended or partitioned may have been replaced without
        noticing. Workers that the new owner has reached refuse its orders. For the
        other workers the new owner waits, and this bound makes that wait sufficient.
        """
        age = self._host.clock.monotonic() - self._confirmed_at
        return age < CONFIRMATION_VALID_SECONDS

    def invalidate(self):
        """Send no more orders until ownership is confirmed again."""
        self._confirmed_at = float("-inf")

    def note_peer_answer(self, peer, asked_at):
        """Count a peer that knows of no newer owner as a confirmation.

        A peer that recently had an answer from the store confirms the ownership as
        well as the store itself. While the store is down for all hosts, the owner
        continues if most hosts answer: then no other host can take over either.

        Parameters
        ----------
        peer : Peer
        asked_at : float
            Monotonic time at which the answered heartbeat was sent.
        """
        if peer.store_age < CONFIRMATION_VALID_SECONDS:
            self.note_confirmed(asked_at - peer.store_age)
        elif self.is_store_down_for_all():
            self.note_confirmed(asked_at)

    def note_confirmed(self, asked_at):
        """Record that this host owned the pool at a monotonic time."""
        self._confirmed_at = max(self._confirmed_at, asked_at)

    def gives_way(self):
        """Return whether another host should take over.

        An owner without access to the store can neither see new jobs nor record the
        ends of tasks, so a host that has access should replace it. This owner
        continues until then: if the store is down for all, no host can do better.
        """
        if self.is_leaving:
            return True
        now = self._host.clock.monotonic()
        is_large = len(self._host.peers.all()) > _MAX_HOSTS_EACH_TIME
        if not is_large or now - self._found_at >= _FOUND_VALID_SECONDS:
            self._found_at = now
            self._is_found_worse = self._is_worse_than_a_peer()
        return self._is_found_worse

    def _is_worse_than_a_peer(self):
        if self._has_larger_peer():
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

        Applies only shortly after this process has started. Hosts that can't agree on
        the most suitable one then hand the pool back and forth for seconds at most.
        """
        now = self._host.clock.monotonic()
        has_met_peers = now - self._since > _PEER_DISCOVERY_SECONDS
        if not has_met_peers or now - self._host.started_at > _STARTUP_SECONDS:
            return False
        settings = self._host.settings
        return any(
            peer.region == settings.region
            and peer.processors > _LARGER_FACTOR * settings.processors
            and peer.store_age < CONFIRMATION_VALID_SECONDS
            for peer in self._host.peers.live()
        )

    def is_store_down_for_all(self):
        """Return whether most hosts answer and none of them can reach the store."""
        peers, live = self._host.peers.all(), self._host.peers.live()
        if 2 * (len(live) + 1) <= len(peers) + 1:
            return False
        return not any(peer.store_age < CONFIRMATION_VALID_SECONDS for peer in live)
