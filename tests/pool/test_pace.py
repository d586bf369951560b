"""Paces of filling tasks: what an owner orders when it does not know them."""

import pytest

from papayapick.jobs import JobDocument, Step, TaskKey
from papayapick.ledger import Amounts
from papayapick.platform.exceptions import CheckFailed, WorkerSilent
from papayapick.pool.reports import EndReport, RunReport, WorkerReport
from tests.pool.owners import ID, host_with_two_workers, owner_of, report, store_job

SERVING = TaskKey(ID, 0, 0, 0)
FILLER = TaskKey(ID, 0, 1, 0)
TAIL_LIMIT_SECONDS = 0.1
# Tails in milliseconds, far below their limit, between the bounds, and near it.
LOW, MIDDLE, HIGH = 20, 65, 90
# Figures are of half a second, and a worker tells them every 0.4 s.
LOOK_SECONDS = 0.5


class Client:
    """Carry out orders on pace; lose the answers, or refuse, for a while."""

    def __init__(self):
        self.ordered = []
        self.pace_there = 100
        self.loses_answers = False
        self.refuses = False

    def pace(self, key, attempt, percent, epoch):
        assert (key, attempt) == (FILLER, 1)
        self.ordered.append(percent)
        if self.refuses:
            raise CheckFailed(address="w1", status=503, body="")
        self.pace_there = percent
        if self.loses_answers:
            raise WorkerSilent(worker="w1")


class Pool:
    """Hold an owner that took over a worker with a filler.

    Parameters
    ----------
    pace_there : int
        At which the owner before has left the filler.
    is_serving : bool
        Whether a task with a response time to keep works beside it.
    """

    def __init__(self, pace_there, is_serving=True):
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
        self.client.pace_there = pace_there
        report(self.owner, "w2")

    @property
    def filler(self):
        return self.owner.rooms.get("w1").runs[(FILLER, 1)]

    def know_pace(self, percent):
        """Let the owner have set a pace."""
        self.look(MIDDLE)
        self.filler.pace = self.client.pace_there = percent
        self.client.ordered.clear()

    def look(self, tail, looks=1, attempt=1, others=()):
        """Take in lists with a tail, each followed by the orders it led to.

        Parameters
        ----------
        tail : int or None
            Of the task that serves, in milliseconds.
        looks : int
        attempt : int
            Of the task that serves; those before have failed.
        others : sequence of RunReport
            Listed beside it.
        """
        for _ in range(looks):
            self.host.clock.advance(LOOK_SECONDS)
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
            self.owner.lists.note_report(link, found, now)
            self._carry_out()

    def _carry_out(self):
        orders = self.owner.orders
        tasks, orders._stop_executor.tasks = orders._stop_executor.tasks, []
        for step, args in tasks:
            step(*args)


@pytest.mark.parametrize("pace_there", [0, 10, 100])
def test_filler_that_was_taken_over_is_not_held_down(pace_there):
    """A filler slowed to nothing stands still for good after a takeover.

    Its new owner took its pace for full, so that it had nothing to order while the
    tail beside it was low.
    """
    pool = Pool(pace_there)
    pool.look(LOW, looks=8)
    assert pool.client.pace_there == 100


def test_filler_that_was_taken_over_beside_nobody_works_at_full_pace():
    """A filler stands still after a takeover on a worker where nobody is served."""
    pool = Pool(pace_there=0, is_serving=False)
    pool.look(LOW)
    assert pool.client.pace_there == 100


@pytest.mark.parametrize("pace_there", [0, 10, 40])
def test_filler_that_was_taken_over_is_not_sped_up_beside_a_high_tail(pace_there):
    """Users wait too long after a takeover: what disturbed them was sped up.

    Its new owner took its pace for full and "slowed" it to 50 percent.
    """
    pool = Pool(pace_there)
    pool.look(HIGH)
    assert pool.client.ordered
    assert max(pool.client.ordered) <= pace_there


def test_filler_that_was_taken_over_is_left_alone_beside_a_fair_tail():
    pool = Pool(pace_there=10)
    pool.look(MIDDLE, looks=4)
    assert pool.client.ordered == []


