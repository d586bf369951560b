"""Threads shared among the links to the workers of a large pool."""

import threading

from papayapick.clock import ManualClock
from papayapick.pool.workers.leases import LEASE_SECONDS
from papayapick.pool.workers.link_threads import LinkThreads

POLL_SECONDS = 0.6
WORKERS = 1500
THREADS = 700


class Link:
    """Stand in for the link to a worker that holds back each answer."""

    def __init__(self, number, clock, on_poll=lambda link: None):
        self.worker = f"w{number}"
        self.is_stopped = False
        self.due_at = 0.0
        self.polled_at = []
        self._clock = clock
        self._on_poll = on_poll

    def is_due(self):
        return self._clock.monotonic() >= self.due_at

    def pause(self, seconds):
        self.due_at = self._clock.monotonic() + seconds

    def wait_until_due(self):
        self._clock.advance(max(0.0, self.due_at - self._clock.monotonic()))

    def poll_once(self, share):
        self.polled_at.append(self._clock.monotonic())
        self._clock.advance(share * POLL_SECONDS)
        self._on_poll(self)


class Loops:
    """Collect the loops that would run in threads."""

    def __init__(self):
        self.steps = []

    def submit(self, name, step):
        self.steps.append(step)


def test_each_link_of_a_small_pool_has_a_thread():
    loops, clock = Loops(), ManualClock()
    threads = LinkThreads(clock, loops.submit)
    for number in range(THREADS):
        threads.add(Link(number, clock))
    assert len(loops.steps) == THREADS


def test_links_of_a_large_pool_share_threads_evenly():
    """Guards against links without a thread, whose workers are never polled."""
    loops, clock = Loops(), ManualClock()
    threads = LinkThreads(clock, loops.submit, THREADS)
    for number in range(WORKERS):
        threads.add(Link(number, clock))
    counts = [loop.count for loop in threads._loops]
    assert len(loops.steps) == THREADS
    assert (sum(counts), min(counts), max(counts)) == (WORKERS, 2, 3)


def test_links_that_share_a_thread_are_polled_as_often_as_others():
    """Guards against leases that lapse, as too many workers wait for their turn."""
    loops, clock = Loops(), ManualClock()
    threads = LinkThreads(clock, loops.submit, max_threads=1)

    def stop_after_some(link):
        link.is_stopped = len(link.polled_at) == 20

    links = [Link(number, clock, stop_after_some) for number in range(3)]
    for link in links:
        threads.add(link)
    loops.steps[0]()
    for link in links:
        waits = [
            b - a for a, b in zip(link.polled_at, link.polled_at[1:], strict=False)
        ]
        assert max(waits) < 1.01 * POLL_SECONDS < LEASE_SECONDS


def test_silent_link_does_not_delay_the_others_of_its_thread():
    loops, clock = Loops(), ManualClock()
    threads = LinkThreads(clock, loops.submit, max_threads=1)

    def on_poll(link):
        if link.worker == "w0":
            link.pause(5.0)
        link.is_stopped = clock.monotonic() > 20.0

    links = [Link(number, clock, on_poll) for number in range(2)]
    for link in links:
        threads.add(link)
    loops.steps[0]()
    waits = [
        b - a for a, b in zip(links[1].polled_at, links[1].polled_at[1:], strict=False)
    ]
    assert len(links[0].polled_at) <= 5
    assert max(waits) < 1.01 * POLL_SECONDS


def test_link_is_not_added_to_a_loop_that_has_ended():
    """Guards against a worker that is never polled, as its thread has just ended."""
    loops, clock = Loops(), ManualClock()
    threads = LinkThreads(clock, loops.submit, max_threads=1)
    first = Link(0, clock)
    threads.add(first)
    first.is_stopped = True
    loops.steps[0]()
    threads.add(Link(1, clock))
    assert len(loops.steps) == 2


def test_threads_are_counted_under_concurrent_changes():
    loops, clock = Loops(), ManualClock()
    threads = LinkThreads(clock, loops.submit, max_threads=8)
    adders = [
        threading.Thread(target=lambda n=n: threads.add(Link(n, clock)))
        for n in range(64)
    ]
    for adder in adders:
        adder.start()
    for adder in adders:
        adder.join()
    assert [loop.count for loop in threads._loops] == [8] * 8
