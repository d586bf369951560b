"""Ask placers for slots, nearest first."""

from papayapick.ownership.assignments import zone_of
from papayapick.routing.exceptions import GrantExpired, NoRoute
from papayapick.wire import WireError
from papayapick.wire.messages import Release, SlotRequest

__all__ = ["Grant", "SlotClient"]

OWN_ZONE, OWN_REGION, ACROSS_LINK = range(3)
_ANSWER_SECONDS = 0.25


class Grant:
    """Hold a slot and the moment after which it must not be used.

    Parameters
    ----------
    granted : SlotGrant
    client : PeerClient
        Of the placer that gave it.
    usable_until : float
        Monotonic seconds, counted from when the slot was asked for.
    """

    __slots__ = ("client", "granted", "usable_until")

    def __init__(self, granted, client, usable_until):
        self.granted = granted
        self.client = client
        self.usable_until = usable_until

    def check_usable(self, now):
        """Raise GrantExpired once the placer may have given the slot away.

        A gateway frozen between the grant and the send wakes with a slot that
        a new owner of the shard knows nothing of; the age of the request for
        it, by the gateway's own clock, shows that.
        """
        if now > self.usable_until:
            raise GrantExpired(instance=self.granted.instance)


class SlotClient:
    """Get slots from the placers and give them back.

    Parameters
    ----------
    peers : Peers
    settings : Settings
    clock : Clock
    generator : random.Random
    zones : callable
        Returns the region of each zone.
    """

    __slots__ = ("_clock", "_generator", "_peers", "_settings", "_zones")

    def __init__(self, peers, settings, clock, generator, zones):
        self._peers = peers
        self._settings = settings
        self._clock = clock
        self._generator = generator
        self._zones = zones

    def acquire(
        self, policy, request_id, wait_seconds, caller="", avoid=(), traceparent=""
    ):
        """Get a slot of a service.

        Parameters
        ----------
        policy : ServicePolicy
        request_id : str
        wait_seconds : float
            How long the request may wait for a slot.
        caller : str
        avoid : sequence of str
            Instances that failed this request before.
        traceparent : str

        Returns
        -------
        Grant

        Raises
        ------
        NoRoute, WireError
            Nothing ran.
        """
        shard, peer = self._choose(policy)
        asked = self._clock.monotonic()
        wanted = SlotRequest(
            shard=shard,
            service=policy.name,
            request_id=request_id,
            wait_milliseconds=max(0, int(wait_seconds * 1000)),
            run_milliseconds=int(policy.run_seconds * 1000),
            caller=caller,
            avoid=list(avoid),
        )
        granted = peer.client.ask(wanted, wait_seconds + _ANSWER_SECONDS, traceparent)
        # Counted from the asking for a slot given at once, and from the end of
        # the longest wait otherwise: the placer keeps it taken for longer.
        usable_until = asked + wait_seconds + self._settings.grant_seconds
        return Grant(granted, peer.client, usable_until)

    def release(self, grant, outcome, run_seconds):
        """Give a slot back; a lost release is found by the placer's sweep."""
        granted = grant.granted
        try:
            grant.client.tell(
                Release(
                    shard=granted.shard,
                    epoch=granted.epoch,
                    grant_id=granted.grant_id,
                    outcome=outcome,
                    run_microseconds=int(run_seconds * 1e6),
                )
            )
        except WireError:
            return

    def _choose(self, policy):
        tiers = ([], [], [])
        for shard, (peer, summary) in self._peers.serving().items():
            for load in summary.loads:
                if load.service == policy.name:
                    tier = self._tier(shard)
                    tiers[tier].append((load.free_slots - load.waiting, shard, peer))
        if not policy.across_link:
            tiers[ACROSS_LINK].clear()
        for tier in tiers:
            with_room = [found for found in tier if found[0] > 0]
            if with_room:
                return self._draw(with_room)
        for tier in tiers:
            if tier:
                return self._draw(tier)
        raise NoRoute(service=policy.name)

    def _draw(self, found):
        first = self._generator.choice(found)
        second = self._generator.choice(found)
        best = max(first, second, key=lambda one: one[0])
        return best[1], best[2]

    def _tier(self, shard):
        zone = zone_of(shard)
        if zone == self._settings.availability_zone:
            return OWN_ZONE
        region = self._zones().get(zone)
        return OWN_REGION if region == self._settings.region else ACROSS_LINK
