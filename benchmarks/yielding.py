"""Jobs in time by the way to choose which of them yield.

Replays of bursts of two queues on a pool that loses a third of its cores meanwhile; see
``tests/overload/replays.py``. For each queue and size the share of the jobs in time and
what they are worth. Run as ``python -m benchmarks.yielding [--json]``.
"""

from benchmarks.tables import print_rows
from tests.overload.replays import (
    REBUILD,
    RUSH,
    FewestFirst,
    LatestStart,
    WorthPerWork,
    Yielding,
    hard_load,
)

SEEDS = range(40)
WAYS = (LatestStart, Yielding, WorthPerWork, FewestFirst)
# Shares of a queue's jobs by size, the smallest first.
SIZES = {"all": (0.0, 1.0), "top": (0.9, 1.0), "large": (0.7, 0.9), "usual": (0.0, 0.7)}


def main():
    print_rows([row for way in WAYS for row in _rows(way)])


def _rows(way):
    replays = [hard_load(way(), seed) for seed in SEEDS]
    for queue in (RUSH, REBUILD):
        for name, span in SIZES.items():
            jobs = [job for replay in replays for job in replay.of_size(queue, *span)]
            yield {
                "way": way.__name__,
                "queue": queue.name,
                "size": name,
                "jobs": len(jobs),
                "in_time": sum(job.is_in_time for job in jobs) / len(jobs),
                "worth": sum(job.worth for job in jobs) / sum(job.size for job in jobs),
            }


if __name__ == "__main__":
    main()
