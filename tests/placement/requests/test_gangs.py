"""Starts of jobs with several members: all or none, in order, without starvation."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from papayapick.ledger import Amounts, HostLedger
from papayapick.placement.requests import (
    Backfill,
    BestFit,
    DeadlineOrder,
    FirstComeFirstServed,
    FirstThatFits,
    JobQueue,
    WaitingJob,
)
from papayapick.placement.requests.gangs import promise_start, reserve_all

CORE = Amounts(1000, 1024)


def ledger_of(workers, cores=4):
    ledger = HostLedger()
    for number in range(workers):
        ledger.add(f"worker-{number}", Amounts(cores * 1000, cores * 1024))
        ledger.open(f"worker-{number}")
    return ledger


def job(name, members=1, cores=1, seconds=10.0, **more):
    demand = Amounts(cores * 1000, cores * 1024)
    return WaitingJob(name, demand, members, seconds, **more)


def names_of(starts):
    return [start.job.name for start in starts]


def free_cores(ledger):
    return sum(ledger.free(name).processors for name in ledger.names) // 1000


def test_a_job_of_which_one_member_does_not_fit_reserves_no_room():
    """Guards against a deadlock of two jobs.

    Each has reserved room for some of its members and waits for room that the other
    has reserved, and no third job can start either.
    """
    ledger = ledger_of(4)
    assert reserve_all(ledger, BestFit(), job("a", members=3, cores=3)) is not None
    assert reserve_all(ledger, BestFit(), job("b", members=2, cores=3)) is None
    assert free_cores(ledger) == 16 - 9
    assert reserve_all(ledger, BestFit(), job("c", cores=4)) is not None


def test_a_stream_of_small_jobs_does_not_starve_a_large_one():
    """Guards against starvation of a job of four members in a cell without overload.

    Whenever room for one member becomes free, a small job takes it, so there is never
    room for all four at once.
    """
    started = {}
    for policy in (FirstThatFits(), Backfill()):
        queue = JobQueue(ledger_of(4, cores=1), policy)
        for number in range(4):
            queue.add(job(f"first-{number}", seconds=10.0 + number))
        running = {one.job.name: one.end for one in queue.choose_starts(0.0)}
        queue.add(job("large", members=4, seconds=10.0, arrival=0.0))
        for second in range(1, 60):
            queue.add(job(f"small-{second}", seconds=10.0, arrival=float(second)))
            for name in [name for name, end in running.items() if end <= second]:
                queue.finish(name)
                del running[name]
            for one in queue.choose_starts(float(second)):
                running[one.job.name] = one.end
                started.setdefault((type(policy), one.job.name), second)
    assert (FirstThatFits, "large") not in started
    assert started[Backfill, "large"] == 13


def test_short_jobs_are_backfilled_while_a_large_one_waits():
    """Guards against half of the cell idling while a large job waits for the rest.

    A short job ends before the large one can start; a long one would delay it.
    """
    queue = JobQueue(ledger_of(2, cores=1))
    queue.add(job("running", seconds=100.0))
    assert names_of(queue.choose_starts(0.0)) == ["running"]
    queue.add(job("large", members=2, seconds=50.0, arrival=1.0))
    queue.add(job("long", seconds=100.0, arrival=2.0))
    queue.add(job("short", seconds=90.0, arrival=3.0))
    assert names_of(queue.choose_starts(4.0)) == ["short"]
    queue.finish("short")
    queue.finish("running")
    assert names_of(queue.choose_starts(94.0)) == ["large"]


def test_a_cancelled_job_loses_its_promised_start():
    """Guards against jobs that wait for a cancelled one.

    The large job is cancelled while room is held for it, and no other change makes the
    queue choose anew.
    """
    queue = JobQueue(ledger_of(2, cores=1))
    queue.add(job("running", seconds=100.0))
    queue.choose_starts(0.0)
    queue.add(job("large", members=2, arrival=1.0))
    queue.add(job("long", seconds=500.0, arrival=2.0))
    assert queue.choose_starts(3.0) == []
    queue.discard_where(lambda name: name == "large")
    assert names_of(queue.choose_starts(4.0)) == ["long"]


def test_ageing_puts_a_job_before_later_ones_with_nearer_deadlines():
    """Guards against starvation of a job with a far deadline by a stream of others."""
    order = DeadlineOrder(ageing_seconds=600.0, margin_seconds=0.0)
    far = job("far", deadline=1e6, arrival=0.0)
    near = [
        job(f"near-{at}", deadline=at + 100.0, arrival=float(at))
        for at in range(0, 1200, 100)
    ]
    ordered = sorted([far, *near], key=order.key)
    assert ordered.index(far) == 6


@pytest.mark.parametrize("members", [1, 3])
def test_overdue_jobs_are_returned_at_once(members):
    queue = JobQueue(ledger_of(1, cores=1))
    queue.add(job("running", seconds=100.0))
    queue.choose_starts(0.0)
    queue.add(job("late", members=members, deadline=5.0))
    assert queue.take_overdue(5.0) == []
    assert queue.take_overdue(5.1) == ["late"]
    assert len(queue) == 0


JOBS = st.lists(
    st.tuples(
        st.integers(1, 8),
        st.integers(1, 4),
        st.integers(1, 40),
        st.floats(0.1, 1.0),
        st.integers(0, 15),
    ),
    min_size=2,
    max_size=25,
)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(JOBS)
def test_a_promised_start_is_not_delayed_by_backfilled_jobs(drawn):
    """Guards against a large job that starts later than promised.

    A backfilled job would still occupy the room. Runs end at random times, but never
    after their maximum run time.
    """
    ledger = ledger_of(4)
    policy = Backfill()
    queue = JobQueue(ledger, policy)
    ends, promised, now, started = {}, {}, 0.0, set()
    arrivals, shares = [], {}
    for number, (members, cores, bound, share, gap) in enumerate(drawn):
        name = f"job-{number}"
        arrival = (arrivals[-1].arrival if arrivals else 0.0) + gap
        max_members = 4 * (4 // cores)
        arrivals.append(
            job(name, min(members, max_members), cores, float(bound), arrival=arrival)
        )
        shares[name] = share
    while arrivals or ends or len(queue):
        now = min([one.arrival for one in arrivals[:1]] + list(ends.values()))
        if arrivals and arrivals[0].arrival <= now:
            queue.add(arrivals.pop(0))
        for name in [name for name, end in ends.items() if end <= now]:
            queue.finish(name)
            del ends[name]
        for one in queue.choose_starts(now):
            name = one.job.name
            assert now <= promised.get(name, now) + 1e-6
            ends[name] = now + one.job.run_seconds * shares[name]
            started.add(name)
        if policy.promised is not None:
            name, start = policy.promised
            promised.setdefault(name, start.time)
    assert started == set(shares)


def test_a_promised_start_counts_only_room_that_fits_a_member():
    ledger = ledger_of(2)
    queue = JobQueue(ledger)
    queue.add(job("a", cores=3, seconds=10.0))
    queue.add(job("b", cores=3, seconds=20.0))
    queue.choose_starts(0.0)
    start = promise_start(ledger, job("c", cores=4), queue.running, 0.0)
    assert start.time == 10.0
    assert (
        promise_start(ledger, job("d", members=3, cores=3), queue.running, 0.0) is None
    )


def test_room_kept_for_accelerators_is_not_promised_to_other_jobs():
    """Guards against a queue that blocks although jobs behind the first fit.

    The first job is promised room that it can never reserve, since the host keeps it
    for jobs that use its idle accelerators.
    """
    ledger = ledger_of(1, cores=4)
    ledger.add("accelerated", Amounts(8000, 8192, 8))
    ledger.open("accelerated")
    queue = JobQueue(ledger)
    queue.add(job("running", cores=4, seconds=10.0))
    queue.choose_starts(0.0)
    queue.add(job("first", members=2, cores=4, arrival=1.0))
    queue.add(job("behind", cores=1, seconds=5.0, arrival=2.0))
    assert names_of(queue.choose_starts(3.0)) == ["behind"]
    queue.finish("behind")
    queue.finish("running")
    assert names_of(queue.choose_starts(10.0)) == ["first"]


def test_deferred_job_whose_latest_start_is_near_precedes_urgent_jobs():
    """Guards against deferred jobs that miss their deadline behind urgent ones."""
    queue = JobQueue(ledger_of(1, cores=1), order=DeadlineOrder(margin_seconds=60.0))
    queue.add(job("running", seconds=10.0))
    queue.choose_starts(0.0)
    queue.add(job("deferred", deadline=100.0, arrival=0.0))
    queue.add(job("rush-1", is_urgent=True, arrival=1.0))
    queue.add(job("rush-2", is_urgent=True, arrival=2.0))
    order = []
    for now in (10.0, 40.0, 50.0):
        queue.finish(order[-1] if order else "running")
        order += names_of(queue.choose_starts(now))
    assert order == ["rush-1", "deferred", "rush-2"]


def test_paused_jobs_are_not_started_again_while_urgent_jobs_wait():
    """Guards against jobs that are paused and started repeatedly without progress.

    Room is held for the first urgent job only. A paused job would take the room that
    the second needs, and be paused again.
    """
    queue = JobQueue(ledger_of(2, cores=1))
    for name in ("low-1", "low-2"):
        queue.add(job(name, seconds=900.0, deadline=1e5, can_pause=True))
    queue.choose_starts(0.0)
    for name in ("rush-1", "rush-2"):
        queue.add(job(name, seconds=600.0, is_urgent=True, arrival=1.0))
    assert queue.choose_starts(1.0) == []
    pauses = queue.choose_pauses(1.0)
    assert len(pauses) == 2
    assert queue.choose_pauses(1.0) == []
    starts = []
    for running in pauses:
        queue.finish(running.job.name)
        queue.add(running.job.requeued())
        starts += names_of(queue.choose_starts(3.0))
    assert starts == ["rush-1", "rush-2"]


@pytest.mark.parametrize("policy", [Backfill, FirstComeFirstServed, FirstThatFits])
def test_a_job_added_to_an_empty_queue_starts(policy):
    """Guards against a job that waits in an idle cell until another is added or ends.

    Nothing but the added job has changed since the last choice of starts, and it must
    not be taken for a job behind one that waits.
    """
    queue = JobQueue(ledger_of(2), policy())
    queue.add(job("first"))
    assert names_of(queue.choose_starts(0.0)) == ["first"]
    queue.add(job("second"))
    assert names_of(queue.choose_starts(1.0)) == ["second"]
