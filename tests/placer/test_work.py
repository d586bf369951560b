"""The work dispatcher answers every caller in time and with the right outcome."""

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
    """Guards against outcome unknown for work that waits for a slot.

    A caller waits eight seconds for admitted work. If the placer did not answer at
    the end of that wait, the gateway's own timeout would answer "unknown" later.
    The placer answers with the state, and the caller can query the request.
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
    """Guards against callers left to their timeout when a shard is lost.

    The caller gets an error that the work has moved to another owner; whether it
    ran is unknown.
    """
    life = cell.start("placer-1")
    answer = life.submit(ONCE)
    life.settle()
    life.owner.lose(life.shard)
    error = answer.exception(0)
    assert isinstance(error, PlacerError)
    assert (error.code, error.outcome) == ("placer.work-moved", "unknown")


def test_cancellation_after_the_start_does_not_answer_not_run(cell):
    """Guards against "not run" for a cancelled request that is being sent.

    Start and cancellation are in one segment of the journal, the start first.
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
    assert life.shard.work_index.get(ID).ended.outcome == "done"


def test_cancellation_before_the_start_sends_nothing(cell):
    """In the same race with the cancellation first, "not run" is correct."""
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
def test_deadline_after_a_possible_run_does_not_end_as_not_run(cell, has_successor):
    """Guards against "not run" for a request whose first attempt has run.

    The answer to the first attempt is lost, and the second attempt finds that the
    deadline has passed.
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
    assert life.shard.work_index.get(ID).ended.outcome == "unknown"


def test_deadline_before_any_send_is_not_run(cell):
    """The connection was refused and nothing was sent, so "not run" is correct."""
    life = cell.start("placer-1", {3: DOWN})
    life.submit(ONCE)
    life.settle()
    life.run_next()
    cell.clock.advance(700)
    life.run_all()
    life.settle()
    assert cell.runs(ID) == 0
    assert life.shard.work_index.get(ID).ended.outcome == "not_run"


@pytest.mark.parametrize("fault", [DOWN, LOST, LATE])
def test_key_with_an_unsettled_acceptance_is_not_refused_as_not_run(cell, fault):
    """Guards against "not run" for a repeat whose first request is journaled.

    The table's answer to the acceptance record is lost, and the caller repeats the
    request under the same key while the first one may be about to run.
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


def test_result_that_cannot_be_read_is_answered_with_an_error(cell):
    """Guards against a read error that is swallowed in a callback.

    A large result is stored, and the object store fails when the caller is to be
    answered. Without the error the caller would wait until its timeout.
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
    assert life.shard.work_index.get(ID).ended.outcome == "done"


def test_error_in_a_runner_neither_loses_nor_repeats_work(cell):
    """Guards against an item that is dropped after an unexpected exception.

    If the code that handles the answer raises, the caller must be answered all the
    same. A request that may have run is ended as unknown and never sent again.
    """
    life = cell.start("placer-1")
    answer = life.submit(ONCE)
    life.settle()
    life.break_next_answer()
    life.run_all()
    life.settle()
    assert cell.runs(ID) == 1
    assert answer.result(0).outcome == "unknown"


def test_burst_of_cancellations_shares_segments(cell):
    """Guards against one write per cancellation when 10,000 runs are cancelled."""
    life = cell.start("placer-1")
    for number in range(10_000):
        life.submit(DEFERRED, key=f"c{number}", wait=0)
    life.settle()
    writes = cell.platform.table.writes
    ids = [item.request_id for item in life.shard.work_index.items]
    with life.held():
        answers = [life.desk.cancel(life.shard, request_id) for request_id in ids]
        again = life.desk.cancel(life.shard, ids[0])
    life.settle()
    # 10,000 records at 256 to a segment, and one compaction.
    assert cell.platform.table.writes - writes <= 41
    assert {answer.result(5).outcome for answer in answers} == {"not_run"}
    assert again.result(5).outcome == "not_run"
    assert life.desk.take(0) is None or not life.run_all()
    assert not cell.platform.instances.runs()


def test_state_of_work_that_was_queued_again_unsent(cell):
    life = cell.start("placer-1", {3: DOWN})
    life.submit(ONCE)
    life.settle()
    life.run_next()
    assert life.shard.work_index.get(ID).state == RUNNING
    assert not life.shard.work_index.get(ID).may_have_run
