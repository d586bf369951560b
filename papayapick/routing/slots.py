"""Ask placers for slots, nearest first."""

from concurrent.futures import TimeoutError as FutureTimeout

from papayapick.ownership.assignments import zone_of
from papayapick.routing.exceptions import (
    DeadlineOver,
    GrantExpired,
    NoRoute,
    PlacerSilent,
)
from papayapick.routing.loads import LoadView
from papayapick.wire import PeerRefused, WireError
from papayapick.wire.messages import Release, SlotRequest

__all__ = ["Grant", "SlotClient"]

OWN_ZONE, OWN_REGION, ACROSS_LINK = range(3)
_ANSWER_SECONDS = 0.25
_TRIES_WITH_ROOM = 3
_TRIES_TO_WAIT = 2
_UNUSED, _STALE = "unused", "stale"


class Grant:
    """Hold a slot and the moment after which it must not be used.

    Parameters
    ----------
    granted : SlotGrant
    client : PeerClient
        Of the placer that gave it.
    usable_until : float
        Monotonic seconds, counted from when the slot was asked for.
    service : str
    """

    __slots__ = ("client", "granted", "service", "usable_until")

    def __init__(self, granted, client, usable_until, service=""):
        self.granted = granted
        self.client = client
        self.usable_until = usable_until
        self.service = service

    def check_usable(self, now):
        """Raise GrantExpired once the placer may have given the slot away.

        A gateway frozen between the grant and the send wakes with a slot that
        a new owner of the shard knows nothing of; the age of the request for
        it, by the gateway's own clock, shows that.
        """
        if now > self.usable_until:
            raise GrantExpired(instance=self.granted.instance)


