"""Replay the counterexamples of spec/journal.py against the real journal."""

import random
import threading
from concurrent.futures import ThreadPoolExecutor
from types import SimpleNamespace

import pytest

from papayapick.bundle.documents import ServicePolicy
from papayapick.clients import AnswerMissing, TransactionConflict
from papayapick.clients.http import HttpAnswer
from papayapick.clock import ManualClock
from papayapick.journal import Ended, JournalUnsettled, Started
from papayapick.journal.queries import read_journal
from papayapick.limits import PauseDetector, TokenBucket
from papayapick.ownership import claim, read_shard
from papayapick.placer.requests import RequestRunner
from papayapick.placer.shards import Shard
from papayapick.placer.work import WorkDispatcher
from papayapick.wire.messages import SlotGrant, Submit
from tests.fakes.scripted import DONE_UNANSWERED, LATE, ScriptedTable
from tests.standins.store import MemoryObjects

SHARD = "hobart-a.0"
ONCE = ServicePolicy("fee-run", "urgent", repeatable=False, run_seconds=20)
DEFERRED = ServicePolicy("renewals", "deferred", repeatable=True, run_seconds=60)
POLICIES = {policy.name: policy for policy in (ONCE, DEFERRED)}
DEADLINE = 1000.0


class Backend:
    """Count calls, look at the journal at each, and answer as a test says."""

    def __init__(self, life):
        self.life = life
        self.calls = []
        self.states = []
        self.is_silent = False

    def call(self, url, request_id, epoch, payload, seconds, *rest, **more):
        self.calls.append(request_id)
        self.states.append(self.life.journaled().get(request_id).state)
        if self.is_silent:
            raise AnswerMissing(url=url)
        return HttpAnswer(200, {"Content-Type": "application/json"}, b"{}")


class Slots:
    """Grant every slot at once."""

    def acquire(self, policy, *rest, **more):
        granted = SlotGrant(instance="one", url="http://one", epoch=1, grant_id=1)
        return SimpleNamespace(granted=granted, check_usable=lambda now: None)

    def release(self, grant, outcome, seconds, **more):
        """Keep no count."""


class Life:
    """Hold one owner's real journal, desk and runner over a scripted table."""

    def __init__(self, table, owner="placer-a"):
        self.clock = ManualClock()
        self.table = table
        self.executor = ThreadPoolExecutor(4)
        self.process = SimpleNamespace(
            clock=self.clock,
            table=table,
            objects=MemoryObjects(),
            generator=random.Random(7),
            settings=SimpleNamespace(journal_linger_seconds=0.0),
            pauses=PauseDetector(self.clock, 1.0),
            watcher=SimpleNamespace(bundle=SimpleNamespace(services=POLICIES)),
            stop_event=threading.Event(),
        )
        row = claim(table, read_shard(table, SHARD), owner)
        bucket = TokenBucket(1000, 1000, self.clock)
        self.shard = Shard(row, self.process, bucket, lambda shard: shard.close())
        self.shard.use_journal(read_journal(table, self.process.objects, SHARD))
        self.desk = WorkDispatcher(self.process)
        self.backend = Backend(self)
        self.runner = RequestRunner(self.process, Slots(), self.backend, self.desk)

    def journaled(self):
        """Return what a successor would read."""
        return read_journal(self.table, self.process.objects, SHARD).work_index

    def submit(self, policy, steps=()):
        """Submit work "r"; the write of its acceptance goes as ``steps`` say."""
        wanted = Submit(
            shard=SHARD,
            request_id="r",
            kind="request",
            name=policy.name,
            payload=b"1",
            deadline_milliseconds=int(DEADLINE * 1000),
            wait_milliseconds=0,
        )
        answer = self.desk.submit(self.shard, wanted, policy)
        self.table.steps += steps
        self.shard.journal.write_segment()
        return answer

    def append(self, record):
        """Journal a record at once."""
        entry = self.shard.journal.append(record)
        self.shard.journal.write_segment()
        return entry

    def run(self, item):
        """Run work once, with the journal's own task beside it."""
        task = self.executor.submit(self.shard.journal.run)
        self.runner.run(self.shard, item)
        self.shard.journal.flush()
        self.shard.journal.close()
        task.result()

    @property
    def item(self):
        return self.shard.work_index.get("r")


@pytest.fixture
def life():
    found = Life(ScriptedTable())
    yield found
    found.shard.journal.close()
    found.executor.shutdown()


@pytest.mark.parametrize(("step", "arrives"), [(DONE_UNANSWERED, True), (LATE, False)])
def test_an_unanswered_accept_is_unknown_until_it_is_settled(life, step, arrives):
    """The table takes the accept and its answer is lost, or takes it late. A
    caller who hears "not run" retries, and the work runs twice.
    """
    answer = life.submit(ONCE, [step])
    with pytest.raises(JournalUnsettled) as unsettled:
        answer.result(0)
    assert unsettled.value.outcome == "unknown"
    for _ in range(len(life.table.late)):
        # The empty segment under the same key stands in its way for good.
        with pytest.raises(TransactionConflict):
            life.table.apply_late()
    assert len(life.journaled()) == arrives
    assert len(life.shard.work_index) == arrives


