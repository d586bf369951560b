"""Following tables of the store, in particular when it stops answering."""

import threading
from types import SimpleNamespace

import pytest

from papayapick.clients.exceptions import AnswerMissing, StoreRefused, TableUnavailable
from papayapick.clients.rows import Page
from papayapick.clock import ManualClock
from papayapick.entry.process import EntryHost
from papayapick.platform.store import Store
from papayapick.pool.records.store_sync import StoreSync
from tests.standins.clocks import AdvancingClock

# Accepted jobs wait at most this long before their owner repeats the call.
NOTICED_SECONDS = 1.0


class SilentConnections:
    """Let each call run into its time limit."""

    def __init__(self, clock, stopping):
        self._clock = clock
        self._stopping = stopping

    def request(self, method, url, body=None, timeout=None, **options):
        self._clock.advance(timeout)
        self._stopping.set()
        raise AnswerMissing(url=url)


def test_owner_soon_detects_a_dead_connection_to_the_feed_of_its_jobs():
    """Guards against accepted jobs that do not reach their owner for seconds."""
    clock, stopping = ManualClock(100.0), threading.Event()
    silent = []
    host = SimpleNamespace(
        clock=clock,
        store=Store("127.0.0.1:1", SilentConnections(clock, stopping), clock),
        store_health=SimpleNamespace(
            note_failure=lambda: silent.append(clock.monotonic() - 100.0)
        ),
        _note_store_answer=pytest.fail,
    )
    EntryHost.follow(host, "jobs", 7, pytest.fail, pytest.fail, stopping)
    (seconds,) = silent
    assert seconds <= NOTICED_SECONDS


class ChangingTable:
    """Answer each call with one more change, as workers write their rows."""

    def __init__(self, clock, stopping, seconds):
        self._clock = clock
        self._stopping = stopping
        self._until = clock.monotonic() + seconds
        self.calls = 0

    def follow(self, table, version, wait_seconds):
        self.calls += 1
        self._clock.advance(0.01)
        if self._clock.monotonic() >= self._until:
            self._stopping.set()
        return Page(["row"], version + 1)


class RecordingSources(StoreSync):
    """Record the rows of workers that are passed on."""

    def __init__(self, owner):
        super().__init__(owner)
        self.seen = []

    def note_worker_rows(self, rows):
        self.seen += rows


def test_changes_of_many_workers_are_batched():
    """Guards against one call of the store for each row that any worker writes."""
    clock, stopping = AdvancingClock(100.0), threading.Event()
    store = ChangingTable(clock, stopping, seconds=10.0)
    host = SimpleNamespace(
        clock=clock,
        store=store,
        store_health=SimpleNamespace(note_failure=pytest.fail),
        _note_store_answer=lambda asked_at: None,
        follow=lambda *args: EntryHost.follow(host, *args),
    )
    owner = SimpleNamespace(host=host, stopping=stopping, pool="pool")
    sources = RecordingSources(owner)
    sources.follow_workers(1)
    assert len(sources.seen) == store.calls - 1
    assert store.calls < 30


class ScriptedTable:
    """Give scripted answers, each a second after its call was sent."""

    def __init__(self, clock, stopping, answers):
        self._clock = clock
        self._stopping = stopping
        self._answers = list(answers)

    def follow(self, table, version, wait_seconds):
        self._clock.advance(1.0)
        answer = self._answers.pop(0)
        if not self._answers:
            self._stopping.set()
        if isinstance(answer, Exception):
            raise answer
        return answer


def followed(answers):
    """Follow a table; return the rows and the times passed to on_complete, in order."""
    clock, stopping = AdvancingClock(100.0), threading.Event()
    seen = []
    host = SimpleNamespace(
        clock=clock,
        store=ScriptedTable(clock, stopping, answers),
        store_health=SimpleNamespace(note_failure=lambda: None),
        _note_store_answer=lambda asked_at: None,
    )
    EntryHost.follow(
        host, "jobs", 7, seen.extend, pytest.fail, stopping, on_complete=seen.append
    )
    return seen


LAST = Page([], 9)


def test_table_is_complete_as_of_a_call_only_once_its_rows_were_passed_on():
    """Guards against a count as of a time whose jobs the owner has not added yet."""
    assert followed([Page(["row"], 8), LAST]) == ["row", 100.0]


def test_table_without_changes_is_complete_as_of_the_call():
    """Guards against a pool without changes whose count becomes too old to be used."""
    assert followed([Page([], 7), Page([], 7), LAST]) == [100.0, 101.0]


