"""Entries of other programs in the list of workers, and workers that fail a loop."""

import pytest

from papayapick.clients.http import HttpPool
from papayapick.clients.rows import StoredRow
from papayapick.ledger import Amounts
from papayapick.platform.registrations import decode_registration
from papayapick.platform.workers import WorkerClient
from papayapick.pool.records.journal import PROGRESS_TABLE
from papayapick.pool.rounds.loop import DecisionLoop
from papayapick.pool.workers.ends import EndHandler
from tests.pool.linked_workers import (
    Client,
    Listener,
    NonBlockingClock,
    make_link,
    run_link,
)
from tests.pool.owners import (
    ID,
    KEY,
    host_with_two_workers,
    job,
    owner_of,
    owner_with,
    place,
    report,
    started_record,
    store_job,
)

ENTRY = {
    "service": "pool",
    "address": "10.1.0.9:8160",
    "zone": "z",
    "state": "ready",
    "capacity": {"cpu": 4000, "mem_mb": 4000},
    "labels": ["a", "r1-1"],
    "born": 1,
}
RECORD = {
    "pool": "pool",
    "address": "x1:1",
    "zone": "z",
    "capacity": {"processors": 4000, "memory": 4000, "accelerators": 0},
    "labels": [],
    "born": 1,
}
UNCALLABLE = [
    "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08:8160",
    "a..b:80",
    ".:80",
    "10.1.0.9:0",
    "10.1.0.9:70000",
    "10.1.0.9:80/w\u00e9",
    "10.1.0.9:80/\x00",
    "10.1.0.9:80\n",
]


def _record(host, worker, record):
    rows = host.rows.setdefault((PROGRESS_TABLE, "pool"), [])
    rows.append(StoredRow(PROGRESS_TABLE, "pool", "workers-00", {worker: record}, 1))


@pytest.mark.parametrize("address", UNCALLABLE)
def test_entry_whose_address_no_socket_takes_names_no_worker(address):
    """Guards against owners that end one by one, as connecting raises no OSError."""
    assert decode_registration("x1", {**ENTRY, "address": address}) is None


@pytest.mark.parametrize(
    "worker", ["x\n1", "x 1", "x\u00e9", ""], ids=["line", "space", "accent", "empty"]
)
def test_entry_whose_id_no_header_takes_names_no_worker(worker):
    """Guards against owners that end one by one, as each call names the worker."""
    assert decode_registration(worker, ENTRY) is None


@pytest.mark.parametrize(
    "changed",
    [
        {"capacity": {"cpu": 10**400, "mem_mb": 1}},
        {"capacity": {"cpu": float("inf"), "mem_mb": 1}},
        {"capacity": {"cpu": "4000", "mem_mb": 1}},
        {"capacity": {"cpu": True, "mem_mb": 1}},
        {"capacity": {"cpu": -1, "mem_mb": 1}},
        {"labels": "ab"},
        {"labels": {"a": 1}},
        {"born": 1.5},
        {"remaining_ms": float("inf")},
        {"remaining_ms": "1"},
        {"zone": 7},
    ],
    ids=str,
)
def test_entry_with_a_field_of_another_kind_names_no_worker(changed):
    """Guards against a number that ends the rounds of each owner."""
    assert decode_registration("x1", {**ENTRY, **changed}) is None


def test_whole_numbers_of_an_entry_may_be_written_with_a_fraction():
    found = decode_registration(
        "x1", {**ENTRY, "capacity": {"cpu": 4000.0, "mem_mb": 4e3}, "born": 1.0}
    )
    assert (found.capacity, found.born) == (Amounts(4000, 4000), 1)


@pytest.mark.parametrize("address", UNCALLABLE)
def test_recorded_worker_that_cannot_be_called_is_left_out(address):
    """Guards against a pool that no host can own: an earlier version recorded it."""
    host = host_with_two_workers()
    _record(host, "x1", {**RECORD, "address": address})
    owner = owner_of(host)
    assert set(owner.links_by_worker) == {"w1", "w2"}
    (write,) = [one for one in owner.roster.take_changed() if one.key == "workers-00"]
    assert "x1" not in write.value


@pytest.mark.parametrize("record", [None, 7, {}, {"address": 7}], ids=str)
def test_recorded_worker_of_another_form_is_left_out(record):
    """Guards against a pool that no host can own."""
    host = host_with_two_workers()
    _record(host, "x1", record)
    assert set(owner_of(host).links_by_worker) == {"w1", "w2"}


def test_tasks_of_a_recorded_worker_with_another_capacity_are_awaited():
    """Guards against a second run: the recorded worker may run a task all the same."""
    host = host_with_two_workers()
    _record(host, "x1", {**RECORD, "capacity": {"processors": 10**400}})
    store_job(host, job(), started_record("x1"))
    owner = owner_of(host)
    for worker in ("w1", "w2"):
        report(owner, worker)
    assert "x1" in owner.links_by_worker
    assert place(owner) == []


def test_worker_whose_poll_fails_counts_as_silent_and_does_not_end_the_loop():
    """Guards against an owner that ends, and each next one, by one of its workers."""
    clock = NonBlockingClock(100.0)
    link = make_link(Client(clock), clock, Listener())
    run_link(link, 2)
    granted_until = link.lease.lapse_at
    link.client.answers = [UnicodeError("label too long") for _ in range(20)]
    run_link(link, 20)
    assert link.is_silent
    assert link.lease.lapse_at <= granted_until + 0.1
    run_link(link, 1)
    assert not link.is_silent


def test_report_that_cannot_be_applied_renews_no_lease():
    """Guards against runs that go on for ever on a worker that no report frees."""
    clock = NonBlockingClock(100.0)
    listener = Listener()
    link = make_link(Client(clock), clock, listener)
    run_link(link, 2)

    def fail(*arguments):
        raise ZeroDivisionError

    listener.note_report = fail
    run_link(link, 3)
    assert link.is_silent
    assert set(link.client.leases[-2:]) == {None}
    assert not link.arrivals.has_unapplied


def test_call_to_an_address_that_no_socket_takes_ends_no_thread():
    """Guards against the error of the address itself, if it gets past the decoder."""
    clock = NonBlockingClock(100.0)
    client = WorkerClient("x1", "a..b:80", HttpPool(1.0))
    link = make_link(client, clock, Listener())
    link.poll_once()
    assert link.is_silent


def test_end_whose_handling_fails_is_not_acknowledged(monkeypatch):
    """Guards against a lost end: its task would run again after it was done."""
    host, owner = owner_with(job())
    (run,) = place(owner)

    def fail(*arguments):
        raise ZeroDivisionError

    monkeypatch.setattr(EndHandler, "apply", fail)
    end = (KEY, run.attempt, "done")
    with pytest.raises(ZeroDivisionError):
        report(owner, run.worker, ends=[end])
    assert owner.links_by_worker[run.worker].processed == 0
    monkeypatch.undo()
    report(owner, run.worker, ends=[end])
    assert owner.job_registry.get(ID).status == "completed"


def test_round_goes_on_without_a_worker_that_fails_it(monkeypatch):
    """Guards against an owner that ends, and each next one, by one of its workers."""
    host, owner = owner_with(job())
    examined = []

    def tick(self, link, now):
        examined.append(link.worker)
        if link.worker == "w1":
            raise ZeroDivisionError

    monkeypatch.setattr(DecisionLoop, "_tick_link", tick)
    owner.tick(host.clock.monotonic())
    assert examined == ["w1", "w2"]
