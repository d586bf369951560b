"""Choice among instances of which some fail, are slow, do not answer or recover."""

import heapq
import random

import pytest

from papayapick.clock import ManualClock
from papayapick.ledger import SlotLedger
from papayapick.placement.requests import HealthAware, InstanceHealth

SERVICE = "counts"
NAMES = [f"i{number}" for number in range(8)]


class CallSimulator:
    """Calls to instances that answer as configured in ``answers``."""

    def __init__(self):
        self.clock = ManualClock()
        self.health = InstanceHealth(self.clock)
        self.policy = HealthAware(self.health, random.Random(5))
        self.ledger = SlotLedger()
        self.answers = {}
        self.number = 0
        for name in NAMES:
            self.ledger.add(name, SERVICE, name, 8, 64)
            self.ledger.open(name)
        self.clock.advance(20)

    def call(self, avoid=()):
        """Make one call, answer it and return the name of its instance."""
        grant, name = self.begin(avoid)
        outcome, seconds = self.answers.get(name, ("done", 0.01))
        self.clock.advance(seconds)
        self.end(grant, outcome, seconds)
        return name

    def end(self, grant, outcome, seconds):
        self.ledger.release(grant)
        self.policy.ended(grant, outcome, seconds)

    def begin(self, avoid=()):
        name = self.policy.choose(self.ledger, SERVICE, avoid)
        self.number += 1
        self.ledger.reserve(name, self.number)
        self.policy.granted(SERVICE, name, self.number)
        return self.number, name

    def run(self, calls=400, parallel=24):
        """Make calls, some of them in parallel; return the count of each instance."""
        counts = dict.fromkeys(NAMES, 0)
        ends = []
        for _ in range(calls):
            while len(ends) >= parallel:
                due, grant, outcome, seconds = heapq.heappop(ends)
                self.clock.advance(max(0.0, due - self.clock.monotonic()))
                self.end(grant, outcome, seconds)
            grant, name = self.begin()
            counts[name] += 1
            outcome, seconds = self.answers.get(name, ("done", 0.01))
            due = self.clock.monotonic() + seconds
            heapq.heappush(ends, (due, grant, outcome, seconds))
        for _, grant, outcome, seconds in ends:
            self.end(grant, outcome, seconds)
        return counts


@pytest.mark.parametrize(
    "fault",
    [
        pytest.param(("failed", 0.0001), id="fails-at-once"),
        pytest.param(("done", 0.2), id="20-times-slower"),
        pytest.param(("unknown", 0.5), id="silent"),
    ],
)
def test_faulty_instance_gets_hardly_any_calls(fault):
    """Guards against a faulty instance that gets an increasing share of the calls.

    An instance that fails immediately is always idle, and would get nearly all calls
    by the number of its calls in flight.
    """
    simulator = CallSimulator()
    simulator.run()
    simulator.answers["i3"] = fault
    simulator.run()
    assert simulator.run()["i3"] < 8
    assert simulator.health.is_ejected(SERVICE, "i3")


def test_probe_readmits_a_recovered_instance_slowly():
    """Guards against a recovered instance whose capacity stays unused.

    Only a call can show the recovery, so probes are sent one at a time. After its
    return the instance must not get a burst of calls before it has warmed up.
    """
    simulator = CallSimulator()
    simulator.answers["i3"] = ("failed", 0.0001)
    simulator.run()
    assert simulator.health.is_ejected(SERVICE, "i3")
    simulator.answers.clear()
    simulator.clock.advance(60)
    open_grants = [simulator.begin() for _ in range(8)]
    assert [name for _, name in open_grants].count("i3") == 1
    for grant, _ in open_grants:
        simulator.end(grant, "done", 0.01)
    assert not simulator.health.is_ejected(SERVICE, "i3")
    # In parallel, so that the load decides and not the random tie-break.
    cold = [simulator.begin()[1] for _ in range(20)].count("i3")
    assert cold <= 1


def test_failing_probe_doubles_the_time_to_the_next():
    """Guards against frequent probes of a faulty instance, which fail calls."""
    simulator = CallSimulator()
    simulator.answers["i3"] = ("failed", 0.0001)
    simulator.run()
    probes = []
    for _ in range(600):
        simulator.clock.advance(0.1)
        if simulator.call() == "i3":
            probes.append(simulator.clock.monotonic())
    assert len(probes) <= 6
    gaps = [after - before for before, after in zip(probes, probes[1:], strict=False)]
    assert gaps == sorted(gaps)


def test_no_more_than_half_are_ejected():
    """Guards against ejecting six of eight instances, which overloads the other two.

    Half of the instances stay in the choice, and the healthy ones get most calls.
    """
    simulator = CallSimulator()
    simulator.run()
    simulator.answers = dict.fromkeys(NAMES[:6], ("failed", 0.001))
    simulator.run()
    ejected = [name for name in NAMES if simulator.health.is_ejected(SERVICE, name)]
    assert len(ejected) == 4
    counts = simulator.run(parallel=8)
    assert counts["i6"] + counts["i7"] > 350


def test_requests_that_fail_everywhere_eject_no_instance_by_share():
    """Guards against ejections because of requests that fail on every instance.

    All instances fail the same share of calls, so none of them is the cause.
    """
    simulator = CallSimulator()
    draw = random.Random(2)
    for _ in range(600):
        failed = draw.random() < 0.3
        simulator.answers = dict.fromkeys(NAMES, ("failed" if failed else "done", 0.01))
        simulator.call()
    ejected = [name for name in NAMES if simulator.health.is_ejected(SERVICE, name)]
    assert len(ejected) <= 1


def test_ejected_instances_serve_if_no_other_is_open():
    """Guards against refusing every call until the next probe.

    The healthy instances are closed by the live list while the others are ejected.
    """
    simulator = CallSimulator()
    simulator.answers = dict.fromkeys(NAMES[:4], ("failed", 0.001))
    simulator.run()
    for name in NAMES:
        if not simulator.health.is_ejected(SERVICE, name):
            simulator.ledger.close(name)
    assert simulator.policy.choose(simulator.ledger, SERVICE) is not None


def test_free_slots_leave_out_the_ejected():
    """Guards against a shard that seems idle because of a failing instance."""
    simulator = CallSimulator()
    simulator.answers["i3"] = ("failed", 0.0001)
    simulator.run()
    assert simulator.policy.free_slots(simulator.ledger, SERVICE) == 7 * 8
    assert simulator.ledger.free_slots(SERVICE) == 8 * 8


def test_avoided_instance_is_chosen_only_if_no_other_has_a_free_slot():
    simulator = CallSimulator()
    assert all(simulator.call(avoid=NAMES[:7]) == "i7" for _ in range(5))
    assert simulator.call(avoid=NAMES) in NAMES
