"""Workers that start again under their ids as another kind."""

import pytest

from papayapick.clients.rows import StoredRow
from papayapick.jobs import Step
from papayapick.ledger import Amounts
from papayapick.pool.records.journal import PROGRESS_TABLE
from papayapick.pool.workers.reports import WorkerReport
from papayapick.speeds.kinds import kind_of
from tests.pool.owners import (
    KEY,
    job,
    owner_of,
    place,
    report,
    store_job,
)


def _entry(worker, born, labels=(), processors=4000):
    """Return a row of the list of workers."""
    value = {
        "service": "pool",
        "address": f"{worker}:1",
        "zone": "z",
        "state": "ready",
        "capacity": {"cpu": processors, "mem_mb": 4000},
        "labels": list(labels),
        "born": born,
    }
    return StoredRow("servers", "", worker, value, 2)


def _owner(host, document=None):
    """Return an owner whose workers have reported; they are of kind a."""
    host.rows[("servers", "")] = [
        _entry(worker, 1, ["a", "r1-1"]) for worker in ("w1", "w2")
    ]
    if document is not None:
        store_job(host, document)
    owner = owner_of(host)
    for worker in ("w1", "w2"):
        report(owner, worker)
        owner.links_by_worker[worker].born = 1
    return owner


def _restart(owner, worker, born):
    """Let the link to a worker find that it has restarted."""
    link = owner.links_by_worker[worker]
    now = owner.host.clock.monotonic()
    owner.report_handler.note_restart(link, born, frozenset(), now)
    owner.report_handler.note_report(link, WorkerReport(50.0, born, [], []), now)


@pytest.mark.parametrize("is_listed_first", [True, False])
def test_worker_that_is_of_another_kind_runs_what_requires_it(host, is_listed_first):
    """Guards against tasks that nobody runs, and against some on the wrong workers.

    A worker crashes and starts again under its id with other labels. With its first
    ones, tasks for its new kind wait for ever, and tasks for its old kind go there.
    """
    owner = _owner(host, job(label="b"))
    assert place(owner) == []
    if is_listed_first:
        owner.store_sync.note_worker_rows([_entry("w1", 2, ["b", "r1-2"])])
        _restart(owner, "w1", 2)
    else:
        _restart(owner, "w1", 2)
        owner.store_sync.note_worker_rows([_entry("w1", 2, ["b", "r1-2"])])
    assert owner.rooms.racks() == ["r1-1", "r1-2"]
    assert owner.rooms.able_count(Step(1, Amounts(1, 1), label="a")) == 1
    assert [run.worker for run in place(owner)] == ["w1"]


def test_other_capacity_counts_with_the_runs_in_the_books(host):
    """Guards against tasks beside runs that a smaller worker may still have."""
    owner = _owner(host, job())
    (run,) = place(owner)
    worker, room = run.worker, owner.rooms.get(run.worker)
    report(owner, worker, [run.name])
    owner.store_sync.note_worker_rows([_entry(worker, 2, ["a", "r1-1"], 800)])
    assert (room.processors, owner.rooms.capacity_processors) == (-200, 4800)
    assert owner.rooms.free_processors == 4000
    host.clock.advance(1.0)
    _restart(owner, worker, 2)
    assert (room.processors, owner.rooms.free_processors) == (800, 4800)


def test_older_entry_changes_no_kind(host):
    """Guards against labels of an earlier life, as reads of the list overtake."""
    owner = _owner(host)
    owner.store_sync.note_worker_rows([_entry("w1", 2, ["b"], 800)])
    _restart(owner, "w1", 2)
    owner.store_sync.note_worker_rows([_entry("w1", 1, ["a"])])
    room = owner.rooms.get("w1")
    assert (room.registration.labels, room.processors) == (("b",), 800)