class _Call:
    """Hold what stays the same over the tries of one request for a slot."""

    __slots__ = ("avoid", "caller", "deadline", "policy", "request_id", "traceparent")

    def __init__(self, policy, request_id, deadline, caller, avoid, traceparent):
        self.policy = policy
        self.request_id = request_id
        self.deadline = deadline
        self.caller = caller
        self.avoid = avoid
        self.traceparent = traceparent


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

    __slots__ = ("_clock", "_generator", "_loads", "_peers", "_settings", "_zones")

    def __init__(self, peers, settings, clock, generator, zones):
        self._peers = peers
        self._settings = settings
        self._clock = clock
        self._generator = generator
        self._zones = zones
        self._loads = LoadView(clock)

    @classmethod
    def from_process(cls, process):
        """Build the client of a gateway or placer from its shared parts.

        Parameters
        ----------
        process : Process
        """
        return cls(
            process.peers,
            process.settings,
            process.clock,
            process.generator,
            lambda: process.watcher.bundle.zones(),
        )

    def acquire(
        self, policy, request_id, wait_seconds, caller="", avoid=(), traceparent=""
    ):
        """Get a slot of a service.

        Shards with room are asked first, nearest first, for a slot at once;
        only where none has one does the request wait at a shard. No shard is
        asked twice.

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
        RoutingError, PeerRefused
            Nothing ran.
        """
        deadline = self._clock.monotonic() + wait_seconds
        call = _Call(policy, request_id, deadline, caller, avoid, traceparent)
        candidates = self._candidates(policy)
        if not candidates:
            raise NoRoute(service=policy.name)
        grant, error = self._try_room(call, candidates)
        if grant is None:
            grant, error = self._try_to_wait(call, candidates, error)
        if grant is None:
            raise error or PlacerSilent(service=policy.name)
        return grant

    def release(self, grant, outcome, run_seconds):
        """Give a slot back; a lost release is found by the placer's sweep."""
        granted = grant.granted
        if outcome == _STALE:
            self._loads.note_stale(granted.shard, grant.service)
        else:
            self._loads.note_release(granted.shard, grant.service)
        self._tell_release(granted, grant.client, outcome, run_seconds)

    @staticmethod
    def _tell_release(granted, client, outcome, run_seconds):
        try:
            client.tell(
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

    def _try_room(self, call, candidates):
        """Ask shards with room for a slot at once; none of them lets it wait."""
        error = None
        for _ in range(_TRIES_WITH_ROOM):
            found = self._next_with_room(candidates)
            if found is None:
                break
            candidates.remove(found)
            grant, refusal = self._ask(call, found, 0.0)
            if grant is not None:
                return grant, None
            error = refusal or error
            if refusal is not None:
                # It may still let the request wait.
                found.room = 0
                candidates.append(found)
        return None, error

    def _try_to_wait(self, call, candidates, error):
        """Let the request wait at one shard; a full one sends it to the next."""
        candidates.sort(key=self._waiting_order)
        tries = 0
        for found in candidates:
            if tries == _TRIES_TO_WAIT:
                break
            rest = call.deadline - self._clock.monotonic()
            if rest <= 0:
                return None, error or DeadlineOver(service=call.policy.name)
            if not self._loads.may_try(found.peer):
                continue
            tries += 1
            grant, refusal = self._ask(call, found, rest)
            if grant is not None:
                return grant, None
            error = refusal or error
        return None, error

    def _ask(self, call, candidate, wait_seconds):
        """Ask one shard.

        Returns
        -------
        (Grant or None, PeerRefused or None)
            Neither where the placer is silent.
        """
        peer, name = candidate.peer, call.policy.name
        asked = self._clock.monotonic()
        wanted = SlotRequest(
            shard=candidate.shard,
            service=name,
            request_id=call.request_id,
            wait_milliseconds=int(wait_seconds * 1000),
            run_milliseconds=int(call.policy.run_seconds * 1000),
            caller=call.caller,
            avoid=list(call.avoid),
        )
        heard_at = peer.last_heartbeat_at
        try:
            granted = self._answer(peer.client, wanted, wait_seconds, call.traceparent)
        except PeerRefused as refusal:
            self._loads.note_answer(peer)
            self._loads.note_refusal(candidate, name)
            return None, refusal
        except WireError:
            self._loads.note_silence(peer)
            return None, None
        self._loads.note_answer(peer)
        self._loads.note_grant(candidate.shard, name, heard_at)
        # Counted from the asking for a slot given at once, and from the end of
        # the longest wait otherwise: the placer keeps it taken for longer.
        usable_until = asked + wait_seconds + self._settings.grant_seconds
        return Grant(granted, peer.client, usable_until, name), None

    def _answer(self, client, wanted, wait_seconds, traceparent):
        future = client.call(wanted, traceparent)
        try:
            return future.result(wait_seconds + _ANSWER_SECONDS)
        except FutureTimeout as error:
            # A slot that comes after all would stay taken until the placer's
            # sweep, while its service is short of slots.
            future.add_done_callback(lambda done: self._give_back(done, client))
            raise WireError() from error

    def _give_back(self, done, client):
        if not done.exception():
            self._tell_release(done.result(), client, _UNUSED, 0.0)

    def _candidates(self, policy):
        found = []
        for shard, (peer, summary) in self._peers.shard_owners().items():
            tier = self._tier(shard)
            if tier == ACROSS_LINK and not policy.across_link:
                continue
            for load in summary.loads:
                if load.service == policy.name:
                    found.append(self._loads.candidate(tier, shard, peer, load))
        return found

    def _next_with_room(self, candidates):
        with_room = [
            found
            for found in candidates
            if found.room > 0 and not self._loads.is_silent(found.peer)
        ]
        while with_room:
            nearest = min(found.tier for found in with_room)
            tier = [found for found in with_room if found.tier == nearest]
            # Two draws, and not the emptiest: every gateway sees the same loads.
            draws = self._generator.choice(tier), self._generator.choice(tier)
            best = max(draws, key=lambda found: found.room)
            if self._loads.may_try(best.peer):
                return best
            with_room.remove(best)
        return None

    def _waiting_order(self, candidate):
        return (candidate.is_refusing, candidate.tier, self._generator.random())

    def _tier(self, shard):
        zone = zone_of(shard)
        if zone == self._settings.availability_zone:
            return OWN_ZONE
        region = self._zones().get(zone)
        return OWN_REGION if region == self._settings.region else ACROSS_LINK