def test_nothing_is_sent_before_the_start_is_durable(life):
    """The owner dies just after the send. Had the start not been journaled,
    the successor would find the work waiting and run it a second time.
    """
    life.submit(ONCE)
    life.run(life.item)
    assert life.backend.calls == ["r"]
    assert life.backend.states == ["running"]
    assert life.journaled().get("r").ended.outcome == "done"


def test_nothing_is_sent_while_the_start_is_unsettled(life):
    """The answer to the start's write is lost. Sent at once, the work runs,
    though the journal may hold no start, and a successor runs it again.
    """
    life.submit(ONCE)
    life.table.steps.append(LATE)
    life.run(life.item)
    assert life.backend.calls == []
    with pytest.raises(TransactionConflict):
        life.table.apply_late()
    assert life.journaled().get("r").state == "waiting"


def test_an_answer_that_does_not_come_is_not_tried_again(life):
    """The backend server bills the fee and its answer is lost; a second try
    would bill the member twice.
    """
    life.submit(ONCE)
    life.backend.is_silent = True
    life.run(life.item)
    assert life.backend.calls == ["r"]
    assert life.journaled().get("r").ended.outcome == "unknown"


def test_a_successor_does_not_run_what_was_started(life):
    """The owner dies between the send and the outcome. The successor finds a
    start without an end and has no proof that nothing ran.
    """
    life.submit(ONCE)
    life.append(Started("r", 1, [], 0.0))
    successor = Life(life.table, "placer-b")
    successor.runner.recover(successor.shard, successor.item)
    successor.shard.journal.write_segment()
    assert successor.backend.calls == []
    assert successor.journaled().get("r").ended.outcome == "unknown"
    successor.executor.shutdown()


def test_a_runner_that_waits_while_a_cancel_is_journaled_sends_nothing(life):
    """A runner has taken the work when its cancel is journaled, and the member
    hears "not run". The start that follows must not lead to a send.
    """
    life.submit(ONCE)
    taken = life.item
    told = life.desk.cancel(life.shard, "r")
    life.shard.journal.write_segment()
    assert told.result(0).outcome == "not_run"
    task = life.executor.submit(life.shard.journal.run)
    assert not life.runner._journal_start(life.shard, taken, Slots().acquire(ONCE))
    life.shard.journal.close()
    task.result()
    assert life.journaled().get("r").ended.outcome == "not_run"


def test_a_cancel_queued_behind_a_start_is_void(life):
    """A cancel finds the work waiting while its start is queued; both go into
    one segment, the start first. The runner sends as soon as the start is
    durable, and the member would hear "not run" of work that runs.
    """
    life.submit(ONCE)
    life.shard.journal.append(Started("r", 1, [], 0.0))
    told = life.desk.cancel(life.shard, "r")
    life.shard.journal.write_segment()
    assert (told.result(0).state, told.result(0).outcome) == ("running", None)
    assert life.journaled().get("r").state == "running"


def test_a_deadline_after_a_lost_answer_is_not_called_not_run(life):
    """A repeatable call gets no answer and is put back; its deadline comes
    before the second try. The first may have run: "not run" would be untrue.
    """
    life.submit(DEFERRED)
    life.backend.is_silent = True
    life.run(life.item)
    assert (life.backend.calls, life.item.state) == (["r"], "running")
    successor = Life(life.table, "placer-b")
    successor.clock.advance(DEADLINE + 1)
    successor.run(successor.item)
    assert successor.backend.calls == []
    assert successor.journaled().get("r").ended.outcome == "unknown"
    successor.executor.shutdown()


def test_a_deadline_before_any_start_is_not_run(life):
    """No start was ever journaled, so nothing can have run."""
    life.submit(DEFERRED)
    life.clock.advance(DEADLINE + 1)
    life.run(life.item)
    assert life.journaled().get("r").ended.outcome == "not_run"


def test_an_outcome_is_told_only_once_it_is_durable(life):
    """The outcome's write is lost and the owner dies. Had the member heard
    "done", the successor would tell "unknown" of the same request.
    """
    life.submit(ONCE)
    life.append(Started("r", 1, [], 0.0))
    told = life.desk.submit(
        life.shard,
        Submit(request_id="r", payload=b"1", wait_milliseconds=1000),
        ONCE,
    )
    life.runner.end(life.shard, life.item, "done")
    assert not told.done()
    life.shard.journal.write_segment()
    assert told.result(0).outcome == "done"


def test_an_outcome_never_changes(life):
    """A late record of another outcome must not replace what a caller heard."""
    life.submit(ONCE)
    life.append(Started("r", 1, [], 0.0))
    life.append(Ended("r", "done", 1.0))
    life.append(Ended("r", "unknown", 2.0))
    assert life.item.ended.outcome == "done"
    assert life.journaled().get("r").ended.outcome == "done"
