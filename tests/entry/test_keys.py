"""Keys of teams: who is served, which jobs a team sees, and where keys never appear."""

import io
import json
from types import SimpleNamespace

import pytest

from papayapick.clients.exceptions import TableUnavailable
from papayapick.clients.rows import StoredRow
from papayapick.clock import ManualClock, SystemClock
from papayapick.entry.callers.acceptance import Acceptance
from papayapick.entry.callers.application import Application
from papayapick.entry.callers.job_states import JobStateCache
from papayapick.entry.cell.peers import Peer
from papayapick.entry.cell.state_relays import job_news
from papayapick.entry.configuration.follower import ConfigurationWatcher
from papayapick.entry.configuration.operator_rows import encode_rows
from papayapick.entry.exceptions import (
    AcceptanceUnknown,
    ExceedsMaximum,
    JobUnknown,
    NotAccepted,
)
from papayapick.jobs import JobDocument, Queue, Step
from papayapick.ledger import Amounts
from papayapick.platform.configuration import CONFIGURATION_KEY, OPERATOR_TABLE
from papayapick.wire.exceptions import PeerTimeout
from papayapick.wire.messages import ConfigurationReply
from tests.entry.cell import EntryCell, job, wait_for
from tests.entry.test_acceptance import FakeStore
from tests.entry.test_application import Host
from tests.standins.cluster import Cluster

ID = "5c0e7a21d94b36f8"
QUEUE = Queue("q", "h", "/q/", "pool", 0, 2, 1.5, 0.5, 3.0, False, None, False)
ROUTE = {
    "name": "q",
    "host": "a.example",
    "path_prefix": "/quick/",
    "service": "p",
}
PUBLIC = {**ROUTE, "name": "open", "path_prefix": "/open/", "public": True}
KEYS = {"accounts": ["key-a1", "key-a2"], "leasing": ["key-l1"]}
DONE = {"state": "completed"}
METHODS = ["POST", "GET", "DELETE"]


def team(name, **fields):
    return {"name": name, "api_keys": KEYS[name], "weight": 5, **fields}


def configuration(version=1, teams=("accounts", "leasing"), **maximum):
    return {
        "version": version,
        "routes": [ROUTE, PUBLIC],
        "services": [{"name": "p"}],
        "limits": {"max_body_bytes": 1000},
        "tenants": [team(name, maximum=maximum) for name in teams],
    }


class TeamHost(Host):
    """Stand in for an entry host that serves teams and records what is called."""

    def __init__(self):
        super().__init__()
        self.settings.has_teams = True
        self.job_states = self.watched_pools = self
        self.calls = []
        self.unfit_steps = []

    def submit(self, document, unfit_step):
        self.calls.append(("POST", document.team))
        self.unfit_steps.append(unfit_step)
        return True

    def status(self, queue, identifier, team):
        self.calls.append(("GET", team))
        return "waiting"

    def cancel(self, queue, identifier, team):
        self.calls.append(("DELETE", team))
        return False

    def waiting(self, queue, former_pools):
        return len(former_pools)

    def former_pools(self, queue):
        return []

    def configure(self, value):
        row = StoredRow(OPERATOR_TABLE, "", CONFIGURATION_KEY, value, 1)
        self.configuration._note_rows([row])

    def ask(self, method, key=None, path="/quick/" + ID, body=None):
        body = JOB_BODY if body is None else body
        environ = {
            "SERVER_PORT": "2",
            "REQUEST_METHOD": method,
            "HTTP_HOST": "a.example",
            "PATH_INFO": path,
            "CONTENT_LENGTH": str(len(body)),
            "wsgi.input": io.BytesIO(body),
        }
        if key is not None:
            environ["HTTP_API_KEY"] = key
        statuses = []
        answer = Application(self)(
            environ, lambda status, headers: statuses.append(int(status[:3]))
        )
        return statuses[0], json.loads(b"".join(answer))


JOB_BODY = json.dumps(
    {"spec": "text", "phases": [{"task_count": 1, "cpu": 100}]}
).encode()


@pytest.fixture
def host():
    found = TeamHost()
    found.configure(configuration())
    return found


