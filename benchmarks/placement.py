"""Compare the speed and packing of placement policies for tasks.

Run as ``python -m benchmarks.placement [--json] [--packing]``. All policies get the
same randomly generated demands. A decision is a choice with its reservation; the cell
is first filled with running tasks, then one task ends before each decision.
"""

import random
import sys
import time

import numpy

from benchmarks.tables import percentile, print_rows
from papayapick.ledger import Amounts, HostLedger
from papayapick.ledger.rooms import RoomIndex
from papayapick.placement.requests import BestFit, FirstFit, LeastLoadedHost, RandomFit

SEED = 20260
# Workers, of these with 8 accelerators each, and running tasks.
SIZES = ((24, 3, 300), (600, 165, 7500), (5900, 1625, 75000))
DECISIONS = {"tightest": 20000, "random": 2000, "first fit": 600, "least loaded": 300}
PLAIN, ACCELERATED = Amounts(16000, 65536), Amounts(64000, 262144, 8)
ACCELERATED_SHARE = 0.08
PLAIN_DEMAND, ACCELERATED_DEMAND = Amounts(1000, 4096), Amounts(2000, 8192, 1)


def policies():
    return {
        "tightest": BestFit(),
        "random": RandomFit(random.Random(SEED)),
        "first fit": FirstFit(),
        "least loaded": LeastLoadedHost(),
    }


def cell(workers, accelerated, reserved_percent=50):
    """Return a ledger of open workers; those with accelerators are evenly spread."""
    ledger = HostLedger(reserved_percent)
    step = workers // accelerated
    for number in range(workers):
        has = number % step == 0 and number // step < accelerated
        ledger.add(f"worker-{number}", ACCELERATED if has else PLAIN)
        ledger.open(f"worker-{number}")
    return ledger


