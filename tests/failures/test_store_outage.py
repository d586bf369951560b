"""Outages of the store: urgent work, refused work and accepted work."""

import json

import pytest

from demo.cells import Cell, http_call
from papayapick.journal import JournalUnavailable, JournalUnsettled
from tests.failures.simulation import DOWN, SHARD
from tests.failures.simulation import Cell as SimulatedCell

REQUESTS = "/v1/requests"
URGENT = {"service": "quick-counts", "payload": {"n": 1}}
DEFERRED = {"service": "tenant-comparisons", "payload": {"week": 1}}
ONCE = {"service": "heatmap-refresh", "payload": {}}
QUICK = {
    "PAPAYAPICK_HEARTBEAT_SECONDS": "0.1",
    "PAPAYAPICK_DEAD_AFTER_SECONDS": "1.0",
    "PAPAYAPICK_POLL_SECONDS": "0.2",
}


def post(address, body, key=""):
    headers = {"Idempotency-Key": key} if key else {}
    status, headers, data = http_call(address, "POST", REQUESTS, body, headers)
    return status, headers, json.loads(data)


def durable_runs(cell):
    runs = cell.control("counts")["runs"]
    return {found: count for found, count in runs.items() if ".0." in found}


def test_urgent_work_goes_on_and_durable_work_is_refused_and_kept():
    """The platform's table is down for a long time, then recovers.

    Door counts are still served. Refreshes and comparisons are refused at once with
    "not run" and a time to retry; the first request that meets the outage in each
    journal gets "unknown". Work accepted before the outage is completed afterwards,
    and no refused work has run.
    """
    with Cell("footfall", QUICK) as cell:
        address = cell.gateways[0].addresses["http"]
        accepted = [post(address, DEFERRED, f"before-{n}") for n in range(10)]
        assert [found[0] for found in accepted] == [202] * 10
        cell.control("faults", target="table", kind="down")
        outcomes = []
        for number in range(20):
            assert post(address, URGENT)[0] == 200
            for body in (ONCE, DEFERRED):
                status, headers, found = post(address, body, f"during-{number}")
                assert status == 503
                assert int(headers["Retry-After"]) >= 1
                outcomes.append(found["outcome"])
        # One "unknown" for each journal that met the outage; none of these writes
        # took effect.
        assert outcomes.count("unknown") <= 2
        assert set(outcomes) <= {"unknown", "not_run"}
        cell.control("clear", target="table")
        cell.wait_until(
            lambda: post(address, ONCE, "afterwards")[0] == 200, "does not recover"
        )
        for _, headers, _ in accepted:
            cell.wait_until(
                lambda place=headers["Location"]: is_done(address, place), "lost"
            )
        runs = durable_runs(cell)
        assert set(runs.values()) == {1}
        assert len(runs) == len(accepted) + 1


def is_done(address, location):
    _, _, data = http_call(address, "GET", location)
    return json.loads(data).get("outcome") == "done"


@pytest.mark.parametrize("tries", [1, 5, 60])
def test_outcome_that_meets_an_outage_is_written_on_return(tries):
    """The table goes down after a refresh has run, for one or several attempts.

    The outcome is retained, written once the table has recovered, and then reported.
    """
    with SimulatedCell() as cell:
        placer = cell.start("placer-1", dict.fromkeys(range(4, 4 + tries), DOWN))
        answer = placer.submit()
        placer.settle()
        placer.run_next()
        placer.settle()
        assert answer.result(5).outcome == "done"
        assert cell.runs(f"{SHARD}.k1") == 1
        placer.end()
        successor = cell.start("placer-2")
        assert successor.shard.work_index.get(f"{SHARD}.k1").ended.outcome == "done"


def test_outcome_known_in_the_middle_of_an_outage_is_kept():
    """A run ends while the journal settles an unanswered write of another record.

    New work is refused meanwhile, but the outcome is accepted, and is in the journal
    once the table has recovered.
    """
    with SimulatedCell() as cell:
        placer = cell.start("placer-1", dict.fromkeys(range(2, 12), DOWN))
        answer = placer.submit()
        placer.settle()
        item = placer.shard.work_index.get(f"{SHARD}.k1")
        assert isinstance(placer.submit(key="k2").exception(5), JournalUnsettled)
        with pytest.raises(JournalUnavailable):
            placer.submit(key="k3")
        placer.runner.end(placer.shard, item, "unknown")
        placer.settle()
        assert answer.result(5).outcome == item.ended.outcome == "unknown"


def test_hundreds_of_tries_share_segments_on_return():
    """The table recovers with 2,000 outcomes queued: they are written in 8 segments.

    One write for each outcome would overload the table at its recovery.
    """
    with SimulatedCell() as cell:
        placer = cell.start("placer-1")
        for number in range(2000):
            placer.submit(key=f"k{number}", wait=0)
        placer.settle()
        writes = cell.platform.table.writes
        items = placer.shard.work_index.items
        with placer.paused_journal():
            for item in items:
                placer.runner.end(placer.shard, item, "unknown")
        placer.settle()
        assert all(item.ended for item in items)
        assert cell.platform.table.writes - writes <= 8 + 1


def test_record_queued_behind_a_lost_answer_is_refused_at_once():
    """A second refresh is queued when the table goes down.

    It waited behind the first, which cannot be settled before the end of the outage,
    and its caller got a timeout ("unknown") although nothing had been written.
    """
    with SimulatedCell() as cell:
        placer = cell.start("placer-1", dict.fromkeys(range(1, 12), DOWN))
        placer.pool.block_operation(1)
        first = placer.submit(key="k1")
        placer.pool.wait_for_operations(1)
        second = placer.submit(key="k2")
        placer.pool.unblock_operation()
        assert isinstance(first.exception(5), JournalUnsettled)
        assert isinstance(second.exception(5), JournalUnavailable)
