"""Request slots from placers, nearest first."""

from concurrent.futures import TimeoutError as FutureTimeout

from papayapick.ownership.assignments import zone_of
from papayapick.routing.exceptions import (
    DeadlineExceeded,
    GrantExpired,
    NoPlacerAnswer,
    NoRoute,
)
from papayapick.routing.loads import LoadView
from papayapick.wire import PeerRefused, WireError
from papayapick.wire.messages import Release, SlotRequest

__all__ = ["Grant", "SlotClient"]

OWN_ZONE, OWN_REGION, ACROSS_LINK = range(3)
# Time for the placer's answer, in addition to the wait that was requested.
_ANSWER_SECONDS = 0.25
_MAX_REQUESTS_WITHOUT_WAIT = 3
_MAX_REQUESTS_WITH_WAIT = 2
_UNUSED, _STALE = "unused", "stale"


class Grant:
    """Hold a granted slot and the time after which it must not be used.

    Parameters
    ----------
    granted : SlotGrant
    client : PeerClient
        Client of the placer that granted the slot.
    usable_until : float
        Monotonic seconds of this process.
    service : str
    """

    __slots__ = ("client", "granted", "service", "usable_until")

    def __init__(self, granted, client, usable_until, service=""):
        self.granted = granted
        self.client = client
        self.usable_until = usable_until
        self.service = service

    def check_usable(self, now):
        """Raise GrantExpired once the placer may have released the slot.

        A gateway that was paused between the grant and the call may resume with a slot
        that a new owner of the shard does not know of. The age of the request for the
        slot, by the gateway's own clock, reveals this.
        """
        if now > self.usable_until:
            raise GrantExpired(instance=self.granted.instance)


class _Call:
    """Hold the parameters that all attempts of one request for a slot share."""

    __slots__ = ("avoid", "caller", "deadline", "policy", "request_id", "traceparent")

    def __init__(self, policy, request_id, deadline, caller, avoid, traceparent):
        self.policy = policy
        self.request_id = request_id
        self.deadline = deadline
        self.caller = caller
        self.avoid = avoid
        self.traceparent = traceparent


