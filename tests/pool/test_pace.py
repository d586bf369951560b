"""Pacing of fillers: orders while the current pace or the tail is unknown."""

import pytest

from papayapick.jobs import JobDocument, Step, TaskKey
from papayapick.ledger import Amounts
from papayapick.platform.exceptions import CallFailed, WorkerSilent
from papayapick.pool.workers.reports import EndReport, RunReport, WorkerReport
from tests.pool.owners import ID, host_with_two_workers, owner_of, report, store_job

SERVING = TaskKey(ID, 0, 0, 0)
FILLER = TaskKey(ID, 0, 1, 0)
TAIL_LIMIT_SECONDS = 0.1
# Tails in milliseconds: far below the limit, between the bounds, and near the limit.
LOW, MIDDLE, HIGH = 20, 65, 90
# A figure is measured over half a second, and a worker reports it every 0.4 s.
REPORT_INTERVAL_SECONDS = 0.5


class Client:
    """Execute orders on pace; lose the answers or refuse on request."""

    is_refused = False

    def __init__(self):
        self.ordered = []
        self.actual_pace = 100
        self.loses_answers = False
        self.refuses = False

    def pace(self, key, attempt, percent, epoch):
        assert (key, attempt) == (FILLER, 1)
        self.ordered.append(percent)
        if self.refuses:
            raise CallFailed(address="w1", status=503, body="")
        self.actual_pace = percent
        if self.loses_answers:
            raise WorkerSilent(worker="w1")


class Pool:
    """Hold an owner that has taken over a worker with a filler.

    Parameters
    ----------
    actual_pace : int
        Pace at which the previous owner left the filler.
    is_serving : bool
        Whether a task with a response time limit runs beside it.
    """

    def __init__(self, actual_pace, is_serving=True):
        self.is_serving = is_serving
        self.host = host_with_two_workers()
        lasting = Step(
            2,
            Amounts(1000, 10),
            is_lasting=True,
            tail_limit_seconds=TAIL_LIMIT_SECONDS,
        )
        filler = Step(1, Amounts(1000, 10), is_filler=True)
        started = {"attempts": {"0": 1}, "places": {"0": "w1"}}
        record = {"status": "running", "occurrences": {"0": [started, started]}}
        document = JobDocument(ID, "q", "pool", "t", [lasting, filler], 0.0)
        store_job(self.host, document, record)
        self.owner = owner_of(self.host)
        self.client = self.owner.links_by_worker["w1"].client = Client()
        self.client.actual_pace = actual_pace
        report(self.owner, "w2")

    @property
    def filler(self):
        return self.owner.rooms.get("w1").runs[(FILLER, 1)]

    def set_known_pace(self, percent):
        """Make a pace both known to the owner and applied by the worker."""
        self.report_tail(MIDDLE)
        self.filler.pace = self.client.actual_pace = percent
        self.client.ordered.clear()

    def report_tail(self, tail, reports=1, attempt=1, others=()):
        """Apply reports with a tail and execute the orders that follow from each.

        Parameters
        ----------
        tail : int or None
            Tail of the serving task in milliseconds.
        reports : int
            Number of reports.
        attempt : int
            Attempt of the serving task; earlier ones have failed.
        others : sequence of RunReport
            Further runs to list.
        """
        for _ in range(reports):
            self.host.clock.advance(REPORT_INTERVAL_SECONDS)
            runs = [RunReport(FILLER, 1, percent=10, measurement=500), *others]
            if self.is_serving:
                runs.append(RunReport(SERVING, attempt, percent=100, measurement=tail))
            link = self.owner.links_by_worker["w1"]
            now = self.host.clock.monotonic()
            ended = [
                EndReport(number, SERVING, number, "failed")
                for number in range(1, attempt)
            ]
            found = WorkerReport(50.0, 1, runs, ended)
            self.owner.report_handler.note_report(link, found, now)
            self._execute_orders()

    def _execute_orders(self):
        orders = self.owner.orders
        tasks, orders._stop_executor.tasks = orders._stop_executor.tasks, []
        for step, args in tasks:
            step(*args)


@pytest.mark.parametrize("actual_pace", [0, 10, 100])
def test_filler_returns_to_full_pace_after_a_takeover(actual_pace):
    """Guards against a slowed filler that makes no progress after a takeover.

    A new owner that assumes the full pace has nothing to order while the tail is low.
    """
    pool = Pool(actual_pace)
    pool.report_tail(LOW, reports=8)
    assert pool.client.actual_pace == 100


def test_filler_without_serving_tasks_gets_full_pace_after_a_takeover():
    """Guards against a filler that stays stopped on a worker without serving tasks."""
    pool = Pool(actual_pace=0, is_serving=False)
    pool.report_tail(LOW)
    assert pool.client.actual_pace == 100


