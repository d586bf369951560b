"""Choose among instances of which some fail, crawl, hang or come back."""

import heapq
import random

import pytest

from papayapick.clock import ManualClock
from papayapick.ledger import SlotLedger
from papayapick.placement import HealthAware, InstanceHealth

SERVICE = "counts"
NAMES = [f"i{number}" for number in range(8)]


class Bench:
    """Place calls one after the other; each instance answers as told."""

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
        """Place one call, answer it and return where it went."""
        grant, name = self.begin(avoid)
        outcome, seconds = self.answers.get(name, ("done", 0.01))
        self.clock.advance(seconds)
        self.end(grant, outcome, seconds)
        return name

    def end(self, grant, outcome, seconds):
        self.ledger.give_back(grant)
        self.policy.ended(grant, outcome, seconds)

    def begin(self, avoid=()):
        name = self.policy.choose(self.ledger, SERVICE, avoid)
        self.number += 1
        self.ledger.take(name, self.number)
        self.policy.granted(SERVICE, name, self.number)
        return self.number, name

    def run(self, calls=400, side_by_side=24):
        """Keep so many calls open; return how many went to each instance."""
        counts = dict.fromkeys(NAMES, 0)
        ends = []
        for _ in range(calls):
            while len(ends) >= side_by_side:
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
    """Callers see failures or late answers, more the longer it goes on.

    One instance fails at once, crawls or is silent. One that fails at once is
    always idle and would get nearly all calls by the count of its calls.
    """
    bench = Bench()
    bench.run()
    bench.answers["i3"] = fault
    bench.run()
    assert bench.run()["i3"] < 8
    assert bench.health.is_ejected(SERVICE, "i3")


def test_probe_brings_a_mended_instance_back_slowly():
    """An ejected instance is mended, and its capacity stays unused.

    Only a call can tell that it is well; one at a time is risked, and the
    return does not send it a rush of calls while it is cold.
    """
    bench = Bench()
    bench.answers["i3"] = ("failed", 0.0001)
    bench.run()
    assert bench.health.is_ejected(SERVICE, "i3")
    bench.answers.clear()
    bench.clock.advance(60)
    open_grants = [bench.begin() for _ in range(8)]
    assert [name for _, name in open_grants].count("i3") == 1
    for grant, _ in open_grants:
        bench.end(grant, "done", 0.01)
    assert not bench.health.is_ejected(SERVICE, "i3")
    # Side by side, so that load decides and not chance.
    cold = [bench.begin()[1] for _ in range(20)].count("i3")
    assert cold <= 1


def test_failing_probe_doubles_the_time_to_the_next():
    """An instance stays broken for a minute, and probes cost callers failures.

    Each probe that fails puts the next off twice as long.
    """
    bench = Bench()
    bench.answers["i3"] = ("failed", 0.0001)
    bench.run()
    probes = []
    for _ in range(600):
        bench.clock.advance(0.1)
        if bench.call() == "i3":
            probes.append(bench.clock.monotonic())
    assert len(probes) <= 6
    gaps = [after - before for before, after in zip(probes, probes[1:], strict=False)]
    assert gaps == sorted(gaps)


def test_no_more_than_half_are_ejected():
    """Six of eight instances fail; ejecting all six would crush the two.

    The cap leaves half in the choice, and among those the well ones get most.
    """
    bench = Bench()
    bench.run()
    bench.answers = dict.fromkeys(NAMES[:6], ("failed", 0.001))
    bench.run()
    ejected = [name for name in NAMES if bench.health.is_ejected(SERVICE, name)]
    assert len(ejected) == 4
    counts = bench.run(side_by_side=8)
    assert counts["i6"] + counts["i7"] > 350


def test_requests_that_fail_everywhere_eject_nobody_by_share():
    """A caller sends requests that fail wherever they run, among others' good ones.

    Every instance fails alike, so no instance is to blame.
    """
    bench = Bench()
    draw = random.Random(2)
    for _ in range(600):
        failed = draw.random() < 0.3
        bench.answers = dict.fromkeys(NAMES, ("failed" if failed else "done", 0.01))
        bench.call()
    ejected = [name for name in NAMES if bench.health.is_ejected(SERVICE, name)]
    assert len(ejected) <= 1


def test_ejected_instances_serve_where_none_else_is_open():
    """The live list closes the well instances while the others are ejected.

    Refusing every call until the next probe would help nobody.
    """
    bench = Bench()
    bench.answers = dict.fromkeys(NAMES[:4], ("failed", 0.001))
    bench.run()
    for name in NAMES:
        if not bench.health.is_ejected(SERVICE, name):
            bench.ledger.close(name)
    assert bench.policy.choose(bench.ledger, SERVICE) is not None


def test_free_slots_leave_out_the_ejected():
    """A shard with a failing instance looks idle to the gateways and draws load."""
    bench = Bench()
    bench.answers["i3"] = ("failed", 0.0001)
    bench.run()
    assert bench.policy.free_slots(bench.ledger, SERVICE) == 7 * 8
    assert bench.ledger.free_slots(SERVICE) == 8 * 8


def test_avoided_instance_is_taken_only_where_no_other_has_room():
    bench = Bench()
    assert all(bench.call(avoid=NAMES[:7]) == "i7" for _ in range(5))
    assert bench.call(avoid=NAMES) in NAMES