class SlotClient:
    """Acquire slots from the placers and release them.

    Parameters
    ----------
    peers : Peers
    settings : Settings
    clock : Clock
    generator : random.Random
    zones : callable
        Returns a mapping of each zone to its region.
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
        """Build the client from the shared objects of a gateway or placer process.

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
        """Acquire a slot of a service.

        The client first requests a slot without waiting from shards with room, nearest
        first. Only if none grants one does the request wait at a shard. A shard gets at
        most one request without and one with a wait.

        Parameters
        ----------
        policy : ServicePolicy
        request_id : str
        wait_seconds : float
            Longest time that the request may wait for a slot.
        caller : str
        avoid : sequence of str
            Instances that failed this request in earlier attempts.
        traceparent : str

        Returns
        -------
        Grant

        Raises
        ------
        RoutingError, PeerRefused
            If no slot was granted; the work did not run.
        """
        deadline = self._clock.monotonic() + wait_seconds
        call = _Call(policy, request_id, deadline, caller, avoid, traceparent)
        candidates = self._candidates(policy)
        if not candidates:
            raise NoRoute(service=policy.name)
        grant, error = self._request_without_wait(call, candidates)
        if grant is None:
            grant, error = self._request_with_wait(call, candidates, error)
        if grant is None:
            raise error or NoPlacerAnswer(service=policy.name)
        return grant

    def release(self, grant, outcome, run_seconds):
        """Release a slot.

        If the message is lost, the placer's periodic sweep releases the slot.
        """
        granted = grant.granted
        if outcome == _STALE:
            self._loads.note_stale(granted.shard, grant.service)
        else:
            self._loads.note_release(granted.shard, grant.service)
        self._send_release(granted, grant.client, outcome, run_seconds)

    @staticmethod
    def _send_release(granted, client, outcome, run_seconds):
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

    def _request_without_wait(self, call, candidates):
        """Request a slot without waiting from shards with room."""
        error = None
        for _ in range(_MAX_REQUESTS_WITHOUT_WAIT):
            candidate = self._next_with_room(candidates)
            if candidate is None:
                break
            candidates.remove(candidate)
            grant, refusal = self._request_slot(call, candidate, 0.0)
            if grant is not None:
                return grant, None
            error = refusal or error
            if refusal is not None:
                # The shard may still accept a request that waits.
                candidate.room = 0
                candidates.append(candidate)
        return None, error

    def _request_with_wait(self, call, candidates, error):
        """Request a slot with waiting from one shard, or the next if it refuses."""
        candidates.sort(key=self._waiting_order)
        requests = 0
        for candidate in candidates:
            if requests == _MAX_REQUESTS_WITH_WAIT:
                break
            remaining_seconds = call.deadline - self._clock.monotonic()
            if remaining_seconds <= 0:
                return None, error or DeadlineExceeded(service=call.policy.name)
            if not self._loads.may_try(candidate.peer):
                continue
            requests += 1
            grant, refusal = self._request_slot(call, candidate, remaining_seconds)
            if grant is not None:
                return grant, None
            error = refusal or error
        return None, error

    def _request_slot(self, call, candidate, wait_seconds):
        """Request a slot from one shard.

        Returns
        -------
        (Grant or None, PeerRefused or None)
            Both are None if the placer did not answer.
        """
        peer, name = candidate.peer, call.policy.name
        requested_at = self._clock.monotonic()
        request = SlotRequest(
            shard=candidate.shard,
            service=name,
            request_id=call.request_id,
            wait_milliseconds=int(wait_seconds * 1000),
            run_milliseconds=int(call.policy.run_seconds * 1000),
            caller=call.caller,
            avoid=list(call.avoid),
        )
        heartbeat_at = peer.last_heartbeat_at
        try:
            granted = self._call(peer.client, request, wait_seconds, call.traceparent)
        except PeerRefused as refusal:
            self._loads.note_answer(peer)
            self._loads.note_refusal(candidate, name)
            return None, refusal
        except WireError:
            self._loads.note_unreachable(peer)
            return None, None
        self._loads.note_answer(peer)
        self._loads.note_grant(candidate.shard, name, heartbeat_at)
        # Counted from the request if it did not wait, and from the end of the longest
        # wait otherwise. The placer keeps the slot reserved for longer than this.
        usable_until = requested_at + wait_seconds + self._settings.grant_seconds
        return Grant(granted, peer.client, usable_until, name), None

    def _call(self, client, request, wait_seconds, traceparent):
        future = client.call(request, traceparent)
        try:
            return future.result(wait_seconds + _ANSWER_SECONDS)
        except FutureTimeout as error:
            # A slot granted after the time-out would stay reserved until the placer's
            # sweep, although the service is short of slots.
            future.add_done_callback(lambda done: self._release_unused(done, client))
            raise WireError() from error

    def _release_unused(self, done, client):
        if not done.exception():
            self._send_release(done.result(), client, _UNUSED, 0.0)

    def _candidates(self, policy):
        candidates = []
        for shard, (peer, summary) in self._peers.shard_owners().items():
            tier = self._tier(shard)
            if tier == ACROSS_LINK and not policy.across_link:
                continue
            for load in summary.loads:
                if load.service == policy.name:
                    candidates.append(self._loads.candidate(tier, shard, peer, load))
        return candidates

    def _next_with_room(self, candidates):
        with_room = [
            candidate
            for candidate in candidates
            if candidate.room > 0 and not self._loads.is_unreachable(candidate.peer)
        ]
        while with_room:
            nearest = min(candidate.tier for candidate in with_room)
            tier = [candidate for candidate in with_room if candidate.tier == nearest]
            # The better of two random draws instead of the best of all: every gateway
            # sees the same loads, and all would choose the same shard.
            draws = self._generator.choice(tier), self._generator.choice(tier)
            best = max(draws, key=lambda candidate: candidate.room)
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
