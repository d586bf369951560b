"""Answers to callers of a host that has just started or whose queue is full."""

import io
import json
import threading

import pytest

from papayapick.clients.rows import StoredRow
from papayapick.clock import SystemClock
from papayapick.entry.callers.application import Application
from papayapick.entry.configuration.follower import ConfigurationWatcher
from papayapick.entry.exceptions import QueueFull
from papayapick.platform.configuration import CONFIGURATION_KEY

PATH = "/quick/5c0e7a21d94b36f8"
CONFIGURATION = {
    "version": 7,
    "routes": [
        {"name": "q", "host": "a.example", "path_prefix": "/quick/", "service": "p"}
    ],
    "services": [{"name": "p"}],
    "limits": {"max_body_bytes": 1000},
}
JOB = json.dumps({"spec": "text", "phases": [{"task_count": 1, "cpu": 100}]}).encode()


class Settings:
    host_name = "h1"
    region = "south"
    readiness_address = ("127.0.0.1", 1)
    metrics_port = 0
    has_teams = False


class Host:
    """Stand in for an entry host that accepts all jobs."""

    def __init__(self):
        self.clock = SystemClock()
        self.settings = Settings()
        self.configuration = ConfigurationWatcher(self)
        self.acceptance = self.store_health = self
        self.accepted = []

    def prepare_configuration(self, configuration):
        pass

    def note_configuration(self, configuration):
        pass

    def submit(self, document, unfit_step, configuration):
        self.accepted.append(document.identifier)
        return True

    def logged_age(self):
        return None


@pytest.fixture
def host():
    return Host()


def post(host):
    answers = []
    environ = {
        "SERVER_PORT": "2",
        "REQUEST_METHOD": "POST",
        "HTTP_HOST": "a.example",
        "PATH_INFO": PATH,
        "CONTENT_LENGTH": str(len(JOB)),
        "wsgi.input": io.BytesIO(JOB),
    }
    Application(host)(
        environ, lambda status, headers: answers.append((status, headers))
    )
    return answers[0]


def configure(host):
    row = StoredRow("op", "", CONFIGURATION_KEY, CONFIGURATION, 1)
    host.configuration._note_rows([row])


def test_request_waits_briefly_for_the_first_configuration(host):
    # Guards against refusing callers after a restart of all hosts. They accept
    # connections at once and have their configuration 0.03 s later; a caller refused in
    # between would retry only after a second.
    timer = threading.Timer(0.02, configure, (host,))
    timer.start()
    status, _ = post(host)
    assert status == "200 OK"
    assert host.accepted == [PATH.rpartition("/")[2]]


def test_refusal_without_a_configuration_has_a_retry_time(host):
    status, headers = post(host)
    assert status == "503 Service Unavailable"
    assert dict(headers)["Retry-After"] == "1"
    assert host.accepted == []


def test_refusal_by_a_full_queue_has_its_retry_time(host):
    def submit(document, unfit_step, configuration):
        raise QueueFull(queue=document.queue, retry_after=7)

    host.submit = submit
    configure(host)
    status, headers = post(host)
    assert status == "429 Too Many Requests"
    assert dict(headers)["Retry-After"] == "7"
