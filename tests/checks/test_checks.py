"""Each check finds its mistake and reports it with an id and a hint."""

import base64
import json
import os
from email.utils import formatdate
from pathlib import Path

import pytest

from demo.cells import ROOT
from papayapick.checks import (
    CheckContext,
    bundles,
    keys,
    package,
    platform,
    processes,
    settings,
)
from papayapick.checks.queries import run_checks
from papayapick.clients import HostEntry, NotSent, Row
from papayapick.clock import ManualClock
from papayapick.conf import SETTINGS, Settings
from tests.management.commands import in_cell, run_command

BUNDLE = str(ROOT / "deploy" / "footfall" / "bundle.json")
KEY = base64.b64encode(b"k" * 32)


def ids(findings):
    found = list(findings)
    assert all(one.hint and one.message for one in found)
    return [one.identifier for one in found]


@pytest.mark.parametrize("name", ["footfall", "wayleave"])
def test_deployments_in_the_repository_have_no_findings(name):
    assert run_checks([str(ROOT / "deploy" / name / "bundle.json")]) == []


def test_default_outside_its_range_is_found(monkeypatch):
    (setting,) = [one for one in SETTINGS if one.name == "http_threads"]
    monkeypatch.setattr(setting, "default", 10**6)
    assert ids(package.check_defaults(None)) == ["package.E001"]


def test_schema_that_loses_a_field_is_found(monkeypatch):
    monkeypatch.setattr(package, "decode", lambda data: (1, lost, ""))
    lost = package.WorkQuery(shard="zone.0", request_id="")
    assert ids(package.check_schema(None)) == ["package.E002"]


VARIABLES = [
    ("missing", {"PAPAYAPICK_CELL": None}, ["settings.E001"]),
    ("bad", {"PAPAYAPICK_PLATFORM_TIMEOUT_SECONDS": "x"}, ["settings.E001"]),
    ("bad of a daemon", {"PAPAYAPICK_HTTP_THREADS": "x"}, ["settings.E002"]),
    ("misspelt", {"PAPAYAPICK_POL_SECONDS": "1"}, ["settings.W001"]),
    ("short death", {"PAPAYAPICK_DEAD_AFTER_SECONDS": "1"}, ["settings.E003"]),
    ("long grant", {"PAPAYAPICK_GRANT_SECONDS": "5"}, ["settings.W002"]),
    ("short lease", {"PAPAYAPICK_TASK_LEASE_SECONDS": "1"}, ["settings.W003"]),
    ("nothing wrong", {}, []),
]


@pytest.mark.parametrize(
    ("change", "expected"),
    [row[1:] for row in VARIABLES],
    ids=[row[0] for row in VARIABLES],
)
def test_wrong_variables_are_found(tmp_path, change, expected):
    environment = _environment(tmp_path)
    environment.update(change)
    environment = {name: value for name, value in environment.items() if value}
    context = CheckContext([], True, environment)
    checks = (settings.check_settings, settings.check_variables)
    checks += (settings.check_intervals,)
    assert [one for check in checks for one in ids(check(context))] == expected


def test_hint_names_the_nearest_variable():
    context = CheckContext([], True, {"PAPAYAPICK_POL_SECONDS": "1"})
    (finding,) = settings.check_variables(context)
    assert "PAPAYAPICK_POLL_SECONDS" in finding.hint


KEY_FILES = [
    ("right", KEY, 0o600, []),
    ("readable", KEY, 0o640, ["keys.W001"]),
    ("rotating", KEY + b"\n" + base64.b64encode(b"n" * 32), 0o600, ["keys.W002"]),
    ("no key", b"secret", 0o600, ["keys.E001"]),
]


@pytest.mark.parametrize(
    ("data", "mode", "expected"),
    [row[1:] for row in KEY_FILES],
    ids=[row[0] for row in KEY_FILES],
)
def test_wrong_cell_key_is_found_and_not_shown(tmp_path, data, mode, expected):
    environment = _environment(tmp_path)
    path = tmp_path / "cell.key"
    path.write_bytes(data)
    path.chmod(mode)
    found = list(keys.check_cell_key(CheckContext([], True, environment)))
    assert ids(found) == expected
    assert data.decode() not in " ".join(str(one) for one in found)


