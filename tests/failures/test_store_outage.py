"""The store goes away and comes back: what goes on, what is refused, what is kept."""

import json

import pytest

from demo.cells import Cell, http_call
from papayapick.journal import JournalUnavailable, JournalUnsettled
from tests.failures.lives import DOWN, SHARD
from tests.failures.lives import Cell as PartsCell

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
    """The platform's table is down for long, then comes back.

    Door counts go on. Refreshes and comparisons are refused at once with "not
    run" and when to come back; the first that meet the outage hear "unknown".
    What was accepted before arrives, and nothing that was refused has run.
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
        # One for each journal that met the outage; no write of it is in force.
        assert outcomes.count("unknown") <= 2
        assert set(outcomes) <= {"unknown", "not_run"}
        cell.control("clear", target="table")
        cell.wait_until(
            lambda: post(address, ONCE, "afterwards")[0] == 200, "does not come back"
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
    """A refresh has run when the table goes down, for one try or for many.

    Its outcome is kept, written once the table is back, and told then.
    """
    with PartsCell() as cell:
        life = cell.start("placer-1", dict.fromkeys(range(4, 4 + tries), DOWN))
        answer = life.submit()
        life.settle()
        life.run_next()
        life.settle()
        assert answer.result(5).outcome == "done"
        assert cell.runs(f"{SHARD}.k1") == 1
        life.end()
        successor = cell.start("placer-2")
        assert successor.shard.work_index.get(f"{SHARD}.k1").ended.outcome == "done"


def test_outcome_known_in_the_middle_of_an_outage_is_kept():
    """A run ends while the journal is busy with another record's fate.

    New work is refused meanwhile; the outcome is taken all the same, and is
    in the journal once the table is back.
    """
    with PartsCell() as cell:
        life = cell.start("placer-1", dict.fromkeys(range(2, 12), DOWN))
        answer = life.submit()
        life.settle()
        item = life.shard.work_index.get(f"{SHARD}.k1")
        assert isinstance(life.submit(key="k2").exception(5), JournalUnsettled)
        with pytest.raises(JournalUnavailable):
            life.submit(key="k3")
        life.runner.end(life.shard, item, "unknown")
        life.settle()
        assert answer.result(5).outcome == item.ended.outcome == "unknown"


def test_hundreds_of_tries_share_segments_on_return():
    """The table comes back with 2,000 outcomes waiting: eight writes, no rush."""
    with PartsCell() as cell:
        life = cell.start("placer-1")
        for number in range(2000):
            life.submit(key=f"k{number}", wait=0)
        life.settle()
        writes = cell.platform.table.writes
        items = life.shard.work_index.items
        with life.held():
            for item in items:
                life.runner.end(life.shard, item, "unknown")
        life.settle()
        assert all(item.ended for item in items)
        assert cell.platform.table.writes - writes <= 8 + 1


def test_record_queued_behind_a_lost_answer_is_refused_at_once():
    """A second refresh is queued at the moment the table goes down.

    It stood behind the first, whose fate takes as long as the outage, and its
    caller was left to a timeout ("unknown") though nothing had been written.
    """
    with PartsCell() as cell:
        life = cell.start("placer-1", dict.fromkeys(range(1, 12), DOWN))
        life.pool.hold(1)
        first = life.submit(key="k1")
        life.pool.wait_for_operations(1)
        second = life.submit(key="k2")
        life.pool.let_go()
        assert isinstance(first.exception(5), JournalUnsettled)
        assert isinstance(second.exception(5), JournalUnavailable)
