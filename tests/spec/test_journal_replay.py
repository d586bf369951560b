"""Replay counterexamples of the specification in spec/journal.py on the journal."""

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
    """Record each call with the journaled state of its work, and answer it or not."""

    def __init__(self, owner):
        self.owner = owner
        self.calls = []
        self.states = []
        self.is_silent = False

    def call(self, url, request_id, epoch, payload, seconds, *rest, **more):
        self.calls.append(request_id)
        self.states.append(self.owner.journaled().get(request_id).state)
        if self.is_silent:
            raise AnswerMissing(url=url)
        return HttpAnswer(200, {"Content-Type": "application/json"}, b"{}")


class Slots:
    """Grant every slot immediately."""

    def acquire(self, policy, *rest, **more):
        granted = SlotGrant(instance="one", url="http://one", epoch=1, grant_id=1)
        return SimpleNamespace(granted=granted, check_usable=lambda now: None)

    def release(self, grant, outcome, seconds, **more):
        """Do nothing, as grants are not counted."""


class SimulatedOwner:
    """Run the real journal, dispatcher and runner of an owner on a scripted table."""

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
        self.dispatcher = WorkDispatcher(self.process)
        self.backend = Backend(self)
        self.runner = RequestRunner(
            self.process, Slots(), self.backend, self.dispatcher
        )

    def journaled(self):
        """Return the work index that a successor would read from the journal."""
        return read_journal(self.table, self.process.objects, SHARD).work_index

    def submit(self, policy, steps=()):
        """Submit work "r"; ``steps`` script the write of its acceptance."""
        wanted = Submit(
            shard=SHARD,
            request_id="r",
            kind="request",
            name=policy.name,
            payload=b"1",
            deadline_milliseconds=int(DEADLINE * 1000),
            wait_milliseconds=0,
        )
        answer = self.dispatcher.submit(self.shard, wanted, policy)
        self.table.steps += steps
        self.shard.journal.write_segment()
        return answer

    def append(self, record):
        """Append a record and write its segment."""
        entry = self.shard.journal.append(record)
        self.shard.journal.write_segment()
        return entry

    def run(self, item):
        """Run work once while the journal's writer runs in another thread."""
        task = self.executor.submit(self.shard.journal.run)
        self.runner.run(self.shard, item)
        self.shard.journal.flush()
        self.shard.journal.close()
        task.result()

    @property
    def item(self):
        return self.shard.work_index.get("r")


@pytest.fixture
def owner():
    found = SimulatedOwner(ScriptedTable())
    yield found
    found.shard.journal.close()
    found.executor.shutdown()


@pytest.mark.parametrize(("step", "arrives"), [(DONE_UNANSWERED, True), (LATE, False)])
def test_an_unanswered_accept_is_unknown_until_it_is_settled(owner, step, arrives):
    """The table applies the accept and its answer is lost, or applies it late.

    A caller that gets "not run" would retry, and the work would run twice.
    """
    answer = owner.submit(ONCE, [step])
    with pytest.raises(JournalUnsettled) as unsettled:
        answer.result(0)
    assert unsettled.value.outcome == "unknown"
    for _ in range(len(owner.table.late)):
        # The empty segment written under the same key makes the late write conflict.
        with pytest.raises(TransactionConflict):
            owner.table.apply_late()
    assert len(owner.journaled()) == arrives
    assert len(owner.shard.work_index) == arrives


def test_nothing_is_sent_before_the_start_is_durable(owner):
    """The owner dies just after the send.

    Without a journaled start, the successor would find the work waiting and run it a
    second time.
    """
    owner.submit(ONCE)
    owner.run(owner.item)
    assert owner.backend.calls == ["r"]
    assert owner.backend.states == ["running"]
    assert owner.journaled().get("r").ended.outcome == "done"


def test_nothing_is_sent_while_the_start_is_unsettled(owner):
    """The answer to the start's write is lost.

    If the work were sent now, the journal might contain no start, and a successor
    would run the work again.
    """
    owner.submit(ONCE)
    owner.table.steps.append(LATE)
    owner.run(owner.item)
    assert owner.backend.calls == []
    with pytest.raises(TransactionConflict):
        owner.table.apply_late()
    assert owner.journaled().get("r").state == "waiting"