def test_filler_is_not_held_down_by_an_order_whose_answer_was_lost():
    """A filler works at half its pace for good though nobody is disturbed.

    The order that slowed it was carried out and its answer lost; its owner believed
    it at full pace, and had nothing to order.
    """
    pool = Pool(pace_there=100)
    pool.know_pace(100)
    pool.client.loses_answers = True
    pool.look(HIGH)
    pool.client.loses_answers = False
    assert pool.client.pace_there < 100
    pool.look(LOW, looks=8)
    assert pool.client.pace_there == 100


def test_filler_is_not_sped_up_by_an_order_that_follows_a_lost_answer():
    """Users wait longer, as a filler is set above what a lost order has left it at."""
    pool = Pool(pace_there=100)
    pool.know_pace(20)
    pool.client.loses_answers = True
    pool.look(HIGH)
    pool.client.loses_answers = False
    first = pool.client.pace_there
    pool.look(HIGH)
    assert pool.client.pace_there <= first


def test_refused_order_leaves_the_pace_as_it_was():
    pool = Pool(pace_there=100)
    pool.know_pace(80)
    pool.client.refuses = True
    pool.look(HIGH)
    pool.client.refuses = False
    pool.look(HIGH)
    assert pool.client.ordered == [40, 40]


# Figures that are not there yet.


@pytest.mark.parametrize("measurement", [0, None])
def test_filler_is_not_sped_up_by_a_tail_that_was_not_measured(measurement):
    """Users of a lasting task wait too long just after it has begun.

    Its worker had no half second of figures yet, which was taken for a tail of
    nothing, so that the filler beside it was sped up.
    """
    pool = Pool(pace_there=20)
    pool.know_pace(20)
    pool.look(measurement, attempt=2)
    assert pool.client.ordered == []


def test_filler_is_not_sped_up_by_a_tail_of_less_than_its_time():
    """A tail that grows in its first half second was taken for a low one."""
    pool = Pool(pace_there=20)
    pool.know_pace(20)
    pool.look(LOW, attempt=2)
    assert pool.client.ordered == []


def test_filler_is_slowed_by_a_high_tail_of_less_than_its_time():
    """What users waited too long for in a part of the time is late in any case."""
    pool = Pool(pace_there=20)
    pool.know_pace(20)
    pool.look(HIGH, attempt=2)
    assert pool.client.ordered == [10]


def test_filler_is_left_alone_while_its_worker_tells_no_tail():
    pool = Pool(pace_there=20)
    pool.know_pace(20)
    pool.look(None, looks=4)
    assert pool.client.ordered == []


def test_filler_is_sped_up_beside_a_task_that_nobody_calls():
    """A tail of nothing is a true figure once the task was at work for its time."""
    pool = Pool(pace_there=20)
    pool.know_pace(20)
    pool.look(0, looks=12)
    assert pool.client.pace_there == 100


def test_filler_is_slowed_beside_a_high_tail_though_another_is_not_measured():
    """One task whose tail is not known must not hide that another's is high."""
    pool = Pool(pace_there=20)
    pool.know_pace(20)
    other = TaskKey(ID, 0, 0, 1)
    pool.look(HIGH, others=[RunReport(other, 1, percent=100, measurement=None)])
    assert pool.client.ordered == [10]


def test_filler_is_not_held_down_by_a_lost_order_that_is_carried_out_late():
    """A filler creeps for good: a lost order was carried out after newer ones."""
    pool = Pool(pace_there=100)
    pool.know_pace(20)
    pool.client.loses_answers = True
    pool.look(HIGH)
    pool.client.loses_answers = False
    late = pool.client.pace_there
    pool.look(LOW, looks=8)
    assert pool.client.pace_there == 100
    pool.client.pace_there = late
    pool.look(LOW, looks=5)
    assert pool.client.pace_there == 100


def test_orders_are_not_repeated_where_each_had_its_answer():
    pool = Pool(pace_there=100)
    pool.know_pace(100)
    pool.look(LOW, looks=12)
    assert pool.client.ordered == []