@pytest.mark.parametrize("actual_pace", [0, 10, 40])
def test_filler_is_not_sped_up_beside_a_high_tail_after_a_takeover(actual_pace):
    """Guards against longer response times after a takeover.

    A new owner that assumes the full pace "slows" the filler to 50 percent, which is
    faster than its actual pace.
    """
    pool = Pool(actual_pace)
    pool.report_tail(HIGH)
    assert pool.client.ordered
    assert max(pool.client.ordered) <= actual_pace


def test_filler_keeps_its_pace_beside_a_medium_tail_after_a_takeover():
    pool = Pool(actual_pace=10)
    pool.report_tail(MIDDLE, reports=4)
    assert pool.client.ordered == []


def test_filler_returns_to_full_pace_after_a_lost_answer():
    """Guards against a filler that stays at half its pace beside a low tail.

    The order that slowed it was executed and the answer lost. An owner that assumes the
    full pace has nothing to order.
    """
    pool = Pool(actual_pace=100)
    pool.set_known_pace(100)
    pool.client.loses_answers = True
    pool.report_tail(HIGH)
    pool.client.loses_answers = False
    assert pool.client.actual_pace < 100
    pool.report_tail(LOW, reports=8)
    assert pool.client.actual_pace == 100


def test_filler_is_not_sped_up_by_the_order_after_a_lost_answer():
    """Guards against a pace above the one that the unanswered order has set."""
    pool = Pool(actual_pace=100)
    pool.set_known_pace(20)
    pool.client.loses_answers = True
    pool.report_tail(HIGH)
    pool.client.loses_answers = False
    first = pool.client.actual_pace
    pool.report_tail(HIGH)
    assert pool.client.actual_pace <= first


def test_refused_order_leaves_the_known_pace_unchanged():
    pool = Pool(actual_pace=100)
    pool.set_known_pace(80)
    pool.client.refuses = True
    pool.report_tail(HIGH)
    pool.client.refuses = False
    pool.report_tail(HIGH)
    assert pool.client.ordered == [40, 40]


# Figures that are not available yet.


@pytest.mark.parametrize("measurement", [0, None])
def test_filler_is_not_sped_up_by_an_unmeasured_tail(measurement):
    """Guards against long response times just after a lasting task has started.

    Its worker has not measured half a second yet. Taken for a tail of 0, the missing
    figure would have the filler sped up.
    """
    pool = Pool(actual_pace=20)
    pool.set_known_pace(20)
    pool.report_tail(measurement, attempt=2)
    assert pool.client.ordered == []


def test_filler_is_not_sped_up_by_an_incomplete_low_tail():
    """Guards against speeding up by a tail that grows in its first half second."""
    pool = Pool(actual_pace=20)
    pool.set_known_pace(20)
    pool.report_tail(LOW, attempt=2)
    assert pool.client.ordered == []


def test_filler_is_slowed_by_an_incomplete_high_tail():
    """A tail that is high in part of the interval is also high in the whole."""
    pool = Pool(actual_pace=20)
    pool.set_known_pace(20)
    pool.report_tail(HIGH, attempt=2)
    assert pool.client.ordered == [10]


def test_filler_keeps_its_pace_while_its_worker_reports_no_tail():
    pool = Pool(actual_pace=20)
    pool.set_known_pace(20)
    pool.report_tail(None, reports=4)
    assert pool.client.ordered == []


def test_filler_is_sped_up_beside_a_serving_task_without_requests():
    """A tail of 0 is valid once the task has run for the whole interval."""
    pool = Pool(actual_pace=20)
    pool.set_known_pace(20)
    pool.report_tail(0, reports=12)
    assert pool.client.actual_pace == 100


def test_filler_is_slowed_beside_a_high_tail_and_an_unmeasured_one():
    """Guards against ignoring a high tail because another one is unknown."""
    pool = Pool(actual_pace=20)
    pool.set_known_pace(20)
    other = TaskKey(ID, 0, 0, 1)
    pool.report_tail(HIGH, others=[RunReport(other, 1, percent=100, measurement=None)])
    assert pool.client.ordered == [10]


def test_filler_returns_to_full_pace_after_a_delayed_order():
    """Guards against a filler that stays slow after an out-of-order execution."""
    pool = Pool(actual_pace=100)
    pool.set_known_pace(20)
    pool.client.loses_answers = True
    pool.report_tail(HIGH)
    pool.client.loses_answers = False
    late = pool.client.actual_pace
    pool.report_tail(LOW, reports=8)
    assert pool.client.actual_pace == 100
    pool.client.actual_pace = late
    pool.report_tail(LOW, reports=5)
    assert pool.client.actual_pace == 100


def test_answered_orders_are_not_repeated():
    pool = Pool(actual_pace=100)
    pool.set_known_pace(100)
    pool.report_tail(LOW, reports=12)
    assert pool.client.ordered == []