def demands(count, seed=SEED):
    """Generate demands: most are small, a few are as large as half a worker."""
    generator = numpy.random.default_rng(seed)
    processors = generator.choice(
        [250, 500, 1000, 2000, 4000, 8000], count, p=[0.3, 0.25, 0.2, 0.15, 0.07, 0.03]
    )
    ratio = generator.choice([1024, 2048, 4096, 4096, 8192], count)
    memory = numpy.minimum(processors * ratio // 1000, 49152)
    accelerators = numpy.where(
        generator.random(count) < ACCELERATED_SHARE,
        generator.choice([1, 2, 4, 8], count, p=[0.5, 0.25, 0.15, 0.1]),
        0,
    )
    return [
        Amounts(int(found[0]), int(found[1]), int(found[2]))
        for found in zip(processors, memory, accelerators, strict=True)
    ]


def fill(ledger, policy, wanted, max_running):
    """Reserve until a demand does not fit or enough run; return the reservations."""
    running = []
    for number, demand in enumerate(wanted):
        name = policy.choose(ledger, demand)
        if name is None:
            if demand.accelerators:
                continue
            break
        ledger.reserve(name, number, demand)
        running.append(number)
        if len(running) >= max_running:
            break
    return running


def speed(size, name, policy):
    """Time decisions in a filled cell; one task ends before each."""
    workers, accelerated, tasks = size
    ledger = cell(workers, accelerated)
    running = fill(ledger, BestFit(), demands(tasks * 2), tasks)
    generator = random.Random(SEED)
    wanted = demands(DECISIONS[name], SEED + 1)
    spent, refused = [], 0
    for number, demand in enumerate(wanted):
        place = generator.randrange(len(running))
        before = ledger.reserved(running[place])
        ledger.release(running[place])
        began = time.perf_counter()
        host = policy.choose(ledger, demand)
        if host is not None:
            ledger.reserve(host, ("new", number), demand)
        spent.append(time.perf_counter() - began)
        if host is None:
            refused += 1
            ledger.reserve(before[0], running[place], before[1])
        else:
            running[place] = ("new", number)
    return {
        "workers": workers,
        "running": len(running),
        "policy": name,
        "decisions_per_s": len(spent) / sum(spent),
        "median_us": percentile(spent, 0.5) * 1e6,
        "p99_us": percentile(spent, 0.99) * 1e6,
        "refused": refused,
    }


def packing(size, name, policy, reserved_percent):
    """Fill a cell with mixed work until the first refusal of each kind.

    Work with accelerators continues after its first refusal, as smaller demands may
    fit. ``accelerators`` is the share in use at its first refusal.
    """
    workers, accelerated, _ = size
    ledger = cell(workers, accelerated, reserved_percent)
    whole = sum((ledger.capacity(found) for found in ledger.names), Amounts())
    used, accelerators, number = Amounts(), None, 0
    for number, demand in enumerate(demands(workers * 60, SEED + 2)):
        host = policy.choose(ledger, demand)
        if host is not None:
            ledger.reserve(host, number, demand)
            used = used + demand
        elif not demand.accelerators:
            break
        elif accelerators is None:
            accelerators = used.accelerators / whole.accelerators
    return {
        "workers": workers,
        "policy": name,
        "processors": used.processors / whole.processors,
        "memory": used.memory / whole.memory,
        "accelerators": accelerators,
        "placed": number,
    }


def fill_around_reserve(size, name, policy, reserved_percent):
    """Fill a cell with plain work first, then with work for accelerators."""
    workers, accelerated, _ = size
    ledger = cell(workers, accelerated, reserved_percent)
    whole = sum((ledger.capacity(found) for found in ledger.names), Amounts())
    shares = []
    for phase, wanted in enumerate((PLAIN_DEMAND, ACCELERATED_DEMAND)):
        number = 0
        while (host := policy.choose(ledger, wanted)) is not None:
            ledger.reserve(host, (phase, number), wanted)
            number += 1
        shares.append(number)
    return {
        "workers": workers,
        "policy": name,
        "kept_percent": reserved_percent,
        "processors_to_plain": shares[0] * PLAIN_DEMAND.processors / whole.processors,
        "accelerators_usable": shares[1] / whole.accelerators,
    }


def lopsided(workers, is_indexed):
    """Time choices where only one worker has enough free memory.

    The baseline scans the open workers in order of free processors.
    """
    ledger = HostLedger()
    for number in range(workers):
        memory = 65536 if number == workers - 1 else 2048
        ledger.add(f"worker-{number}", Amounts(16000, memory))
        ledger.open(f"worker-{number}")
    order = sorted(ledger.names, key=lambda name: ledger.free(name).processors)
    demand, spent = Amounts(1000, 4096), []
    for _ in range(200):
        began = time.perf_counter()
        if is_indexed:
            found = ledger.best_fit(demand)
        else:
            found = next(name for name in order if demand.fits_in(ledger.free(name)))
        spent.append(time.perf_counter() - began)
        assert found == f"worker-{workers - 1}"
    return {
        "workers": workers,
        "case": "one worker with memory",
        "index": "rooms" if is_indexed else "by processors",
        "median_us": percentile(spent, 0.5) * 1e6,
        "p99_us": percentile(spent, 0.99) * 1e6,
    }


def build(workers):
    """Return the seconds to build an index of this number of workers."""
    began = time.perf_counter()
    index = RoomIndex()
    for number in range(workers):
        index.add(f"worker-{number}", PLAIN)
    return time.perf_counter() - began


def main():
    if "--packing" not in sys.argv[1:]:
        print_rows(
            [
                speed(size, name, policy)
                for size in SIZES
                for name, policy in policies().items()
            ]
        )
        print_rows([lopsided(size[0], i) for size in SIZES for i in (True, False)])
        rows = [{"workers": s[0], "build_seconds": build(s[0])} for s in SIZES]
        print_rows(rows)
    few = [(size, *found) for size in SIZES[:2] for found in policies().items()]
    few.append((SIZES[2], "tightest", BestFit()))
    print_rows([packing(*found, 50) for found in few])
    print_rows(
        [
            fill_around_reserve(SIZES[1], "tightest", BestFit(), k)
            for k in (0, 25, 50, 100)
        ]
    )


if __name__ == "__main__":
    main()
