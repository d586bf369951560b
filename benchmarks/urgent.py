"""Waiting time of urgent requests under faults, by policy for the choice of instances.

The real routing, slot allocators, health tracking, attempt timeouts and retry budgets
run with a manual clock; arrivals and service times are randomly generated. There are
three zones with a gateway, a placer and 8 instances of 8 slots each, at 85% of their
capacity, or at 60% where a fault removes a third of it. A fault begins after 4 of 16
seconds, and the live list shows lost instances 5 seconds later. Run as
``python -m benchmarks.urgent [--json]``.
"""

import random
from concurrent.futures import Future
from types import SimpleNamespace

import numpy

from benchmarks.events import Events
from benchmarks.tables import percentile, print_rows
from papayapick.bundle.documents import ServicePolicy
from papayapick.exceptions import PapayapickError
from papayapick.ledger import SlotLedger
from papayapick.limits import AttemptTimeouts, RetryBudgets
from papayapick.membership import Peer
from papayapick.placement.requests import (
    HealthAware,
    InstanceHealth,
    LeastLoaded,
    PowerOfTwo,
    RandomInstance,
    RoundRobin,
)
from papayapick.placer.slots import SlotAllocator
from papayapick.routing import SlotClient
from papayapick.wire import PeerRefused, PeerUnreachable
from papayapick.wire.messages import ShardSummary

SEED = 20261202
ZONES = {"a": "south", "b": "south", "c": "south"}
INSTANCES, SLOTS = 8, 8
MEAN_SECONDS, SIGMA = 0.1, 0.5
LOAD, LOAD_BEFORE_LOSS = 0.85, 0.6
SECONDS, FAULT_SECONDS, LIST_LAG_SECONDS = 16.0, 4.0, 5.0
HEARTBEAT_SECONDS, POLL_SECONDS, EXPIRE_SECONDS = 0.5, 1.0, 0.02
DEADLINE_SECONDS = 1.0
SLOW_FACTOR, FAIL_SECONDS = 20, 0.001
WAITING_LIMIT = 256

POLICIES = {
    "health, all": lambda clock, draw: HealthAware(InstanceHealth(clock), draw),
    "health, two draws": lambda clock, draw: HealthAware(
        InstanceHealth(clock), draw, draws=2
    ),
    "least connections": lambda clock, draw: LeastLoaded(),
    "round robin": lambda clock, draw: RoundRobin(),
    "power of two": lambda clock, draw: PowerOfTwo(draw),
    "random": lambda clock, draw: RandomInstance(draw),
}
FAULTS = {
    "none": [],
    "one 20x slower": [("a-0", "slow")],
    "one fails at once": [("a-0", "fails")],
    "a third gone": [
        (f"{zone}-{number}", "gone")
        for zone, number in [(z, n) for z in ZONES for n in range(INSTANCES)][::3]
    ],
    "a zone gone": [("a", "zone")]
    + [(f"a-{number}", "gone") for number in range(INSTANCES)],
}
LOSSES = ("a third gone", "a zone gone")


class RequestQueued(Exception):
    """Pass the future of a waiting request through the slot client to the caller."""

    def __init__(self, future, client, wanted):
        super().__init__()
        self.future = future
        self.client = client
        self.wanted = wanted


class AllocatorClient:
    """Replace the connection to a placer with one shard."""

    def __init__(self, allocator, cell, zone):
        self._allocator = allocator
        self._cell = cell
        self._zone = zone

    def call(self, wanted, traceparent):
        """Request a slot from the allocator; raise Waits if the request is queued."""
        if self._cell.has_failed(self._zone):
            raise PeerUnreachable(address=self._zone)
        answer = Future()
        try:
            found = self._allocator.request(wanted, WAITING_LIMIT)
        except PapayapickError as error:
            answer.set_exception(_refusal(error))
            return answer
        if isinstance(found, Future):
            if not found.done():
                raise RequestQueued(found, self, wanted)
            found = found.result()
        answer.set_result(found)
        return answer

    def tell(self, released):
        """Pass a release to the allocator."""
        if not self._cell.has_failed(self._zone):
            self._allocator.release(
                released.grant_id, released.outcome, released.run_microseconds / 1e6
            )


