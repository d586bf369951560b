"""Invalid input is answered with a typed problem, and nothing is run."""

import http.client
import json

import pytest

from demo.cells import http_call

JOB = {"job": "season-model", "members": 3, "processors": 1000}
ONCE = {"service": "heatmap-refresh", "payload": {}}
URGENT = {"service": "quick-counts", "payload": {}}
KEYED = {"Idempotency-Key": "bad-input"}
PREFIX = "urn:papayapick:problem:"

BAD_INPUTS = [
    ("unknown service", {"service": "nobody"}, {}, 404, "request.service-unknown"),
    ("unknown job", {"job": "nobody"}, {}, 404, "request.service-unknown"),
    ("both", {**URGENT, **JOB}, {}, 400, "request.invalid"),
    ("neither", {}, {}, 400, "request.invalid"),
    ("no object", [1], {}, 400, "request.invalid"),
    ("name of a wrong type", {"service": 7}, {}, 400, "request.invalid"),
    ("missing key", ONCE, {}, 400, "request.key-missing"),
    ("long key", ONCE, {"Idempotency-Key": "k" * 200}, 400, "request.invalid"),
    ("deadline past", URGENT, {"Request-Timeout": "0"}, 400, "request.deadline-past"),
    ("deadline no number", URGENT, {"Request-Timeout": "x"}, 400, "request.invalid"),
    ("deadline not finite", URGENT, {"Request-Timeout": "nan"}, 400, "request.invalid"),
    ("no members", {**JOB, "members": 0}, {}, 400, "request.invalid"),
    ("members of a wrong type", {**JOB, "members": "3"}, {}, 400, "request.invalid"),
    ("too many", {**JOB, "members": 17}, {}, 422, "request.members-over-limit"),
    ("negative", {**JOB, "memory": -1}, {}, 400, "request.invalid"),
    ("no processors", {**JOB, "processors": 0}, {}, 400, "request.invalid"),
    ("never fits", {**JOB, "memory": 10**6}, {}, 422, "ledger.never-fits"),
    ("no accelerators here", {**JOB, "accelerators": 1}, {}, 422, "ledger.never-fits"),
]


@pytest.mark.parametrize(
    ("body", "headers", "status", "code"),
    [row[1:] for row in BAD_INPUTS],
    ids=[row[0] for row in BAD_INPUTS],
)
def test_bad_input_is_refused_as_a_problem(footfall, body, headers, status, code):
    address = footfall.gateways[0].addresses["http"]
    found = http_call(address, "POST", "/v1/requests", body, headers)
    assert found[0] == status
    assert found[1]["Content-Type"] == "application/problem+json"
    problem = json.loads(found[2])
    assert problem["type"] == PREFIX + code
    assert problem["outcome"] == "not_run"


PATHS = [
    ("GET", "/v1/nothing", 404, "request.path-unknown"),
    ("PUT", "/v1/requests", 404, "request.path-unknown"),
    ("GET", "/v1/requests/nowhere.0.abc", 404, "journal.work-unknown"),
    ("GET", "/v1/requests/hobart-a.0.abc", 404, "journal.work-unknown"),
    ("DELETE", "/v1/requests/hobart-a.0.abc", 404, "journal.work-unknown"),
]


@pytest.mark.parametrize(("method", "path", "status", "code"), PATHS)
def test_unknown_paths_are_problems(footfall, method, path, status, code):
    address = footfall.gateways[0].addresses["http"]
    found = http_call(address, method, path)
    assert (found[0], json.loads(found[2])["type"]) == (status, PREFIX + code)


def test_malformed_json_is_refused(footfall):
    connection = http.client.HTTPConnection(footfall.gateways[0].addresses["http"])
    connection.request("POST", "/v1/requests", b'{"service": ')
    answer = connection.getresponse()
    assert answer.status == 400
    assert json.loads(answer.read())["type"] == PREFIX + "request.invalid"
    connection.close()


def test_oversized_body_is_refused(footfall):
    body = {"service": "quick-counts", "payload": "x" * (1 << 20)}
    address = footfall.gateways[0].addresses["http"]
    status, _, data = http_call(address, "POST", "/v1/requests", body)
    assert status == 413
    assert json.loads(data)["type"] == PREFIX + "request.body-too-large"
    assert json.loads(data)["outcome"] == "not_run"


def test_key_with_another_payload_is_a_conflict(footfall):
    """A reused key with another payload must not return the earlier answer.

    If the key alone identified a request, a refresh with a new payload would show
    the figures of the earlier refresh.
    """
    headers = {"Idempotency-Key": "reused"}
    first, second = (found.addresses["http"] for found in footfall.gateways[:2])
    body = {"service": "heatmap-refresh", "payload": {"area": 1}}
    assert http_call(first, "POST", "/v1/requests", body, headers)[0] == 200
    body["payload"] = {"area": 2}
    status, _, data = http_call(second, "POST", "/v1/requests", body, headers)
    assert (status, json.loads(data)["type"]) == (409, PREFIX + "journal.key-reused")
