"""Keys, teams and maxima between real processes, and where keys never appear."""

import json

import pytest

from papayapick.platform.configuration import OPERATOR_TABLE
from tests.entry.cell import EntryCell, job, wait_for
from tests.entry.team_keys import ID, KEYS, team
from tests.standins.cluster import Cluster

DONE = {"state": "completed"}


@pytest.fixture
def cluster():
    cluster = Cluster()
    cluster.add_worker("w1", cpu=2000, task_seconds=0.3)
    cluster.add_worker("w2", cpu=2000, task_seconds=0.3)
    yield cluster
    cluster.close()


def test_processes_keep_keys_teams_and_maxima(cluster, tmp_path):
    """Guards against hosts that accept unknown keys or start more than a team may.

    Neither rows nor logs nor metrics of the played hosts contain a key.
    """
    maximum = {"cpu": 1000, "mem_mb": 0, "gpu": 0}
    teams = [team("accounts", maximum=maximum), team("leasing")]
    cluster.configure(teams=teams)
    with EntryCell(cluster, tmp_path, hosts=2, has_teams=True) as cell:
        first, second = cell.hosts
        path = f"/quick/{ID}"
        assert first.call("POST", path, job(6))[0] == 401
        assert first.call("POST", path, job(6), key="key-x")[0] == 401
        assert first.call("POST", path, job(6), key="key-a1")[0] == 200
        assert second.call("POST", path, job(6), key="key-l1")[0] == 503
        other = "/quick/" + "1" * 16
        assert second.call("POST", other, job(4), key="key-l1")[0] == 200
        wait_for(lambda: second.call("GET", other, key="key-l1")[1] == DONE)
        assert second.call("GET", path, key="key-l1")[0] == 410
        assert first.call("GET", other, key="key-a2")[0] == 410
        assert first.call("DELETE", other, key="key-a2")[0] == 410
        wait_for(lambda: second.call("GET", path, key="key-a2")[1] == DONE)
        outputs = [host.metrics_page() for host in cell.hosts]
        assert 'papayapick_pool_team_share{team="accounts"}' in str(outputs)
    outputs += [host.log.read_text() for host in cell.hosts]
    outputs += [
        json.dumps(row)
        for (table, _, _), row in cluster.rows.rows.items()
        if table != OPERATOR_TABLE
    ]
    assert not [key for keys in KEYS.values() for key in keys if key in str(outputs)]
    assert cluster.most_running(ID) == 2
    assert cluster.most_running("1" * 16) > 2