@pytest.mark.parametrize("method", METHODS)
@pytest.mark.parametrize("key", [None, "", "key-x", "KEY-A1", "key-a1 "])
def test_call_without_a_known_key_reaches_neither_store_nor_owner(host, method, key):
    status, body = host.ask(method, key, body=b"no JSON")
    assert (status, body["error"]) == (401, "entry.key-unknown")
    assert host.calls == []


@pytest.mark.parametrize("method", METHODS)
@pytest.mark.parametrize("key", KEYS["accounts"])
def test_each_key_of_a_team_is_valid(host, method, key):
    assert host.ask(method, key)[0] == 200
    assert host.calls == [(method, "accounts")]


def test_count_of_a_queue_requires_a_key(host):
    assert host.ask("GET", path="/quick/")[0] == 401
    assert host.ask("GET", "key-l1", path="/quick/")[0] == 200


def test_public_queue_requires_no_key(host):
    assert host.ask("POST", path="/open/" + ID)[0] == 200
    assert host.ask("POST", "key-x", path="/open/" + ID)[0] == 200
    assert host.calls == [("POST", ""), ("POST", "")]


def test_unknown_queue_is_not_found_whatever_the_key(host):
    assert host.ask("GET", path="/nowhere/" + ID)[0] == 404


def test_key_that_a_version_takes_away_is_refused(host):
    host.configure(configuration(version=2, teams=["leasing"]))
    assert host.ask("POST", "key-a1")[0] == 401
    assert host.ask("POST", "key-l1")[0] == 200


def test_invalid_version_leaves_the_keys_in_force(host):
    """Guards against a version that is half in force, with its queues but no keys."""
    invalid = configuration(version=2, teams=["leasing"])
    invalid["tenants"][0]["api_keys"] = ["key-l1", 7]
    host.configure(invalid)
    assert host.configuration.version == 1
    assert host.ask("POST", "key-a1")[0] == 200


def test_step_that_exceeds_its_teams_maximum_is_found(host):
    host.configure(configuration(version=2, cpu=50))
    host.ask("POST", "key-a1")
    host.configure(configuration(version=3, cpu=100))
    host.ask("POST", "key-a1")
    assert host.unfit_steps == [0, None]


def test_configuration_is_read_through_another_host_while_the_store_is_lost(host):
    """Guards against a host that accepts removed keys as long as the store refuses it.

    It goes on serving callers through other hosts meanwhile.
    """
    host.stopping = StopsAfter(2)
    host.clock = WaitlessClock()
    host.is_lost = lambda: True
    later = configuration(version=2, teams=["leasing"])
    rows = [StoredRow(OPERATOR_TABLE, "", CONFIGURATION_KEY, later, 2)]
    silent = other_host("h2", PeerTimeout(address="h2", seconds=1))
    reached = other_host(
        "h3", ConfigurationReply(version=2, rows=encode_rows(rows), is_current=True)
    )
    host.peers = SimpleNamespace(all=lambda: [silent, reached])
    host.configuration.run_relayed()
    assert host.configuration.version == 2
    assert host.ask("GET", "key-a1")[0] == 401


def other_host(name, answer):
    """Return another host that gives one answer, or raises it."""

    def ask(query, seconds):
        if isinstance(answer, Exception):
            raise answer
        return answer

    client = SimpleNamespace(ask=ask, close=lambda: None)
    return Peer(name, "a:1", "z1", "south", client)


class WaitlessClock(SystemClock):
    """Return at once from each wait."""

    def wait(self, event, seconds):
        pass


class StopsAfter:
    """Stand in for an event that is set after some queries."""

    def __init__(self, queries):
        self._queries = queries

    def is_set(self):
        self._queries -= 1
        return self._queries < 0


# Jobs of other teams.


def document(team):
    return JobDocument(ID, "q", "pool", "t", [Step(1, Amounts(1, 1))], 0.0, team=team)


class StoreOfOneJob(FakeStore):
    """Hold the job of one team; a second job with its id is not stored."""

    def __init__(self, team, **options):
        super().__init__(keys=[ID], **options)
        self._rows = [StoredRow("jobs", "pool", ID, {"team": team}, 1)]

    def submit(self, expectation, write):
        done = super().submit(expectation, write)
        if write.key == ID:
            done = type(done)()
            done.set_result(False)
        return done


