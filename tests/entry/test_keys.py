"""Keys of teams: who is served, and which version's keys are in force."""

import io
import json
from types import SimpleNamespace

import pytest

from papayapick.clients.rows import StoredRow
from papayapick.clock import SystemClock
from papayapick.entry.callers.application import Application
from papayapick.entry.cell.peers import Peer
from papayapick.entry.configuration.follower import ConfigurationWatcher
from papayapick.entry.configuration.operator_rows import encode_rows
from papayapick.platform.configuration import CONFIGURATION_KEY, OPERATOR_TABLE
from papayapick.wire.exceptions import PeerTimeout
from papayapick.wire.messages import ConfigurationReply
from tests.entry.team_keys import ID, KEYS, team
from tests.entry.test_application import Host

ROUTE = {
    "name": "q",
    "host": "a.example",
    "path_prefix": "/quick/",
    "service": "p",
}
PUBLIC = {**ROUTE, "name": "open", "path_prefix": "/open/", "public": True}
METHODS = ["POST", "GET", "DELETE"]


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

    def submit(self, document, unfit_step, configuration):
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


def test_watcher_applies_no_older_version(host):
    host.configure(configuration(version=3))
    host.configure(configuration(version=2, teams=["leasing"]))
    assert isinstance(host.configuration, ConfigurationWatcher)
    assert host.ask("GET", "key-a1")[0] == 200
