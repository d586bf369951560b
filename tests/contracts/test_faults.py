"""Tests that every kind of fault can be injected into every stand-in over HTTP."""

import json

import pytest

from tests.standins.board import KINDS
from tests.standins.server import Platform

ENVIRON = {"REQUEST_METHOD": "PUT", "HTTP_REQUEST_ID": "r", "HTTP_SHARD_EPOCH": "1"}
CALLS = {
    "table": ("/table/transactions", {"conditions": [], "writes": []}),
    "objects": ("/objects/name", {}),
    "hosts": ("/hosts", {}),
    "w": ("/workers/w/fence", {"epoch": 1}),
    "i": ("/instances/i", {}),
}


# The kind "leave" is excluded below: it only adds the announcement that a backend
# server is leaving to its answers.


class Body:
    def __init__(self, value):
        self._data = json.dumps(value).encode()

    def read(self, size):
        return self._data


def call(platform, path, value):
    environ = {**ENVIRON, "PATH_INFO": path, "CONTENT_LENGTH": "1"}
    status = []
    platform(
        {**environ, "wsgi.input": Body(value)}, lambda line, _: status.append(line)
    )
    return int(status[0].split()[0])


@pytest.mark.parametrize("target", CALLS)
@pytest.mark.parametrize("kind", sorted(set(KINDS) - {"leave"}))
def test_every_stand_in_supports_every_fault(target, kind):
    platform = Platform(service_seconds=0)
    platform.workers.add("w", {})
    platform.instances.add("i", "counts")
    delays = []
    platform.board.delay = delays.append
    fault = {"target": target, "kind": kind, "value": 1}
    assert call(platform, "/control/faults", fault) == 200
    is_slow = kind in ("slow", "freeze")
    # Reading the host list has no effect, so it does not support lost answers.
    is_answered = is_slow or (target, kind) == ("hosts", "lose_answers")
    status = call(platform, *CALLS[target])
    assert (status < 300) == is_answered
    if is_slow:
        assert target in delays