def test_page_with_more_to_come_completes_nothing():
    """Guards against treating the first page after an outage as the whole table."""
    answers = [Page(["a"], 8, has_more=True), Page(["b"], 9), LAST]
    assert followed(answers) == ["a", "b", 101.0]


def test_call_without_an_answer_completes_nothing():
    """Guards against an owner that is cut off from the store and confirms its count."""
    assert followed([TableUnavailable(), StoreRefused(), LAST]) == []


def test_full_read_completes_as_of_when_it_began():
    """Guards against treating jobs accepted during the read as counted."""
    clock, stopping, seen = AdvancingClock(100.0), threading.Event(), []

    def read_all():
        clock.advance(1.0)
        return ["row"], 8

    def note(asked_at):
        stopping.set()
        seen.append(asked_at)

    host = SimpleNamespace(
        clock=clock,
        store=None,
        store_health=SimpleNamespace(note_failure=pytest.fail),
        _note_store_answer=lambda asked_at: None,
    )
    EntryHost.follow(
        host, "jobs", None, seen.extend, read_all, stopping, on_complete=note
    )
    assert seen == ["row", 100.0]


class StartingHosts:
    """Answer calls about the rows of hosts that register one after the other."""

    def __init__(self, clock, hosts, seconds):
        begin = clock.monotonic()
        self._clock = clock
        self._registered_at = [begin + seconds * n / hosts for n in range(hosts)]
        self.calls = 0

    def follow(self, table, version, wait_seconds):
        self.calls += 1
        self._clock.advance(0.005)
        waiting = self._registered_at[version:]
        if waiting and waiting[0] > self._clock.monotonic():
            self._clock.advance(waiting[0] - self._clock.monotonic())
        now = self._clock.monotonic()
        found = [one for one in waiting if one <= now]
        return Page(found, version + len(found))


def test_start_of_a_hundred_hosts_costs_each_of_them_a_few_calls():
    """Guards against hosts that read each other's rows one by one while all start."""
    clock, stopping = AdvancingClock(100.0), threading.Event()
    hosts, seen = 100, []

    def note_rows(rows):
        seen.extend(rows)
        if len(seen) == hosts:
            stopping.set()

    host = SimpleNamespace(
        clock=clock,
        store=StartingHosts(clock, hosts, seconds=0.5),
        stopping=stopping,
        store_health=SimpleNamespace(note_failure=pytest.fail),
        _note_cell_rows=note_rows,
        _read_cell=lambda: ([], 0),
        _note_store_answer=lambda asked_at: None,
        _note_cell_complete=lambda asked_at: None,
        _cell_wait_seconds=lambda: 1.2,
    )
    EntryHost._follow_cell(host)
    assert len(seen) == hosts
    assert host.store.calls < 10


class LateRows:
    """Answer with the row of a new owner, after many other changes."""

    def __init__(self, stopping, pages):
        self._stopping = stopping
        self._pages = list(pages)

    def follow(self, table, version, wait_seconds):
        page = self._pages.pop(0)
        if not self._pages:
            self._stopping.set()
        return page


@pytest.mark.parametrize(
    "pages",
    [
        [Page(["new owner"], 1), Page([], 2)],
        [Page(["other"], 1, has_more=True), Page(["new owner"], 2), Page([], 3)],
    ],
    ids=["in the answer", "in the next answer"],
)
def test_replaced_owner_is_not_confirmed_by_the_answer_that_names_the_new_one(pages):
    """Guards against orders of a replaced owner, which start tasks a second time.

    Its host was suspended, and its threads go on while the first answer of the store is
    applied. The row of the new owner is in that answer, or in what follows it.
    """
    clock, stopping = AdvancingClock(100.0), threading.Event()
    noted = []
    owner = SimpleNamespace(
        ownership_status=SimpleNamespace(
            note_confirmed=lambda asked_at: noted.append("confirmed")
        )
    )
    host = SimpleNamespace(
        clock=clock,
        store=LateRows(stopping, pages),
        stopping=stopping,
        store_health=SimpleNamespace(note_failure=pytest.fail),
        _candidacies={"pool": SimpleNamespace(is_owner=True, owner=owner)},
        _note_store_answer=lambda asked_at: None,
        _note_cell_rows=noted.extend,
        _read_cell=lambda: ([], 0),
        _cell_wait_seconds=lambda: 1.2,
    )
    host._owners = lambda: EntryHost._owners(host)
    host._note_cell_complete = lambda at: EntryHost._note_cell_complete(host, at)
    EntryHost._follow_cell(host)
    seen = [one for one in noted if one in ("confirmed", "new owner")]
    # The first answer, of the whole table, confirms the owner of that time.
    assert seen[:3] == ["confirmed", "new owner", "confirmed"]
