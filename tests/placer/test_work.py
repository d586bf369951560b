"""The desk of durable work answers everybody, in time and truthfully."""

import pytest

from papayapick.journal import JournalUnsettled
from papayapick.journal.work import RUNNING, WAITING
from papayapick.placer.exceptions import PlacerError
from tests.failures.lives import DEFERRED, DOWN, LATE, LOST, ONCE, SHARD, Cell

ID = f"{SHARD}.k1"


@pytest.fixture
def cell():
    with Cell() as cell:
        yield cell


def test_end_of_the_wait_is_answered_at_once(cell):
    """A manager waits eight seconds for a refresh that finds no slot.

    The gateway's own timeout said "unknown" some time later, though the work
    was taken on and was waiting all along. The placer says so at the end of
    the wait, and the caller gets the place to ask at.
    """
    life = cell.start("placer-1")
    answer = life.submit(ONCE, wait=8.0)
    life.settle()
    life.clock.advance(7.9)
    life.desk.answer_overdue()
    assert not answer.done()
    life.clock.advance(0.2)
    life.desk.answer_overdue()
    assert answer.result(0).state == WAITING


def test_loss_of_the_shard_is_answered_at_once(cell):
    """A caller waits for a refresh when the placer loses its shard.

    The item was dropped and the caller left to its timeout. Now it hears that
    the work went to another owner, without a word on whether it ran.
    """
    life = cell.start("placer-1")
    answer = life.submit(ONCE)
    life.settle()
    life.owner.lose(life.shard)
    error = answer.exception(0)
    assert isinstance(error, PlacerError)
    assert (error.code, error.outcome) == ("placer.work-moved", "unknown")


def test_cancel_that_comes_after_the_start_does_not_say_not_run(cell):
    """A member cancels a fee run at the moment it starts.

    Cancel and start came in one segment, the start first. The cancel was then
    told as "not run" while the run went out.
    """
    life = cell.start("placer-1")
    life.submit(ONCE)
    life.settle()
    with life.held():
        starting = life.start_run()
        life.wait_for_records(1)
        cancelled = life.desk.cancel(life.shard, ID)
    starting.join()
    life.settle()
    assert cell.runs(ID) == 1
    assert cancelled.result(0).outcome != "not_run"
    assert life.shard.book.get(ID).ended.outcome == "done"


def test_cancel_that_comes_before_the_start_sends_nothing(cell):
    """The same race with the cancel first: "not run" is told and is true."""
    life = cell.start("placer-1")
    life.submit(ONCE)
    life.settle()
    with life.held():
        cancelled = life.desk.cancel(life.shard, ID)
        starting = life.start_run()
        life.wait_for_records(2)
    starting.join()
    life.settle()
    assert cancelled.result(0).outcome == "not_run"
    assert cell.runs(ID) == 0


@pytest.mark.parametrize("has_successor", [False, True])
def test_deadline_after_a_run_that_may_have_been_is_not_not_run(cell, has_successor):
    """A comparison is sent, its answer is lost, and its deadline passes.

    The second try found the deadline over and told the owner "not run", though
    the first had run.
    """
    life = cell.start("placer-1", {3: LOST})
    life.submit(DEFERRED)
    life.settle()
    life.run_next()
    assert cell.runs(ID) == 1
    if has_successor:
        life.end()
        life = cell.start("placer-2")
    cell.clock.advance(700)
    life.run_all()
    life.settle()
    assert life.shard.book.get(ID).ended.outcome == "unknown"


def test_deadline_before_any_send_is_not_run(cell):
    """Nothing was sent: the connection was refused, so "not run" is true."""
    life = cell.start("placer-1", {3: DOWN})
    life.submit(ONCE)
    life.settle()
    life.run_next()
    cell.clock.advance(700)
    life.run_all()
    life.settle()
    assert cell.runs(ID) == 0
    assert life.shard.book.get(ID).ended.outcome == "not_run"


@pytest.mark.parametrize("fault", [DOWN, LOST, LATE])
def test_key_whose_acceptance_is_open_is_never_told_not_run(cell, fault):
    """The table's answer to an acceptance is lost; the caller asks again.

    The second request under the key was refused as "not run" while the first
    was written and about to run.
    """
    faults = {1: fault, **dict.fromkeys(range(2, 6), DOWN)}
    life = cell.start("placer-1", faults)
    first = life.submit(ONCE)
    assert isinstance(first.exception(5), JournalUnsettled)
    second = life.submit(ONCE)
    assert isinstance(second.exception(5), JournalUnsettled)
    life.settle()
    life.run_all()
    # A late write finds the empty segment that settled it.
    assert cell.runs(ID) == (1 if fault == LOST else 0)


def test_result_that_cannot_be_read_back_is_told(cell):
    """A large result is stored, and the object store goes down at the answer.

    The error was swallowed in a callback and the caller left to its timeout.
    """
    life = cell.start("placer-1")
    payload = b'"' + b"x" * 9000 + b'"'
    answer = life.submit(ONCE, payload=payload)
    life.settle()
    # The first read is the payload's.
    life.pool.failing_object_read = 2
    life.run_next()
    life.settle()
    assert answer.exception(5).outcome == "unknown"
    assert life.shard.book.get(ID).ended.outcome == "done"


def test_fault_in_a_runner_neither_loses_nor_repeats_work(cell):
    """The code that handles an answer meets a fault of its own.

    The item was dropped: nobody was answered and no successor came. A run that
    may have been is ended as unknown, and never sent again.
    """
    life = cell.start("placer-1")
    answer = life.submit(ONCE)
    life.settle()
    life.break_next_answer()
    life.run_all()
    life.settle()
    assert cell.runs(ID) == 1
    assert answer.result(0).outcome == "unknown"


def test_wave_of_cancellations_shares_segments(cell):
    """An operator cancels 10,000 runs at once; each cost a write of its own."""
    life = cell.start("placer-1")
    for number in range(10_000):
        life.submit(DEFERRED, key=f"c{number}", wait=0)
    life.settle()
    writes = cell.platform.table.writes
    ids = [item.request_id for item in life.shard.book.items]
    with life.held():
        answers = [life.desk.cancel(life.shard, found) for found in ids]
        again = life.desk.cancel(life.shard, ids[0])
    life.settle()
    # 10,000 records at 256 to a segment, and one compaction.
    assert cell.platform.table.writes - writes <= 41
    assert {answer.result(5).outcome for answer in answers} == {"not_run"}
    assert again.result(5).outcome == "not_run"
    assert life.desk.take(0) is None or not life.run_all()
    assert not cell.platform.instances.runs()


def test_state_of_work_that_was_put_back_unsent(cell):
    life = cell.start("placer-1", {3: DOWN})
    life.submit(ONCE)
    life.settle()
    life.run_next()
    assert life.shard.book.get(ID).state == RUNNING
    assert not life.shard.book.get(ID).may_have_run
