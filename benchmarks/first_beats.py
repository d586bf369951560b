"""Measure how soon a new owner's first heartbeats reach all other hosts.

Run as ``python -m benchmarks.first_beats [--json]``. A second process listens for each
host on loopback and answers; the owner's process sends by the classes that an entry
host uses, while another of its threads computes, as it does while it reads the state of
the pool. After 0.1 s the states of 500 jobs are known. ``first_s`` and ``last_s`` are
the times after the takeover at which the first and the last host had a heartbeat,
``late`` the hosts without one at the time at which they take the pool, ``cpu_s`` the
processor time of the owner's process until then without that thread, ``kb`` the bytes
sent, ``threads`` those of the executor.
"""

import multiprocessing
import threading
import time
from types import SimpleNamespace

from benchmarks.tables import print_rows
from papayapick.clients.rows import StoredRow
from papayapick.clock import SystemClock
from papayapick.entry.cell.beat_senders import beat_seconds
from papayapick.entry.cell.beats import BeatBroadcaster
from papayapick.entry.cell.peers import HOSTS_PARTITION, Peers
from papayapick.executors import ElasticExecutor
from papayapick.ownership.pools import CELL_TABLE
from papayapick.wire import CellKeys, PeerServer
from papayapick.wire.frames import Connection
from papayapick.wire.messages import (
    Hello,
    PoolBeat,
    PoolBeatAnswer,
    StateBatch,
    StateBatchAnswer,
)

SIZES = (40, 100, 300)
JOBS = 500
ZONES = 6
STATE_KNOWN_SECONDS = 0.1
SILENT_AFTER_BEATS = 3.25
KEYS = CellKeys([b"k" * 32])
SENT_BYTES = []


class Owner(SimpleNamespace):
    """Stand in for the owner of a pool; may be a key."""

    __hash__ = object.__hash__


def main():
    count_bytes()
    print_rows([measure(hosts) for hosts in SIZES])


def measure(hosts):
    queue = multiprocessing.Queue()
    arguments = queue, hosts
    process = multiprocessing.Process(target=listen, args=arguments, daemon=True)
    process.start()
    try:
        return take_over(hosts, queue.get(), queue)
    finally:
        process.kill()


def listen(queue, hosts):
    """Answer for all other hosts; put their ports, later the times of heartbeats."""
    executor, told = ElasticExecutor(4096, "hosts"), {}

    def serve(number):
        def answer(message, peer, traceparent):
            if isinstance(message, StateBatch):
                return StateBatchAnswer(missed=[])
            assert isinstance(message, PoolBeat)
            told.setdefault(number, time.monotonic())
            return PoolBeatAnswer(
                epoch=3, store_age_milliseconds=10, clock_milliseconds=1
            )

        identity = Hello(host=f"h{number}", region="r", zone=f"z{number % ZONES}")
        server = PeerServer(("127.0.0.1", 0), KEYS, identity, answer, executor)
        server.start()
        return server.address[1]

    queue.put([serve(number) for number in range(hosts)])
    time.sleep(SILENT_AFTER_BEATS * beat_seconds(hosts) + 2.0)
    queue.put(told)
    time.sleep(60.0)


def owner_host(ports):
    """Create what heartbeats need of the owner's host."""
    clock = SystemClock()
    host = SimpleNamespace(
        clock=clock,
        settings=SimpleNamespace(host_name="owner", region="r", zone="z0"),
        advice=SimpleNamespace(note_peer_answer=lambda: None),
        job_states=SimpleNamespace(
            note_statuses=lambda states, teams: None,
            note_backlogs=lambda pool, epoch, backlogs, known_at: None,
        ),
        executor=ElasticExecutor(4096, "owner"),
    )
    identity = Hello(host="owner", region="r", zone="z0")
    host.peers = Peers(host, KEYS, identity, host.executor)
    for number, port in enumerate(ports):
        value = {
            "address": "127.0.0.1",
            "port": port,
            "zone": f"z{number % ZONES}",
            "region": "r",
        }
        row = StoredRow(CELL_TABLE, HOSTS_PARTITION, f"h{number}", value, number + 1)
        host.peers.note_row(row)
    return host


def new_owner(host):
    stopping = threading.Event()
    return Owner(
        pool="pool",
        row=SimpleNamespace(epoch=3),
        stopping=stopping,
        is_stopped=False,
        has_read_state=False,
        lock=threading.RLock(),
        pause=stopping.wait,
        status_feed=SimpleNamespace(
            all_states=dict,
            take_changes=lambda: {f"{job:032x}": "running" for job in range(JOBS)},
            teams=lambda identifiers: dict.fromkeys(identifiers, "team"),
            backlogs=dict,
            known_at=None,
        ),
        may_lack_records=lambda: False,
        ownership_status=SimpleNamespace(gives_way=lambda: False),
        recording=SimpleNamespace(
            note_heartbeat_answer=lambda name, was_announced: None,
            note_host_exit=lambda name: None,
        ),
        note_peer_answer=lambda peer, epoch, asked_at: None,
    )


def take_over(hosts, ports, queue):
    host = owner_host(ports)
    SENT_BYTES.clear()
    owner = new_owner(host)
    computed = [0.0]
    threading.Thread(target=compute, args=(owner, computed), daemon=True).start()
    candidacy = SimpleNamespace(is_owner=True, owner=owner)
    broadcaster = BeatBroadcaster(host, {"pool": candidacy})
    cpu, began = time.process_time(), time.monotonic()
    broadcaster.announce(owner)
    time.sleep(STATE_KNOWN_SECONDS)
    owner.has_read_state = True
    broadcaster.broadcast(owner)
    silent = began + SILENT_AFTER_BEATS * beat_seconds(hosts)
    time.sleep(max(0.0, silent - time.monotonic()))
    cpu = time.process_time() - cpu - computed[0]
    threads = host.executor.threads
    kilobytes = sum(SENT_BYTES) / 1000
    owner.is_stopped = True
    owner.stopping.set()
    times = sorted(moment - began for moment in queue.get().values())
    return {
        "hosts": hosts,
        "first_s": times[0],
        "last_s": times[-1],
        "late": hosts - sum(moment < silent - began for moment in times),
        "cpu_s": cpu,
        "kb": kilobytes,
        "threads": threads,
    }


def compute(owner, computed):
    while not owner.is_stopped:
        sum(range(5000))
        computed[0] = time.thread_time()


def count_bytes():
    """Add the size of each frame that is sent to ``SENT_BYTES``."""
    create = Connection.__init__

    def create_metered(self, sock, keys, identity, meter=None, clock=None):
        def count(kind, distance, direction, size):
            if direction == "sent":
                SENT_BYTES.append(size)

        create(self, sock, keys, identity, count, clock)

    Connection.__init__ = create_metered


if __name__ == "__main__":
    main()
