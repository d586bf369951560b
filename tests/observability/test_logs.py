"""Log lines name request, trace, shard, epoch and bundle, and show no secret."""

import base64
import io
import json
import logging
from pathlib import Path

import pytest

from demo.cells import http_call
from papayapick.clock import ManualClock
from papayapick.conf import Settings
from papayapick.observability import (
    AccessLog,
    configure_logs,
    get_logger,
    log_fields,
    note_fields,
)

PATH = "/v1/requests"
TRACE = "00-" + "ab" * 16 + "-" + "cd" * 8 + "-01"


@pytest.fixture
def lines():
    stream = io.StringIO()
    root = logging.getLogger("papayapick")
    before = root.handlers, root.level, root.propagate
    settings = Settings({"cell": "c", "host_name": "h", "log_level": "info"})
    configure_logs(settings, "program", stream)
    yield lambda: [json.loads(line) for line in stream.getvalue().splitlines()]
    root.handlers, root.level, root.propagate = before


def test_line_has_the_fields_of_its_context(lines):
    with log_fields(request_id="r1", shard="a.0"):
        note_fields(epoch=4)
        get_logger("papayapick.x").info("hello", extra={"shard": "b.0"})
    get_logger("papayapick.x").info("after")
    first, second = lines()
    assert (first["request_id"], first["epoch"], first["shard"]) == ("r1", 4, "b.0")
    assert (first["cell"], first["host"], first["program"]) == ("c", "h", "program")
    assert "request_id" not in second


@pytest.mark.parametrize(
    ("kept", "statuses"),
    [("all", [200, 404, 503]), ("failures", [404, 503]), ("none", [])],
)
def test_access_log_writes_the_selected_requests(lines, kept, statuses):
    access = AccessLog(kept, ManualClock())
    for status in (200, 404, 503):
        access.write(access.start(), "GET", "/" + "x" * 999, status, "done")
    assert [line["status"] for line in lines()] == statuses
    assert all(len(line["path"]) <= 128 for line in lines())


def _wait_for_local_shard(cell, gateway):
    # After the start the first running placer may own the shards of other zones too,
    # and a request goes to the nearest served shard: on a busy machine one in six first
    # requests went to a shard of another zone.
    def is_served_locally():
        body = {"service": "quick-counts", "payload": {}}
        answer = http_call(gateway.addresses["http"], "POST", PATH, body)
        request_id = answer[1]["Request-Id"]
        lines = [one for one in gateway.lines() if one.get("request_id") == request_id]
        return any(line.get("shard", "").startswith("hobart-a.") for line in lines)

    cell.wait_until(is_served_locally, "requests go to another zone")


def test_each_request_has_a_line_with_ids(footfall):
    gateway = footfall.gateways[0]
    _wait_for_local_shard(footfall, gateway)
    body = {"service": "quick-counts", "payload": {"secret-of-caller": 1}}
    headers = {"traceparent": TRACE, "Caller": "arcade-managers"}
    answer = http_call(gateway.addresses["http"], "POST", PATH, body, headers)
    request_id = answer[1]["Request-Id"]

    def access_lines():
        return [one for one in gateway.lines() if one.get("request_id") == request_id]

    footfall.wait_until(access_lines, "no access line")
    (line,) = access_lines()
    assert (line["status"], line["outcome"]) == (200, "done")
    assert line["trace_id"] == answer[1]["Trace-Id"] == "ab" * 16
    assert line["bundle_sequence"] >= 1
    assert line["shard"].startswith("hobart-a.")
    assert line["epoch"] >= 1
    assert line["service"] == "quick-counts"
    assert "secret-of-caller" not in gateway.log.read_text()


def test_no_log_or_command_output_shows_a_key(footfall):
    folder = Path(footfall.folder.name)
    secrets = [folder.joinpath("cell.key").read_text().strip()]
    secrets.append(base64.b64decode(secrets[0]).hex())
    for name in ("ana", "ben"):
        secrets.append(folder.joinpath(f"{name}.pem").read_text().splitlines()[1])
    outputs = [daemon.log.read_text() for daemon in footfall.daemons.values()]
    for arguments in (
        ["cell", "status"],
        ["check", "--deploy"],
        ["check", "--settings"],
        ["bundle", "sign", "x", f"--key={folder}/ana.pem", "--out=/nowhere/x"],
        ["key", "cell", f"{folder}/cell.key"],
        ["key", "operator", "ana", f"{folder}/ana.pem"],
    ):
        result = footfall.command(*arguments, check=False)
        outputs += [result.stdout, result.stderr]
    assert not [text for text in outputs for secret in secrets if secret in text]
