"""Simulate processes of two regions that exchange real heartbeats in one thread."""

from concurrent.futures import Executor
from types import SimpleNamespace

from papayapick.clients import HostListUnavailable
from papayapick.clients.hosts import HostEntry
from papayapick.clock import ManualClock
from papayapick.membership import Peers
from papayapick.wire import PeerTimeout
from papayapick.wire.codec import decode, encode
from papayapick.wire.messages import Heartbeat, ServiceLoad, ShardSummary

HEARTBEAT, DEAD_AFTER = 0.5, 3.0
SOUTH, NORTH = "south-tas", "north-tas"


class IdleExecutor(Executor):
    """Run no tasks: tests drive the peers themselves."""

    def submit(self, *task, **options):
        return None


class FakeHostList:
    """Serve the host list of one process; it may be outdated or unavailable."""

    def __init__(self):
        self.entries = []
        self.is_down = False
        self.tag = ""
        self.fetched = 0

    def fetch(self):
        self.fetched += 1
        if self.is_down:
            raise HostListUnavailable()
        return list(self.entries)


class SimulatedProcess:
    """A process with its peers and its own heartbeat."""

    def __init__(self, simulation, name, kind, region, zone, shards=()):
        self.simulation = simulation
        self.name = name
        self.shards = list(shards)
        self.is_down = False
        self.draining = False
        self.host_list = FakeHostList()
        settings = SimpleNamespace(
            host_name=name,
            region=region,
            heartbeat_seconds=HEARTBEAT,
            dead_after_seconds=DEAD_AFTER,
        )
        self.entry = HostEntry(name, kind, "live", name + ":1", region, zone)
        self.peers = Peers(
            self.host_list,
            lambda address: SimulatedClient(simulation, self, address[0]),
            self.heartbeat,
            simulation.clock,
            IdleExecutor(),
            settings,
            lambda head, fetch: None,
        )

    def heartbeat(self):
        return Heartbeat(
            host=self.name,
            bundle_sequence=1,
            draining=self.draining,
            list_tag=self.host_list.tag,
            shards=[
                ShardSummary(
                    shard=shard,
                    epoch=epoch,
                    loads=[ServiceLoad(service="counts", free_slots=9, waiting=0)],
                )
                for shard, epoch in self.shards
            ],
        )

    def answer(self, request, requester):
        answer = self.heartbeat()
        self.peers.add_summary(answer, request.known or 0, requester.entry.region)
        return answer

    def live(self):
        return sorted(peer.name for peer in self.peers.live())


class SimulatedClient:
    """Exchange encoded messages with another process and count their bytes."""

    def __init__(self, simulation, requester, name):
        self.simulation, self.requester, self.name = simulation, requester, name

    def ask(self, request, seconds):
        simulation, peer = self.simulation, self.simulation.processes[self.name]
        is_far = peer.entry.region != self.requester.entry.region
        if peer.is_down or (is_far and simulation.is_partitioned):
            raise PeerTimeout(address=self.name, seconds=seconds)
        sent = encode(1, request)
        received = encode(1, peer.answer(decode(sent)[1], self.requester))
        if is_far:
            simulation.link_bytes += len(sent) + len(received)
            simulation.link_requests.append((self.requester.name, self.name))
        return decode(received)[1]

    def close(self):
        """Do nothing: no connection is open."""


class Simulation:
    """All processes, their clock and the link between the regions."""

    def __init__(self):
        self.clock = ManualClock(1000.0)
        self.processes = {}
        self.is_partitioned = False
        self.link_bytes = 0
        self.link_requests = []

    @classmethod
    def with_regions(cls, north=3, south=6, gateways=1):
        """Return a simulation in which all listed processes know all placers."""
        simulation = cls()
        for region, count in ((NORTH, north), (SOUTH, south)):
            for number in range(count):
                name = f"placer-{region}-{number}"
                shards = [(f"{region}.{number}", 1)]
                simulation.add(name, "placer", region, shards)
            for number in range(gateways):
                simulation.add(f"gateway-{region}-{number}", "gateway", region)
        simulation.list_all()
        simulation.run(6)
        return simulation

    def add(self, name, kind, region, shards=()):
        process = SimulatedProcess(self, name, kind, region, region, shards)
        self.processes[name] = process
        return process

    def list_all(self):
        entries = [process.entry for process in self.processes.values()]
        for process in self.processes.values():
            process.host_list.entries = entries
            process.peers.refresh()

    def run(self, seconds):
        """Exchange the heartbeats of all running processes for a time."""
        for _ in range(round(seconds / HEARTBEAT)):
            for process in self.processes.values():
                if not process.is_down:
                    for peer in process.peers.peers():
                        process.peers.exchange_if_due(peer)
            self.clock.advance(HEARTBEAT)

    def names(self, region):
        return sorted(
            name
            for name, process in self.processes.items()
            if process.entry.region == region and process.entry.kind == "placer"
        )

    def all_placers(self):
        return sorted(self.names(NORTH) + self.names(SOUTH))
