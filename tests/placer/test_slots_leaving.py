"""A leaving backend server gets no new work, however the placer learns of it."""

import random
from concurrent.futures import ThreadPoolExecutor

import pytest

from papayapick.clients import HostEntry, NotSent
from papayapick.clients.exceptions import HostLeaving
from papayapick.clock import ManualClock
from papayapick.ledger import SlotLedger
from papayapick.ownership import shard_of
from papayapick.placement.requests import HealthAware, InstanceHealth
from papayapick.placer.exceptions import SlotWaitExpired
from papayapick.placer.slots import SlotAllocator
from papayapick.placer.takeover import HostReconciler
from papayapick.wire.messages import SlotRequest

ZONE, SHARDS = "a", 1
NAMES = ("i1", "i2")


class FakeInstances:
    """Report no running calls.

    Instances named in ``leaving`` announce that they leave; those in ``down`` can't
    be reached.
    """

    def __init__(self):
        self.leaving = set()
        self.down = set()

    def fence(self, url, epoch, reject_leaving=False):
        if url in self.down:
            raise NotSent(url=url)
        if reject_leaving and url in self.leaving:
            raise HostLeaving(url=url)
        return []


class FakeShard:
    """The part of a shard that the host reconciler uses for instances."""

    name = shard_of("i1", ZONE, SHARDS)
    epoch = 1

    def __init__(self, clock):
        self.entries = {}
        policy = HealthAware(InstanceHealth(clock), random.Random(1))
        self.slot_allocator = SlotAllocator(self.name, 1, SlotLedger(), policy, clock)

    def add_instance(self, entry):
        self.entries[entry.name] = entry
        self.slot_allocator.with_ledger(
            lambda ledger: ledger.add(entry.name, "counts", entry.url, 8, 64)
        )


class Bench:
    """Refresh the hosts from the list once a second, as the placer does."""

    def __init__(self):
        self.clock = ManualClock()
        self.instances = FakeInstances()
        self.shard = FakeShard(self.clock)
        self.executor = ThreadPoolExecutor(1)
        self.reconciler = HostReconciler(None, self.instances, self.executor)
        self.states = dict.fromkeys(NAMES, "live")
        self.look()

    def look(self):
        entries = [
            HostEntry(name, "instance", state, name, "south", ZONE, service="counts")
            for name, state in self.states.items()
        ]
        self.reconciler.refresh(self.shard, entries, SHARDS)

    def call(self, outcome="done"):
        request = SlotRequest(
            shard=self.shard.name,
            service="counts",
            request_id="r",
            wait_milliseconds=0,
            run_milliseconds=1000,
            caller="",
        )
        grant = self.shard.slot_allocator.request(request, 0)
        is_announced = grant.instance in self.instances.leaving and outcome == "done"
        self.shard.slot_allocator.release(
            grant.grant_id, "leaving" if is_announced else outcome, 0.01
        )
        return grant.instance

    def seconds_with_new_work(self, name, seconds=10):
        """Return the seconds from now to the last new call to an instance."""
        began = self.clock.monotonic()
        last = 0.0
        for second in range(seconds):
            for _ in range(10):
                self.clock.advance(0.1)
                if self.call() == name:
                    last = self.clock.monotonic() - began
            if second < seconds - 1:
                self.look()
        return last


@pytest.fixture
def bench():
    new_bench = Bench()
    yield new_bench
    new_bench.executor.shutdown()


def announces(bench):
    bench.instances.leaving.add("i1")


def is_listed(bench):
    bench.states["i1"] = "leaving"


def both(bench):
    announces(bench)
    is_listed(bench)


def announces_and_closes(bench):
    announces(bench)
    bench.instances.down.add("i1")


@pytest.mark.parametrize("leave", [announces, is_listed, both, announces_and_closes])
def test_leaving_server_gets_no_new_work_after_three_seconds(bench, leave):
    """Guards against calls that are lost with a leaving backend server.

    The server announces it in its answers, the host list shows it, or both. In
    the first case the list lags and shows the server as live throughout. Calls
    sent more than a few seconds later are lost with the server.
    """
    leave(bench)
    assert bench.seconds_with_new_work("i1") <= 3.0


def test_server_that_no_longer_leaves_gets_work_again(bench):
    """A deployment is aborted: the server stays and ends its announcement."""
    announces(bench)
    bench.seconds_with_new_work("i1")
    bench.instances.leaving.clear()
    bench.look()
    bench.clock.advance(1)
    assert "i1" in {bench.call() for _ in range(50)}


def test_last_server_that_leaves_gets_no_more_work_either(bench):
    """Both servers of a service leave; callers must be refused at once."""
    bench.instances.leaving.update(NAMES)
    for _ in range(2):
        bench.call()
    bench.look()
    with pytest.raises(SlotWaitExpired):
        bench.call()
