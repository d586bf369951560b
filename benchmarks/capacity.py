"""Measure the cost of each unit of load, from which docs/CAPACITY.md is computed.

Run as ``python -m benchmarks.capacity [--json]``. Memory is measured by Python's
allocator; times are processor time of one thread. Each row gives the cost of one unit,
at the size named in the row.
"""

import json
import random
import time
import tracemalloc

from benchmarks.tables import print_rows
from papayapick.bundle import Bundle, Envelope, KeyRing, generate_key, sign
from papayapick.clients import HostEntry
from papayapick.clock import ManualClock
from papayapick.journal import Accepted, Ended, Journal, Started, WorkIndex
from papayapick.ledger import Amounts, HostLedger, SlotLedger
from papayapick.limits import TokenBucket
from papayapick.ownership.queries import ShardRow
from papayapick.placement.requests import PowerOfTwo
from papayapick.placer.listing import HostListing
from papayapick.placer.slots import SlotAllocator
from papayapick.quotas import QuotaTracker
from papayapick.wire.messages import SlotRequest

SEED = 7
WORKERS, TASKS, TEAMS, SERVICES = 5900, 75_000, 670, 200
LEASED = 13
CAPACITY = Amounts(64_000, 256 * 1024, 4)
DEMAND = Amounts(1000, 2048)
REQUEST_IDS = [f"hobart-a.0.{number:032x}" for number in range(TASKS)]


def main():
    rows = [
        *_ledger(),
        *_slots(),
        *_work(),
        *_bundle(),
        *_live_list(),
        *_leases(),
        *_quotas(),
    ]
    print_rows(rows)


def _row(subject, amount, unit, size):
    return {"subject": subject, "amount": amount, "unit": unit, "at": size}


def _ledger():
    tracemalloc.start()
    ledger, workers = HostLedger(), [f"worker-{n:05d}" for n in range(WORKERS)]
    before = _allocated_bytes()
    for name in workers:
        ledger.add(name, CAPACITY)
        ledger.open(name)
    per_worker = (_allocated_bytes() - before) / WORKERS
    before = _allocated_bytes()
    for number, name in enumerate(REQUEST_IDS):
        ledger.reserve(workers[number % WORKERS], name, DEMAND)
    per_task = (_allocated_bytes() - before) / TASKS
    tracemalloc.stop()
    yield _row("host ledger, a worker", per_worker, "bytes", f"{WORKERS} workers")
    yield _row("host ledger, a task", per_task, "bytes", f"{TASKS} tasks")
    for count in (100, 500, WORKERS):
        yield _row(
            "tightest host, reserve, release",
            _decision(count),
            "us",
            f"{count} workers",
        )


def _decision(workers):
    generator = random.Random(SEED)
    ledger = HostLedger()
    for number in range(workers):
        name = f"worker-{number:05d}"
        ledger.add(name, CAPACITY)
        ledger.open(name)
        taken = Amounts(generator.randrange(64) * 1000, generator.randrange(128) * 2048)
        ledger.reserve(name, f"first-{number}", taken)
    demands = [Amounts(1000 * generator.randint(1, 16), 4096) for _ in range(2000)]

    def step(number):
        demand = demands[number]
        name = ledger.best_fit(demand)
        if name is not None:
            ledger.reserve(name, number, demand)
            ledger.release(number)

    return _microseconds(step, len(demands))


def _slots():
    for count in (24, 100, 1000):
        allocator = SlotAllocator(
            "hobart-a.0",
            1,
            SlotLedger(),
            PowerOfTwo(random.Random(SEED)),
            ManualClock(),
        )
        for number in range(count):
            allocator.with_ledger(lambda ledger, number=number: _add(ledger, number))
        wanted = SlotRequest(
            service="s", wait_milliseconds=1000, run_milliseconds=1000, avoid=[]
        )

        def step(number, allocator=allocator, wanted=wanted):
            allocator.release(allocator.request(wanted, 100).grant_id)

        microseconds = _microseconds(step, 2000)
        yield _row(
            "grant and release of a slot", microseconds, "us", f"{count} instances"
        )
    tracemalloc.start()
    ledger, before = SlotLedger(), _allocated_bytes()
    for number in range(1000):
        _add(ledger, number)
    per_instance = (_allocated_bytes() - before) / 1000
    tracemalloc.stop()
    yield _row("slot ledger, an instance", per_instance, "bytes", "1000 instances")


def _add(ledger, number):
    name = f"instance-{number:04d}"
    ledger.add(name, "s", f"http://10.0.0.1:8080/{name}", 8, 64)
    ledger.open(name)


def _records(number):
    request_id = REQUEST_IDS[number]
    payload, digest = "cGF5bG9hZA==" * 20, "d" * 64
    accepted = Accepted(
        request_id, "request", "renewals", "member-17", payload, "", digest, 1.8e9, True
    )
    places = [{"host": "worker-00017", "task": request_id + ".1.0"}]
    started = Started(request_id, 1, places, 1.8e9)
    ended = Ended(request_id, "done", 1.8e9, 200, "application/json", "cmVzdWx0" * 30)
    return accepted, started, ended


def _work():
    records = [_records(number) for number in range(5000)]
    for kind, name in enumerate(("Accepted", "Started", "Ended")):
        size = sum(len(json.dumps(one[kind].as_mapping())) for one in records)
        yield _row(
            f"journal record {name}", size / len(records), "bytes", "240 B payload"
        )
    del records
    tracemalloc.start()
    work_index, before = WorkIndex(), _allocated_bytes()
    for number in range(5000):
        for record in _records(number):
            work_index.apply(record)
    per_item = (_allocated_bytes() - before) / 5000
    tracemalloc.stop()
    yield _row(
        "work book, a request that has ended", per_item, "bytes", "5000 requests"
    )
    for batch in (1, 16, 256):
        yield _row("journal, a record", _journal(batch), "us", f"{batch} a segment")