def acceptance_of(store):
    states = JobStateCache(ManualClock(100.0))
    return Acceptance(store, store, states), states


def test_other_teams_job_is_answered_like_one_that_does_not_exist():
    store = StoreOfOneJob("accounts")
    found, states = acceptance_of(store)
    for is_cached in (False, True):
        if is_cached:
            states.note_statuses({ID: "running"}, {ID: "accounts"})
        with pytest.raises(JobUnknown):
            found.status(QUEUE, ID, "leasing")
        with pytest.raises(JobUnknown):
            found.cancel(QUEUE, ID, "leasing")
        assert store.written == []
    assert found.status(QUEUE, ID, "accounts") == "running"
    assert found.cancel(QUEUE, ID, "accounts")


def test_final_job_of_another_team_can_not_be_cancelled():
    found, states = acceptance_of(StoreOfOneJob("accounts"))
    states.note_statuses({ID: "completed"}, {ID: "accounts"})
    with pytest.raises(JobUnknown):
        found.cancel(QUEUE, ID, "leasing")
    assert found.cancel(QUEUE, ID, "accounts") is False


@pytest.mark.parametrize("is_cached", [False, True])
def test_id_of_another_teams_job_is_not_accepted(is_cached):
    """Guards against telling a team that its job was accepted, which never runs."""
    found, states = acceptance_of(StoreOfOneJob("accounts"))
    if is_cached:
        states.note_accepted(ID, "accounts")
    with pytest.raises(NotAccepted):
        found.submit(document("leasing"))
    assert found.submit(document("accounts")) is False


def test_repeated_id_is_not_refused_while_its_team_is_unknown():
    """Guards against a refusal that says "not run" while the caller's job runs."""
    store = StoreOfOneJob("accounts")
    found, _ = acceptance_of(store)

    def read(*place):
        raise TableUnavailable()

    store.read = read
    with pytest.raises(AcceptanceUnknown):
        found.submit(document("accounts"))


def test_job_that_exceeds_its_teams_maximum_is_refused_at_once():
    """Guards against jobs that wait for ever, as their team can never start them."""
    store = FakeStore()
    with pytest.raises(ExceedsMaximum):
        acceptance_of(store)[0].submit(document("accounts"), unfit_step=0)
    assert store.written == []


def test_accepted_job_is_not_refused_after_its_teams_maximum_was_lowered():
    """Guards against a refusal that says "not run" while the caller's job runs."""
    found, states = acceptance_of(StoreOfOneJob("accounts"))
    assert found.submit(document("accounts"), unfit_step=0) is False
    states.note_accepted(ID, "accounts")
    assert found.submit(document("accounts"), unfit_step=0) is False
    store = StoreOfOneJob("accounts")
    store.read = lambda *place: (_ for _ in ()).throw(TableUnavailable())
    with pytest.raises(AcceptanceUnknown):
        acceptance_of(store)[0].submit(document("accounts"), unfit_step=0)


def test_state_of_a_removed_job_is_not_told():
    """Guards against a job that callers of all teams see, as its team is not known."""
    feed = SimpleNamespace(teams=lambda identifiers: {ID: "accounts"})
    owner = SimpleNamespace(status_feed=feed)
    news = job_news(owner, {ID: "running", "0" * 16: "completed"})
    assert [(one.identifier, one.team) for one in news] == [(ID, "accounts")]


def test_state_that_other_hosts_report_keeps_its_team():
    states = JobStateCache(None)
    states.note_statuses({ID: "waiting"}, {ID: "accounts"})
    states.note_statuses({ID: "running"}, {})
    assert states.team(ID) == "accounts"


# Real processes.


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


def test_watcher_applies_no_older_version(host):
    host.configure(configuration(version=3))
    host.configure(configuration(version=2, teams=["leasing"]))
    assert isinstance(host.configuration, ConfigurationWatcher)
    assert host.ask("GET", "key-a1")[0] == 200