def test_a_call_without_an_answer_is_not_retried(owner):
    """The backend server bills a fee and its answer is lost.

    A second attempt would bill the fee twice.
    """
    owner.submit(ONCE)
    owner.backend.is_silent = True
    owner.run(owner.item)
    assert owner.backend.calls == ["r"]
    assert owner.journaled().get("r").ended.outcome == "unknown"


def test_a_successor_does_not_run_what_was_started(owner):
    """The owner dies between the send and the outcome.

    The successor finds a start without an outcome, which may have run.
    """
    owner.submit(ONCE)
    owner.append(Started("r", 1, [], 0.0))
    successor = SimulatedOwner(owner.table, "placer-b")
    successor.runner.recover(successor.shard, successor.item)
    successor.shard.journal.write_segment()
    assert successor.backend.calls == []
    assert successor.journaled().get("r").ended.outcome == "unknown"
    successor.executor.shutdown()


def test_a_runner_sends_nothing_after_a_journaled_cancel(owner):
    """A cancel is journaled after a runner has dequeued the work.

    The caller gets "not run", so the start that follows must not lead to a send.
    """
    owner.submit(ONCE)
    taken = owner.item
    cancelled = owner.dispatcher.cancel(owner.shard, "r")
    owner.shard.journal.write_segment()
    assert cancelled.result(0).outcome == "not_run"
    task = owner.executor.submit(owner.shard.journal.run)
    assert not owner.runner._journal_start(owner.shard, taken, Slots().acquire(ONCE))
    owner.shard.journal.close()
    task.result()
    assert owner.journaled().get("r").ended.outcome == "not_run"


def test_a_cancel_queued_behind_a_start_has_no_effect(owner):
    """A cancel finds the work waiting while its start is queued in the journal.

    Both are written in one segment, the start first. The runner sends the work as soon
    as the start is durable, so an effective cancel would answer "not run" for work
    that runs.
    """
    owner.submit(ONCE)
    owner.shard.journal.append(Started("r", 1, [], 0.0))
    cancelled = owner.dispatcher.cancel(owner.shard, "r")
    owner.shard.journal.write_segment()
    assert (cancelled.result(0).state, cancelled.result(0).outcome) == ("running", None)
    assert owner.journaled().get("r").state == "running"


def test_a_deadline_after_a_lost_answer_does_not_report_not_run(owner):
    """A repeatable call gets no answer, and its deadline ends before the next attempt.

    The first attempt may have run, so "not run" could be false.
    """
    owner.submit(DEFERRED)
    owner.backend.is_silent = True
    owner.run(owner.item)
    assert (owner.backend.calls, owner.item.state) == (["r"], "running")
    successor = SimulatedOwner(owner.table, "placer-b")
    successor.clock.advance(DEADLINE + 1)
    successor.run(successor.item)
    assert successor.backend.calls == []
    assert successor.journaled().get("r").ended.outcome == "unknown"
    successor.executor.shutdown()


def test_a_deadline_before_any_start_is_not_run(owner):
    """No start was journaled, so the work cannot have run."""
    owner.submit(DEFERRED)
    owner.clock.advance(DEADLINE + 1)
    owner.run(owner.item)
    assert owner.journaled().get("r").ended.outcome == "not_run"


def test_an_outcome_is_reported_only_once_it_is_durable(owner):
    """The owner may die before the write of the outcome takes effect.

    If the caller already had "done", the successor would report "unknown" for the same
    request.
    """
    owner.submit(ONCE)
    owner.append(Started("r", 1, [], 0.0))
    answer = owner.dispatcher.submit(
        owner.shard,
        Submit(request_id="r", payload=b"1", wait_milliseconds=1000),
        ONCE,
    )
    owner.runner.end(owner.shard, owner.item, "done")
    assert not answer.done()
    owner.shard.journal.write_segment()
    assert answer.result(0).outcome == "done"


def test_an_outcome_never_changes(owner):
    """A later record of another outcome must not replace the reported one."""
    owner.submit(ONCE)
    owner.append(Started("r", 1, [], 0.0))
    owner.append(Ended("r", "done", 1.0))
    owner.append(Ended("r", "unknown", 2.0))
    assert owner.item.ended.outcome == "done"
    assert owner.journaled().get("r").ended.outcome == "done"