def test_labels_of_an_earlier_life_are_not_used_until_the_list_has_the_next(host):
    """Guards against a start on a worker without the label, as the list is behind."""
    owner = _owner(host, job(label="a"))
    owner.rooms.get("w2").is_open = False
    _restart(owner, "w1", 2)
    owner.store_sync.note_worker_rows([_entry("w1", 1, ["a", "r1-1"])])
    assert place(owner) == []
    owner.store_sync.note_worker_rows([_entry("w1", 2, ["a", "r1-1"])])
    assert [run.worker for run in place(owner)] == ["w1"]


def test_worker_of_unknown_labels_runs_what_requires_none(host):
    """Guards against workers that stand idle, as they restart in an outage."""
    owner = _owner(host, job())
    owner.rooms.get("w2").is_open = False
    _restart(owner, "w1", 2)
    assert [run.worker for run in place(owner)] == ["w1"]


def test_successor_reads_the_kind_of_the_last_life(host):
    """Guards against a successor that takes the labels of an earlier life for later."""
    owner = _owner(host)
    owner.store_sync.note_worker_rows([_entry("w1", 2, ["b"], 800)])
    for write in owner.roster.take_changed():
        host.put(PROGRESS_TABLE, "pool", write.key, write.value)
    # The read of the list is older.
    successor = owner_of(host)
    room = successor.rooms.get("w1")
    assert "a" not in room.registration.labels
    successor.store_sync.note_worker_rows([_entry("w1", 2, ["b"], 800)])
    assert (room.registration.labels, room.processors) == (("b",), 800)
    # The entry has lapsed.
    host.rows[("servers", "")] = []
    room = owner_of(host).rooms.get("w1")
    assert (room.registration.labels, room.processors) == (("b",), 800)


def test_advice_on_an_earlier_kind_is_dropped(host):
    """Guards against a worker that is never asked about, as its last kind was unfit."""
    owner = _owner(host, job())
    step, cache = KEY.step_key, owner.advice_manager._cache
    policy = _Policy()
    cache._ask = lambda key, candidates, expected: None
    cache.request(step, policy, ["w1", "w2"], 0.0)
    cache.note_answer(step, {"w2": "ticket"}, policy, 0.0)
    owner.store_sync.note_worker_rows([_entry("w1", 2, ["b"]), _entry("w2", 2, ["b"])])
    assert (cache.unfit(step), cache.last_tickets(step)) == (set(), {})


def test_advice_that_was_asked_for_an_earlier_kind_is_not_used(host):
    """Guards against the same, as the answer comes after the change."""
    owner = _owner(host, job())
    step, cache = KEY.step_key, owner.advice_manager._cache
    cache._ask = lambda key, candidates, expected: None
    cache.request(step, _Policy(), ["w1", "w2"], 0.0)
    owner.store_sync.note_worker_rows([_entry("w1", 2, ["b"]), _entry("w2", 2, ["b"])])
    cache.note_answer(step, {"w2": "ticket"}, _Policy(), 0.0)
    assert (cache.unfit(step), cache.last_tickets(step)) == (set(), {})


class _Policy:
    valid_seconds = 5.0

    def expected_seconds(self, count):
        return 0.1


def test_entry_that_has_not_changed_writes_nothing(host):
    """Guards against a roster that is written anew each second."""
    owner = _owner(host)
    owner.roster.take_changed()
    owner.store_sync.note_worker_rows([_entry("w1", 1, ["a", "r1-1"])])
    assert owner.roster.take_changed() == []


def test_speed_is_learned_anew_for_another_kind(host):
    """Guards against the speed of one kind that is expected of another."""
    owner = _owner(host)
    noted = []
    owner.knowledge.speeds = _Speeds(noted)
    owner.store_sync.note_worker_rows([_entry("w1", 2, ["b"], 800)])
    owner.store_sync.note_worker_rows([_entry("w1", 1, ["a"])])
    assert noted == ["b:800/4000/0"]


class _Speeds:
    def __init__(self, noted):
        self._noted = noted

    def add_worker(self, registration):
        self._noted.append(kind_of(registration))