def _refusal(error):
    return PeerRefused(
        refusal_code=error.code,
        detail="",
        outcome="not_run",
        retry_after=error.retry_after,
    )


class Request:
    """A caller's request with the state of its attempts."""

    def __init__(self, number, arrived):
        self.number = number
        self.arrived = arrived
        self.deadline = arrived + DEADLINE_SECONDS
        self.avoid = []
        self.tries = 0


class Cell:
    """Simulate three zones under one policy and one fault."""

    def __init__(self, policy, fault, seed=SEED):
        self.events = Events()
        self.clock = self.events.clock
        self.numbers = numpy.random.default_rng(seed)
        self.draw = random.Random(seed)
        self.policy = ServicePolicy("counts", "urgent", True, retries=1)
        self.fault = fault
        self.load = LOAD_BEFORE_LOSS if fault in LOSSES else LOAD
        self.faults = {}
        self.allocators = {}
        self.peers = {}
        self.running = {}
        self.waits = []
        self.answered = 0
        self.request_count = 0
        for zone in ZONES:
            self._add_zone(zone, POLICIES[policy])
        self.gateways = {zone: self._gateway(zone) for zone in ZONES}
        self.budgets = RetryBudgets()
        self.timeouts = AttemptTimeouts()

    def has_failed(self, zone):
        """Return whether a zone has failed."""
        return self.faults.get(zone) == "zone"

    def run(self):
        """Generate the arrivals, run the simulation and return the cell."""
        rate = self.load * len(ZONES) * INSTANCES * SLOTS / MEAN_SECONDS
        events = self.events
        events.every(HEARTBEAT_SECONDS, self._beat, SECONDS)
        events.every(EXPIRE_SECONDS, self._expire, SECONDS + DEADLINE_SECONDS)
        events.every(POLL_SECONDS, self._reconcile, SECONDS)
        events.after(FAULT_SECONDS, self._inject_fault)
        events.after(FAULT_SECONDS + LIST_LAG_SECONDS, self._update_live_list)
        moment = 0.0
        for number, gap in enumerate(
            self.numbers.exponential(1 / rate, int(rate * SECONDS * 1.05))
        ):
            moment += gap
            if moment > SECONDS:
                break
            events.after(moment, self._arrive, number)
        self._beat()
        events.run()
        return self

    def _add_zone(self, zone, build):
        ledger = SlotLedger()
        draw = random.Random(self.draw.random())
        policy = build(self.clock, draw)
        allocator = SlotAllocator(f"{zone}.0", 1, ledger, policy, self.clock, draw)
        for number in range(INSTANCES):
            name = f"{zone}-{number}"
            ledger.add(name, "counts", name, SLOTS, 64)
            ledger.open(name)
            self.running[name] = set()
        self.allocators[zone] = allocator
        entry = SimpleNamespace(name=f"placer-{zone}")
        self.peers[zone] = Peer(entry, AllocatorClient(allocator, self, zone), 0.0)

    def _gateway(self, zone):
        settings = SimpleNamespace(
            availability_zone=zone, region=ZONES[zone], grant_seconds=0.5
        )
        peers = SimpleNamespace(shard_owners=lambda: self.shard_owners)
        draw = random.Random(self.draw.random())
        return SlotClient(peers, settings, self.clock, draw, lambda: ZONES)

    def _beat(self):
        now = self.clock.monotonic()
        self.shard_owners = {}
        for zone, peer in self.peers.items():
            if not self.has_failed(zone):
                peer.last_heartbeat_at = now
                loads = self.allocators[zone].loads()
                peer.last_heartbeat = ShardSummary(
                    shard=f"{zone}.0", epoch=1, loads=loads
                )
            if now - peer.last_heartbeat_at <= 3.0:
                self.shard_owners[f"{zone}.0"] = (peer, peer.last_heartbeat)

    def _expire(self):
        for allocator in self.allocators.values():
            allocator.expire()

    def _reconcile(self):
        for allocator in self.allocators.values():
            for name in allocator.in_doubt_instances():
                if self.faults.get(name) != "gone":
                    allocator.reconcile(name, self.running[name])

    def _inject_fault(self):
        self.faults.update(FAULTS[self.fault])

    def _update_live_list(self):
        for name, fault in self.faults.items():
            if fault == "gone":
                allocator = self.allocators[name.partition("-")[0]]
                allocator.with_ledger(lambda ledger, name=name: ledger.close(name))

    def _arrive(self, number):
        self.request_count += 1
        self.budgets.of("counts").earn()
        self._try(Request(number, self.clock.monotonic()))

    def _try(self, request):
        zones = [zone for zone in ZONES if not self.has_failed(zone)]
        gateway = self.gateways[zones[request.number % len(zones)]]
        rest = request.deadline - self.clock.monotonic()
        usual = self.timeouts.usual_seconds("counts") or 0.2 * rest
        try:
            grant = gateway.acquire(
                self.policy,
                str(request.number * 2 + request.tries),
                max(0.0, rest - usual),
                str(request.number % 7),
                request.avoid,
            )
        except RequestQueued as found:
            waits = found
            waits.future.add_done_callback(
                lambda done: self._granted_late(request, gateway, waits, done)
            )
        except PapayapickError:
            return
        else:
            self._send(request, gateway, grant)

    def _granted_late(self, request, gateway, waits, done):
        if done.exception():
            return
        grant = SimpleNamespace(
            granted=done.result(), client=waits.client, service="counts"
        )
        # Scheduled, because the allocator holds its lock in this callback.
        self.events.after(0.0, self._send, request, gateway, grant)

    def _send(self, request, gateway, grant):
        name = grant.granted.instance
        now = self.clock.monotonic()
        request_id = str(request.number * 2 + request.tries)
        request.tries += 1
        request.avoid.append(name)
        seconds, outcome = self._service(name)
        limit = request.deadline - now
        if request.tries == 1 and self.budgets.of("counts").can_retry:
            limit = self.timeouts.first_attempt_seconds("counts", limit)
        if seconds <= limit:
            self.running[name].add(request_id)
            self.events.after(seconds, self.running[name].discard, request_id)
            self.events.after(seconds, self._end, request, gateway, grant, outcome, now)
        else:
            if seconds < float("inf"):
                self.running[name].add(request_id)
                self.events.after(seconds, self.running[name].discard, request_id)
            self.events.after(limit, self._end, request, gateway, grant, "unknown", now)

    def _service(self, name):
        seconds = self.numbers.lognormal(numpy.log(MEAN_SECONDS) - SIGMA**2 / 2, SIGMA)
        fault = self.faults.get(name)
        if fault == "slow":
            return seconds * SLOW_FACTOR, "done"
        if fault == "fails":
            return FAIL_SECONDS, "failed"
        if fault == "gone":
            return float("inf"), "unknown"
        return seconds, "done"

    def _end(self, request, gateway, grant, outcome, began):
        now = self.clock.monotonic()
        gateway.release(grant, outcome, now - began)
        if outcome in ("done", "unknown"):
            self.timeouts.observe("counts", now - began)
        if outcome == "done":
            if now <= request.deadline:
                self.answered += 1
                self.waits.append(float(began - request.arrived))
        elif (
            request.tries == 1
            and now < request.deadline
            and self.budgets.of("counts").spend()
        ):
            self._try(request)


def main():
    rows = []
    for fault in FAULTS:
        for policy in POLICIES:
            cell = Cell(policy, fault).run()
            rows.append(
                {
                    "fault": fault,
                    "policy": policy,
                    "load_%": round(100 * cell.load),
                    "requests": cell.request_count,
                    "wait_median_ms": percentile(cell.waits, 0.5) * 1000,
                    "wait_p99_ms": percentile(cell.waits, 0.99) * 1000,
                    "wait_p999_ms": percentile(cell.waits, 0.999) * 1000,
                    "in_deadline_%": 100 * cell.answered / cell.request_count,
                }
            )
    print_rows(rows)


if __name__ == "__main__":
    main()
