"""Ends of a worker that leaves are read before it has left."""

import pytest

from papayapick.platform.exceptions import WorkerSilent
from papayapick.pool.workers.link_threads import LinkLoop
from papayapick.pool.workers.reports import EndReport, RunReport, WorkerReport
from tests.pool.linked_workers import NonBlockingClock
from tests.pool.owners import job, owner_with, place

# Seconds after the first call. The ends are not recorded in between.
FIRST_END, SECOND_END, EXIT = 0.1, 0.2, 0.26


class LeavingWorker:
    """End two runs, and exit shortly after the second end.

    Attributes
    ----------
    called_at : list of float
        Seconds after the first call.
    """

    is_refused = False

    def __init__(self, owner, link, runs):
        self._owner = owner
        self._clock = clock = link._clock
        self._link = link
        self._runs = runs
        self._began = clock.monotonic()
        self.called_at = []
        self.ends_at = (FIRST_END, SECOND_END)
        self.exits_at = EXIT
        self.loses_call_at = float("inf")
        self.stops_after = 0.8
        self.travel_seconds = 0.0

    def renew(self, epoch, acknowledged, lease_end=None, wait_seconds=0.0, **options):
        called_at = self._now()
        self._owner.ownership_status.note_confirmed(self._clock.monotonic())
        self.called_at.append(called_at)
        if called_at >= self.stops_after:
            self._link.stop()
        self._clock.advance(self.travel_seconds)
        arrived_at = self._now()
        while not self._ended() and self._now() < arrived_at + wait_seconds:
            self._clock.advance(0.01)
        if self._now() >= self.exits_at or self._now() >= self.loses_call_at:
            self.loses_call_at = float("inf")
            raise WorkerSilent(worker="w1")
        ended = self._ended()
        ends = [EndReport(i, *run.name, "done") for i, run in enumerate(ended, 1)]
        runs = [RunReport(*run.name) for run in self._runs if run not in ended]
        shown = self._clock.monotonic()
        self._clock.advance(self.travel_seconds)
        return WorkerReport(shown, 1, runs, ends)

    def _now(self):
        return self._clock.monotonic() - self._began

    def _ended(self):
        pairs = zip(self._runs, self.ends_at, strict=True)
        return [run for run, at in pairs if at <= self._now()]


@pytest.fixture
def link():
    """Return the link to a worker that leaves with two runs."""
    host, owner = owner_with(job(tasks=2))
    owner.rooms.get("w2").is_open = False
    runs = place(owner)
    host.clock.advance(0.1)
    link = owner.links_by_worker["w1"]
    link._clock = host.clock = NonBlockingClock(host.clock.monotonic())
    owner.ownership_status.note_confirmed(host.clock.monotonic())
    link.registration.is_leaving = True
    link.client = LeavingWorker(owner, link, runs)
    return link


def poll(link):
    """Poll until the link is stopped; return the times of the calls."""
    LinkLoop(link._clock, link).run()
    return link.client.called_at


def ends_read(link):
    return link.processed


def most_calls(times, seconds):
    """Return the most calls within a number of seconds."""
    return max(sum(at <= one < at + seconds for one in times) for at in times)


def test_last_end_of_a_leaving_worker_is_read_while_earlier_ends_are_recorded(link):
    """Guards against a second run of a task that was done as its worker left."""
    poll(link)
    assert ends_read(link) == 2


def test_last_end_of_a_leaving_worker_in_another_region_is_read(link):
    """Guards against a second run if calls to the leaving worker take long."""
    link.client.travel_seconds = 0.02
    link.client.ends_at, link.client.exits_at = (0.1, 0.13), 0.17
    poll(link)
    assert ends_read(link) == 2


def test_call_that_gets_no_answer_is_repeated_soon_while_the_worker_leaves(link):
    """Guards against an end that no call is there to bring, after a lost one."""
    link.client.loses_call_at = FIRST_END
    link.client.ends_at = (FIRST_END, FIRST_END)
    poll(link)
    assert ends_read(link) == 2


def test_worker_that_has_left_is_not_called_more_often_than_another(link):
    """Guards against calls to a worker that is gone, each of which costs."""
    link.client.stops_after = 3.0
    times = poll(link)
    assert most_calls([at for at in times if at > 2 * EXIT], 1.0) <= 5


def test_calls_to_a_leaving_worker_are_bounded_while_its_ends_are_not_recorded(link):
    """Guards against polls without a pause while the store is unavailable."""
    link.client.exits_at = 3.0
    link.client.ends_at = (FIRST_END, 3.0)
    link.client.stops_after = 2.0
    assert most_calls(poll(link), 1.0) <= 26


@pytest.mark.parametrize("change", ["stays", "unlisted", "idle"])
def test_other_workers_are_not_polled_more_often(link, change):
    """Guards against a poll of the whole pool without a pause.

    While the store is unavailable, ends are not recorded, and all workers may be
    missing from the list, as if they left.
    """
    link.client.exits_at = 3.0
    link.client.ends_at = (FIRST_END, 3.0)
    link.client.stops_after = 2.0
    if change == "stays":
        link.registration.is_leaving = False
    elif change == "unlisted":
        link.is_listed = False
    else:
        link.client.ends_at = (FIRST_END, FIRST_END)
    assert most_calls(poll(link)[2:], 1.0) <= 4
