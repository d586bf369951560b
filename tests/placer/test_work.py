"""The work dispatcher answers every caller in time and with the right outcome."""

import pytest

from papayapick.journal import JournalUnsettled
from papayapick.journal.work import RUNNING, WAITING
from papayapick.placer.exceptions import PlacerError
from tests.failures.simulation import DEFERRED, DOWN, LATE, LOST, ONCE, SHARD, Cell

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
    placer = cell.start("placer-1")
    answer = placer.submit(ONCE, wait=8.0)
    placer.settle()
    placer.clock.advance(7.9)
    placer.dispatcher.answer_overdue()
    assert not answer.done()
    placer.clock.advance(0.2)
    placer.dispatcher.answer_overdue()
    assert answer.result(0).state == WAITING


def test_loss_of_the_shard_is_answered_at_once(cell):
    """Guards against callers left to their timeout when a shard is lost.

    The caller gets an error that the work has moved to another owner; whether it
    ran is unknown.
    """
    placer = cell.start("placer-1")
    answer = placer.submit(ONCE)
    placer.settle()
    placer.owner.lose(placer.shard)
    error = answer.exception(0)
    assert isinstance(error, PlacerError)
    assert (error.code, error.outcome) == ("placer.work-moved", "unknown")


def test_cancellation_after_the_start_does_not_answer_not_run(cell):
    """Guards against "not run" for a cancelled request that is being sent.

    Start and cancellation are in one segment of the journal, the start first.
    """
    placer = cell.start("placer-1")
    placer.submit(ONCE)
    placer.settle()
    with placer.paused_journal():
        starting = placer.start_run()
        placer.wait_for_records(1)
        cancelled = placer.dispatcher.cancel(placer.shard, ID)
    starting.join()
    placer.settle()
    assert cell.runs(ID) == 1
    assert cancelled.result(0).outcome != "not_run"
    assert placer.shard.work_index.get(ID).ended.outcome == "done"


def test_cancellation_before_the_start_sends_nothing(cell):
    """In the same race with the cancellation first, "not run" is correct."""
    placer = cell.start("placer-1")
    placer.submit(ONCE)
    placer.settle()
    with placer.paused_journal():
        cancelled = placer.dispatcher.cancel(placer.shard, ID)
        starting = placer.start_run()
        placer.wait_for_records(2)
    starting.join()
    placer.settle()
    assert cancelled.result(0).outcome == "not_run"
    assert cell.runs(ID) == 0


@pytest.mark.parametrize("has_successor", [False, True])
def test_deadline_after_a_possible_run_does_not_end_as_not_run(cell, has_successor):
    """Guards against "not run" for a request whose first attempt has run.

    The answer to the first attempt is lost, and the second attempt finds that the
    deadline has passed.
    """
    placer = cell.start("placer-1", {3: LOST})
    placer.submit(DEFERRED)
    placer.settle()
    placer.run_next()
    assert cell.runs(ID) == 1
    if has_successor:
        placer.end()
        placer = cell.start("placer-2")
    cell.clock.advance(700)
    placer.run_all()
    placer.settle()
    assert placer.shard.work_index.get(ID).ended.outcome == "unknown"


def test_deadline_before_any_send_is_not_run(cell):
    """The connection was refused and nothing was sent, so "not run" is correct."""
    placer = cell.start("placer-1", {3: DOWN})
    placer.submit(ONCE)
    placer.settle()
    placer.run_next()
    cell.clock.advance(700)
    placer.run_all()
    placer.settle()
    assert cell.runs(ID) == 0
    assert placer.shard.work_index.get(ID).ended.outcome == "not_run"


@pytest.mark.parametrize("fault", [DOWN, LOST, LATE])
def test_key_with_an_unsettled_acceptance_is_not_refused_as_not_run(cell, fault):
    """Guards against "not run" for a repeat whose first request is journaled.

    The table's answer to the acceptance record is lost, and the caller repeats the
    request under the same key while the first one may be about to run.
    """
    faults = {1: fault, **dict.fromkeys(range(2, 6), DOWN)}
    placer = cell.start("placer-1", faults)
    first = placer.submit(ONCE)
    assert isinstance(first.exception(5), JournalUnsettled)
    second = placer.submit(ONCE)
    assert isinstance(second.exception(5), JournalUnsettled)
    placer.settle()
    placer.run_all()
    # A late write finds the empty segment that settled it.
    assert cell.runs(ID) == (1 if fault == LOST else 0)


def test_result_that_cannot_be_read_is_answered_with_an_error(cell):
    """Guards against a read error that is swallowed in a callback.

    A large result is stored, and the object store fails when the caller is to be
    answered. Without the error the caller would wait until its timeout.
    """
    placer = cell.start("placer-1")
    payload = b'"' + b"x" * 9000 + b'"'
    answer = placer.submit(ONCE, payload=payload)
    placer.settle()
    # The first read is the payload's.
    placer.pool.failing_object_read = 2
    placer.run_next()
    placer.settle()
    assert answer.exception(5).outcome == "unknown"
    assert placer.shard.work_index.get(ID).ended.outcome == "done"


def test_error_in_a_runner_neither_loses_nor_repeats_work(cell):
    """Guards against an item that is dropped after an unexpected exception.

    If the code that handles the answer raises, the caller must be answered all the
    same. A request that may have run is ended as unknown and never sent again.
    """
    placer = cell.start("placer-1")
    answer = placer.submit(ONCE)
    placer.settle()
    placer.break_next_answer()
    placer.run_all()
    placer.settle()
    assert cell.runs(ID) == 1
    assert answer.result(0).outcome == "unknown"


def test_burst_of_cancellations_shares_segments(cell):
    """Guards against one write per cancellation when 10,000 runs are cancelled."""
    placer = cell.start("placer-1")
    for number in range(10_000):
        placer.submit(DEFERRED, key=f"c{number}", wait=0)
    placer.settle()
    writes = cell.platform.table.writes
    ids = [item.request_id for item in placer.shard.work_index.items]
    with placer.paused_journal():
        answers = [
            placer.dispatcher.cancel(placer.shard, request_id) for request_id in ids
        ]
        again = placer.dispatcher.cancel(placer.shard, ids[0])
    placer.settle()
    # 10,000 records at 256 to a segment, and one compaction.
    assert cell.platform.table.writes - writes <= 41
    assert {answer.result(5).outcome for answer in answers} == {"not_run"}
    assert again.result(5).outcome == "not_run"
    assert placer.dispatcher.take(0) is None or not placer.run_all()
    assert not cell.platform.instances.runs()


def test_state_of_work_that_was_queued_again_unsent(cell):
    placer = cell.start("placer-1", {3: DOWN})
    placer.submit(ONCE)
    placer.settle()
    placer.run_next()
    assert placer.shard.work_index.get(ID).state == RUNNING
    assert not placer.shard.work_index.get(ID).may_have_run
