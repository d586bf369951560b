"""A cell of processes, and a candidacy whose pool's row the test keeps."""

import pytest

from papayapick.entry import candidacy as module
from papayapick.entry.candidacy import Candidacy
from papayapick.ownership.pools import PoolRow
from tests.entry.candidates import Host
from tests.entry.cell import EntryCell
from tests.standins.cluster import Cluster


@pytest.fixture
def taken():
    return []


@pytest.fixture
def rows():
    """The pool's row in the store, as the only item."""
    return [PoolRow("pool")]


@pytest.fixture
def candidacy(monkeypatch, rows, taken):
    def take(store, seen, owner, address):
        taken.append(seen.epoch + 1)
        row = PoolRow("pool", owner, seen.epoch + 1, address, seen.version + 1)
        rows[0] = row
        return row

    def record_claim_and_take(store, seen, owner, address):
        claims.append(found.owned_epoch)
        return take(store, seen, owner, address)

    claims = []
    monkeypatch.setattr(module, "read_pool", lambda store, pool: rows[0])
    monkeypatch.setattr(module, "claim_pool", record_claim_and_take)
    monkeypatch.setattr(module, "check_readable", lambda host, pool: None)
    monkeypatch.setattr(Candidacy, "_start_owner", lambda self, row: self.note_row(row))
    found = Candidacy(Host(), "pool")
    found._host.claims = claims
    return found


@pytest.fixture
def cluster():
    cluster = Cluster()
    for number in range(1, 5):
        cluster.add_worker(f"w{number}", task_seconds=0.15)
    cluster.configure()
    yield cluster
    cluster.close()


@pytest.fixture
def cell(cluster, tmp_path):
    with EntryCell(cluster, tmp_path) as cell:
        yield cell