class _NoTable:
    """Encode transactions as a client does, without sending them."""

    def transact(self, conditions, writes):
        json.dumps([write.value for write in writes]).encode()


def _journal(batch):
    clock = ManualClock()
    row = ShardRow("hobart-a.0", "placer", 1, 1)
    journal = Journal(_NoTable(), row, clock, 0, TokenBucket(1e9, 1e9, clock))
    accepted = _records(0)[0]

    def step(number):
        for _ in range(batch):
            journal.append(accepted)
        journal.write_segment()

    return _microseconds(step, 400) / batch


def _document(services, teams):
    return {
        "format": 1,
        "cell": "target",
        "label": "capacity",
        "topology": {
            "store_region": "region-0",
            "shards_per_zone": 4,
            "regions": [
                {"name": f"region-{n}", "zones": [f"zone-{n}-{k}" for k in range(3)]}
                for n in range(4)
            ],
        },
        "services": [
            {"name": f"service-{n}", "urgency": "urgent", "repeatable": True}
            for n in range(services)
        ],
        "teams": [{"name": f"team-{n}", "processors": 1000} for n in range(teams)],
    }


def _bundle():
    document = _document(SERVICES, TEAMS)
    private, public = generate_key()
    envelope = Envelope(Bundle.from_document(document), {})
    sign(envelope, "ana", private)
    ring = KeyRing.from_text(json.dumps({"ana": public}), 1)
    data = envelope.to_bytes()
    size = f"{SERVICES} services, {TEAMS} teams"

    def step(number):
        ring.verify(Envelope.from_bytes(data))

    yield _row("bundle, its envelope", len(data), "bytes", size)
    yield _row("bundle, checked and verified", _microseconds(step, 10), "us", size)


def _live_list():
    line = {
        "name": "worker-zone-0-0-0017",
        "kind": "worker",
        "state": "live",
        "url": "http://10.0.0.17:8080",
        "region": "region-0",
        "zone": "zone-0-0",
        "rack": "rack-0-0-17",
        "capacity": {"processors": 64000, "memory": 262144, "accelerators": 4},
        "service": "",
        "worker": "",
    }
    data = json.dumps({"hosts": [line] * WORKERS}).encode()
    yield _row(
        "live list, an entry", len(data) / WORKERS, "bytes", f"{WORKERS} entries"
    )
    tracemalloc.start()
    held = _allocated_bytes()
    entries = [HostEntry(**one) for one in json.loads(data)["hosts"]]
    per_entry = (_allocated_bytes() - held) / len(entries)
    tracemalloc.stop()
    del entries

    def step(number):
        return [HostEntry(**one) for one in json.loads(data)["hosts"]]

    spent = _microseconds(step, 10) / WORKERS

    def group(number):
        return HostListing().of_shard("zone-0-0.0", listed, 4)

    def list_again(number):
        return listing.of_shard("zone-0-0.0", listed, 4)

    listed = step(0)
    listing = HostListing()
    grouped = _microseconds(group, 10) / WORKERS
    yield _row("live list, an entry grouped", grouped, "us", "once for each list")
    looked = _microseconds(list_again, 1000)
    yield _row("live list, looked at again", looked, "us", "for each shard")
    yield _row("live list, an entry held", per_entry, "bytes", f"{WORKERS} entries")
    yield _row("live list, an entry read", spent, "us", f"{WORKERS} entries")


def _leases():
    """Yield the sizes of the bodies of a renewal, without the HTTP headers."""
    tasks = [f"{name}.1.0" for name in REQUEST_IDS[:LEASED]]
    report = {
        "state": "running",
        "demand": DEMAND.as_mapping(),
        "usage": DEMAND.as_mapping(),
        "result": "",
    }
    request_body = {"epoch": 12, "tasks": tasks, "lease_seconds": 60.0}
    reply_body = {"tasks": [{"task": name, **report} for name in tasks]}
    bare = len(json.dumps({**request_body, "tasks": []})) + len(
        json.dumps({"tasks": []})
    )
    whole = len(json.dumps(request_body)) + len(json.dumps(reply_body))
    yield _row("lease renewal, a worker", bare, "bytes", "without tasks")
    size = f"{LEASED} tasks"
    yield _row("lease renewal, a task", (whole - bare) / LEASED, "bytes", size)


def _quotas():
    teams = {f"team-{n}": {"processors": 1000 * n} for n in range(TEAMS)}
    tracemalloc.start()
    before = _allocated_bytes()
    tracker = QuotaTracker()
    tracker.set_quotas("digest", teams, 52)
    for name in teams:
        tracker.add_usage(name, DEMAND, 1)
    per_team = (_allocated_bytes() - before) / TEAMS
    tracemalloc.stop()

    def use(number):
        tracker.set_quotas(f"digest-{number}", teams, 52)

    def ask(number):
        tracker.would_borrow(f"team-{number % TEAMS}", DEMAND, 3)

    size = f"{TEAMS} teams"
    yield _row("quotas, a team", per_team, "bytes", size)
    yield _row("quotas taken from a bundle", _microseconds(use, 50), "us", size)
    yield _row("whether a job borrows", _microseconds(ask, 5000), "us", size)


def _allocated_bytes():
    return tracemalloc.get_traced_memory()[0]


def _microseconds(step, count):
    """Return the lowest of five means, to exclude other load on the machine."""
    means = []
    for part in range(5):
        numbers = range(part * count // 5, (part + 1) * count // 5)
        began = time.thread_time()
        for number in numbers:
            step(number)
        means.append((time.thread_time() - began) / len(numbers) * 1e6)
    return min(means)


if __name__ == "__main__":
    main()