OPERATOR_FILES = [
    ("spare operator", ["ana", "ben", "cleo"], 0o644, []),
    ("no spare", ["ana", "ben"], 0o644, ["keys.W003"]),
    ("too few", ["ana"], 0o644, ["keys.E002"]),
    ("others change it", ["ana", "ben", "cleo"], 0o666, ["keys.E003"]),
]


@pytest.mark.parametrize(
    ("names", "mode", "expected"),
    [row[1:] for row in OPERATOR_FILES],
    ids=[row[0] for row in OPERATOR_FILES],
)
def test_wrong_operator_keys_are_found(tmp_path, names, mode, expected):
    environment = _environment(tmp_path)
    path = tmp_path / "operators.json"
    path.write_text(json.dumps({name: KEY.decode() for name in names}))
    path.chmod(mode)
    context = CheckContext([], True, environment)
    assert ids(keys.check_operator_keys(context)) == expected


DOCUMENTS = [
    ("absent", None, "bundle.E001"),
    ("no JSON", "{", "bundle.E001"),
    ("no object", "[]", "bundle.E002"),
    ("schema", "{}", "bundle.E002"),
]


@pytest.mark.parametrize(
    ("text", "expected"),
    [row[1:] for row in DOCUMENTS],
    ids=[row[0] for row in DOCUMENTS],
)
def test_wrong_documents_are_found(tmp_path, text, expected):
    path = tmp_path / "bundle.json"
    if text is not None:
        path.write_text(text)
    assert ids(bundles.check_bundles(CheckContext([str(path)]))) == [expected]


def test_bundle_of_another_cell_is_found(tmp_path):
    environment = {**_environment(tmp_path), "PAPAYAPICK_CELL": "wayleave"}
    context = CheckContext([BUNDLE], True, environment)
    assert ids(bundles.check_bundles(context)) == ["bundle.E003"]


def _entry(kind, zone="hobart-a", region="south-tas", service="", state="live"):
    name = f"{kind}-{zone}-{service}"
    capacity = {"processors": 160000, "memory": 655360}
    return HostEntry(
        name, kind, state, "", region, zone, capacity=capacity, service=service
    )


def _complete_list():
    places = [("hobart-a", "south-tas"), ("kingston-b", "south-tas")]
    places.append(("launceston-a", "north-tas"))
    found = [
        _entry(kind, zone, region)
        for zone, region in places
        for kind in ("gateway", "placer", "worker")
    ]
    services = ("quick-counts", "tenant-comparisons", "heatmap-refresh")
    return found + [_entry("instance", service=name) for name in services]


def _without(kind, zone=None, service=None):
    return lambda entries: [
        one
        for one in entries
        if not (one.kind == kind and zone in (None, one.zone))
        or (service is not None and one.service != service)
    ]


LISTS = [
    ("whole", lambda entries: entries, []),
    (
        "service without instance",
        _without("instance", service="quick-counts"),
        ["bundle.W001"],
    ),
    ("zone without placer", _without("placer", "kingston-b"), ["bundle.W003"]),
    ("no gateway", _without("gateway", "launceston-a"), ["bundle.W004"]),
    ("no workers", _without("worker"), ["bundle.W005"]),
    (
        "service not named",
        lambda entries: [*entries, _entry("instance", service="old")],
        ["bundle.W002"],
    ),
    (
        "unknown zone",
        lambda entries: [*entries, _entry("worker", "devonport-a")],
        ["bundle.E004"],
    ),
    (
        "zone in another region",
        lambda entries: [*entries, _entry("worker", "hobart-a", "north-tas")],
        ["bundle.E004"],
    ),
    (
        "leaving placer",
        lambda entries: [
            *_without("placer", "kingston-b")(entries),
            _entry("placer", "kingston-b", state="leaving"),
        ],
        ["bundle.W003"],
    ),
]


@pytest.mark.parametrize(
    ("change", "expected"), [row[1:] for row in LISTS], ids=[row[0] for row in LISTS]
)
def test_bundle_and_live_list_are_compared(change, expected):
    context = CheckContext([BUNDLE])
    context.entries = change(_complete_list())
    checks = (bundles.check_services, bundles.check_hosts, bundles.check_teams)
    assert [one for check in checks for one in ids(check(context))] == expected


class FakeAnswer:
    def __init__(self, date):
        self.headers = {"Date": date} if date else {}


class FakePool:
    def __init__(self, date):
        self.date = date

    def request(self, method, url):
        if self.date == "silent":
            raise NotSent(url=url)
        return FakeAnswer(self.date)


