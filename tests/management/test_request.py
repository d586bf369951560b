"""The request commands show the outcome of work, and why it waits."""

import json

import pytest

from demo.cells import http_call
from papayapick.clock import ManualClock
from papayapick.journal import Accepted, Ended, Started, WorkIndex
from papayapick.ledger import Amounts, HostLedger
from papayapick.management.commands.request import RequestCommand
from papayapick.placer.explanations import explain
from papayapick.wire.messages import ServiceLoad, WorkCancel, WorkQuery
from tests.management.commands import in_cell

PATH = "/v1/requests"


def _deferred(cell, key):
    body = {"service": "tenant-comparisons", "payload": {"week": 1}}
    address = cell.gateways[0].addresses["http"]
    headers = {"Idempotency-Key": key}
    status, headers, _ = http_call(address, "POST", PATH, body, headers)
    assert status == 202
    location = headers["Location"]

    def has_ended():
        found = json.loads(http_call(address, "GET", location)[2])
        return found["state"] == "ended"

    cell.wait_until(has_ended, "deferred work did not end")
    return location.rpartition("/")[2]


def test_show_and_explain_a_request_that_has_ended(footfall):
    request_id = _deferred(footfall, "show")
    (line,) = in_cell(footfall, "request", "show", request_id, "--json").lines
    assert (line["state"], line["outcome"], line["status"]) == ("ended", "done", 200)
    found = in_cell(footfall, "request", "explain", request_id)
    assert (found.code, "ended.done" in found.out) == (0, True)


def test_cancel_of_a_request_that_has_ended_changes_nothing(footfall):
    request_id = _deferred(footfall, "cancel")
    (line,) = in_cell(
        footfall, "request", "cancel", request_id, "--dry-run", "--json"
    ).lines
    assert line["would_cancel"] is False
    (line,) = in_cell(footfall, "request", "cancel", request_id, "--json").lines
    assert (line["state"], line["outcome"]) == ("ended", "done")


@pytest.mark.parametrize(
    ("given", "kind"),
    [
        ({"cancel": True, "--dry-run": False}, WorkCancel),
        ({"cancel": True, "--dry-run": True}, WorkQuery),
        ({"cancel": False, "--dry-run": False}, WorkQuery),
    ],
)
def test_only_a_cancel_without_dry_run_is_sent(given, kind):
    command = RequestCommand({"explain": False, **given}, None)
    assert type(command._message("a.0", "a.0.r")) is kind


@pytest.mark.parametrize("step", ["show", "explain", "cancel"])
@pytest.mark.parametrize(
    ("request_id", "code"),
    [
        ("nonsense", "command.request-id-invalid"),
        ("nowhere.0.abc", "command.owner-missing"),
        ("hobart-a.0.abc", "journal.work-unknown"),
    ],
)
def test_unknown_request_is_a_typed_error(footfall, step, request_id, code):
    found = in_cell(footfall, "request", step, request_id)
    assert (found.code, found.out) == (1, "")
    assert found.err.startswith(code + ": ")
    assert found.err.count("\n") == 1


class FakeJournal:
    def __init__(self, is_available):
        self.is_available = is_available


class FakeJobs:
    def __init__(self, promised):
        self.promised = promised


class FakeSlotAllocator:
    def __init__(self, *loads):
        self._loads = loads

    def loads(self):
        return self._loads


class FakeShard:
    """Hold the attributes of a shard that an explanation reads."""

    name = "a.0"

    def __init__(
        self, closed=False, unconfirmed=False, journal=True, loads=(), promised=None
    ):
        self.jobs = FakeJobs(promised)
        self.is_closed = closed
        self.needs_confirmation = unconfirmed
        self.journal = FakeJournal(journal)
        self.slot_allocator = FakeSlotAllocator(*loads)
        self.hosts = HostLedger()
        self.hosts.add("w1", Amounts(16000, 65536))
        self.hosts.open("w1")
        self.hosts.reserve("w1", "r", Amounts(12000, 1024))


LOAD = ServiceLoad(service="counts", free_slots=0, waiting=5)
JOB = {"members": 2, "demand": {"processors": 8000, "memory": 1, "accelerators": 0}}
LARGE = {"members": 1, "demand": {"processors": 99000}}
STARTED = Started("r1", 2, [{"host": "w1", "task": "t"}], 0.0)
ENDED = Ended("r1", "not_run", 0.0, detail="work.cancelled")
EXPLANATIONS = [
    ("slot", FakeShard(loads=[LOAD]), None, [], ["waits.for-slot"], "0 slots free"),
    ("no instance", FakeShard(), None, [], ["waits.no-instance"], "another shard"),
    ("room", FakeShard(), JOB, [], ["waits.for-room"], "0 of 1 open hosts"),
    (
        "promised",
        FakeShard(promised="r1"),
        JOB,
        [],
        ["waits.for-room", "waits.promised"],
        "open hosts",
    ),
    (
        "behind",
        FakeShard(promised="r0"),
        JOB,
        [],
        ["waits.for-room", "waits.behind-promise"],
        "open hosts",
    ),
    ("never", FakeShard(), LARGE, [], ["waits.never-fits-shard"], "99000"),
    (
        "table down",
        FakeShard(journal=False, loads=[LOAD]),
        None,
        [],
        ["waits.journal-unavailable", "waits.for-slot"],
        "table",
    ),
    (
        "paused and closed",
        FakeShard(closed=True, unconfirmed=True, loads=[LOAD]),
        None,
        [],
        ["waits.shard-closed", "waits.ownership-unconfirmed", "waits.for-slot"],
        "handed over",
    ),
    ("runs", FakeShard(), None, [STARTED], ["placed.on"], "attempt 2 on w1"),
    ("ended", FakeShard(), None, [ENDED], ["ended.not-run"], "work.cancelled"),
]


@pytest.mark.parametrize(
    ("shard", "job", "records", "codes", "text"),
    [row[1:] for row in EXPLANATIONS],
    ids=[row[0] for row in EXPLANATIONS],
)
def test_explanation_names_the_cause(shard, job, records, codes, text):
    work_index = WorkIndex()
    deadline = ManualClock().time() + 60
    accepted = Accepted("r1", "request", "counts", "c", "", "", "d", deadline, True)
    accepted.job = job
    for record in (accepted, *records):
        work_index.apply(record)
    found = explain(shard, work_index.get("r1"))
    assert [reason.code for reason in found] == codes
    assert text in found[0].text
