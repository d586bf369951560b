"""What hosts do with batches of job states that they receive."""

from types import SimpleNamespace

import pytest

from papayapick.entry.cell import state_relays
from papayapick.entry.cell.peer_requests import PeerRequestHandler
from papayapick.entry.cell.state_relays import StateForwarder
from papayapick.wire.exceptions import PeerUnreachable
from papayapick.wire.messages import JobNews, StateBatch
from tests.entry.relayed_cell import Cell


@pytest.fixture
def cell():
    return Cell()


def test_forwarder_names_the_hosts_that_it_did_not_reach(cell, monkeypatch):
    """Guards against an owner that takes a silent host for informed."""
    monkeypatch.setattr(state_relays, "_FORWARD_TIMEOUT_SECONDS", 0.01)
    cell.get("b01").client.is_silent = True
    cell.get("b02").client.error = PeerUnreachable(address=("h", 1))
    news = [JobNews(identifier="job-1", status="running")]
    hosts = ["b00", "b01", "b02", "gone"]
    batch = StateBatch(pool="pool", epoch=3, news=news, hosts=hosts)
    answer = StateForwarder(cell).forward(batch).result()
    assert set(answer.missed) == {"b01", "b02", "gone"}
    (passed_on,) = cell.get("b00").client.batches()
    assert not passed_on.hosts
    assert cell.get("b01").client.closed == 1


@pytest.mark.parametrize(("epoch", "expected"), [(3, "running"), (2, None)])
def test_batch_of_a_replaced_owner_is_dropped(cell, epoch, expected):
    """Guards against an old state that replaces a newer one after a takeover."""
    candidacy = SimpleNamespace(known_epoch=3)
    handler = PeerRequestHandler(cell, {"pool": candidacy}, None)
    news = [JobNews(identifier="job-1", status="running")]
    batch = StateBatch(pool="pool", epoch=epoch, news=news, hosts=[])
    handler.answer(batch, None, "")
    assert cell.job_states.state("job-1") == expected


def test_state_that_was_overtaken_does_not_replace_a_newer_one(cell):
    """Guards against a job that a caller sees running, and then waiting again."""
    for status in ("waiting", "running", "waiting"):
        cell.job_states.note_statuses({"job-1": status}, {})
    assert cell.job_states.state("job-1") == "running"