NOW = 1_800_000_000
CLOCKS = [
    ("same", formatdate(NOW, usegmt=True), []),
    ("within a second", formatdate(NOW - 2, usegmt=True), []),
    ("ahead", formatdate(NOW - 60, usegmt=True), ["clock.W001"]),
    ("behind", formatdate(NOW + 60, usegmt=True), ["clock.W001"]),
    ("no date", None, []),
    ("silent", "silent", []),
]


@pytest.mark.parametrize(
    ("date", "expected"), [row[1:] for row in CLOCKS], ids=[row[0] for row in CLOCKS]
)
def test_wrong_clock_is_found(date, expected):
    context = CheckContext([], clock=ManualClock(NOW))
    context.settings = Settings({"hosts_url": "http://127.0.0.1:1"})
    context.pool = FakePool(date)
    assert ids(platform.check_clock(context)) == expected


def test_platform_that_does_not_answer_is_found(tmp_path):
    context = CheckContext([], True, _environment(tmp_path))
    assert ids(platform.check_reachability(context)) == [
        "platform.E001",
        "platform.E002",
        "platform.E003",
    ]


PROCESSES = [
    ("right", lambda environment, context: None, []),
    (
        "other key",
        lambda environment, context: Path(
            environment["PAPAYAPICK_CELL_KEY"]
        ).write_bytes(base64.b64encode(b"n" * 32)),
        ["process.W001"] * 6,
    ),
    (
        "table ahead",
        lambda environment, context: setattr(context, "table", TableAhead()),
        ["process.W002"] * 6,
    ),
]


class TableAhead:
    """Hold a head with a sequence that no process has received."""

    def read(self, key):
        value = {"sequence": 99, "digest": "d", "operator": "ana", "proposal": None}
        return Row(key, value, 1)


@pytest.mark.parametrize(
    ("change", "expected"),
    [row[1:] for row in PROCESSES],
    ids=[row[0] for row in PROCESSES],
)
def test_processes_are_queried_with_the_cell_key(footfall, tmp_path, change, expected):
    key = tmp_path / "cell.key"
    environment = footfall._environment()
    key.write_bytes(Path(environment["PAPAYAPICK_CELL_KEY"]).read_bytes())
    environment["PAPAYAPICK_CELL_KEY"] = str(key)
    context = CheckContext([], True, environment)
    change(environment, context)
    assert ids(processes.check_processes(context)) == expected


def test_running_cell_has_no_errors(footfall):
    found = in_cell(footfall, "check", "--deploy", "--json")
    assert found.code == 0, found.out
    assert found.lines[-1]["errors"] == 0
    # The cell of the tests has only two operators, so both must sign.
    assert {one["id"] for one in found.lines[:-1]} <= {"keys.W003"}


def test_check_exits_with_1_if_it_finds_an_error(tmp_path):
    found = run_command("check", str(tmp_path / "absent"), "--json")
    assert (found.code, found.lines[0]["id"]) == (1, "bundle.E001")


def test_settings_are_shown_with_their_source(tmp_path):
    environment = {**_environment(tmp_path), "PAPAYAPICK_POLL_SECONDS": "2"}
    found = run_command("check", "--settings", "--json", environment=environment)
    shown = {line["name"]: (line["value"], line["source"]) for line in found.lines}
    assert shown["poll_seconds"] == (2.0, "environment")
    assert shown["grant_seconds"] == (0.5, "default")
    # The file is named, its contents are not shown.
    assert shown["cell_key"][0].endswith("cell.key")
    assert KEY.decode() not in found.out


def _environment(folder):
    """Return a valid environment in which only the platform does not answer."""
    cell_key, operators = folder / "cell.key", folder / "operators.json"
    cell_key.write_bytes(KEY)
    cell_key.chmod(0o600)
    operators.write_text(json.dumps({"ana": KEY.decode(), "ben": KEY.decode()}))
    names = dict.fromkeys(("TABLE", "OBJECTS", "HOSTS"), "http://127.0.0.1:1")
    return {
        **{name: text for name, text in os.environ.items() if "PAPAYA" not in name},
        **{f"PAPAYAPICK_{name}_URL": url for name, url in names.items()},
        "PAPAYAPICK_CELL": "footfall",
        "PAPAYAPICK_CELL_KEY": str(cell_key),
        "PAPAYAPICK_OPERATOR_KEYS": str(operators),
    }
