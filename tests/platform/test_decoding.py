"""Decoding of the platform's bodies and settings into types of papayapick."""

import json

import pytest

from papayapick.platform.configuration import decode_configuration
from papayapick.platform.exceptions import BodyInvalid, PlatformSettingsInvalid
from papayapick.platform.requests import decode_job, encode_state, encode_waiting
from papayapick.platform.settings import PlatformSettings
from papayapick.platform.waves import decode_wave
from tests.entry.cell import settings_text

ID = "5c0e7a21d94b36f8"


def _configuration(**route):
    queue = {"name": "q", "host": "A.example", "path_prefix": "/q/", "service": "p"}
    return {
        "version": 7,
        "routes": [{**queue, **route}],
        "services": [{"name": "p", "enforces_capacity": True}],
        "limits": {"max_body_bytes": 1000},
    }


def test_queue_is_found_by_host_and_longest_path_prefix():
    found = _configuration()
    found["routes"].append({**found["routes"][0], "name": "r", "path_prefix": "/q/r/"})
    configuration = decode_configuration(found)
    assert configuration.find("a.example:80", f"/q/{ID}").name == "q"
    assert configuration.find("a.example", f"/q/r/{ID}").name == "r"
    assert configuration.find("b.example", f"/q/{ID}") is None
    assert configuration.pools == {"p"}


def test_policies_of_a_queue_are_decoded():
    advice = {"decide_ms": 500, "each_ms": 10, "valid_ms": 2500}
    found = _configuration(advice=advice, slo_ms=500, attempts=4, stretch=1.5)
    queue = decode_configuration(found).queues["q"]
    assert queue.advice.expected_seconds(10) == pytest.approx(0.6)
    assert (queue.objective_seconds, queue.failure_limit) == (0.5, 4)
    assert queue.workers_check_room


@pytest.mark.parametrize("missing", ["version", "routes", "services", "limits"])
def test_configuration_without_a_required_section_is_refused(missing):
    found = _configuration()
    del found[missing]
    with pytest.raises(BodyInvalid):
        decode_configuration(found)


def _queue():
    return decode_configuration(_configuration()).queues["q"]


def _body(**phase):
    return json.dumps({"spec": "x", "phases": [{"task_count": 2, "cpu": 500, **phase}]})


def test_all_fields_of_a_job_are_decoded():
    body = _body(
        mem_mb=64,
        gpu=1,
        estimate_ms=900,
        gang=True,
        same_rack=True,
        requires="a",
        data_rack="r1-1",
        anti_affinity=2,
        checkpointing=True,
        speculative=True,
        long_running=True,
        image="i",
        target_ms=80,
        fills=True,
        may_miss=1,
    )
    step = decode_job(ID, _queue(), body, 5.0).steps[0]
    assert (step.demand.processors, step.demand.memory) == (500, 64)
    assert step.demand.accelerators == 1
    assert (step.estimate_seconds, step.tail_limit_seconds) == (0.9, 0.08)
    assert step.is_gang and step.is_rack_bound and step.is_lasting
    assert step.has_checkpoints and step.allows_copies and step.is_filler
    assert (step.label, step.preferred_rack, step.image) == ("a", "r1-1", "i")
    assert (step.tasks_per_worker, step.unavailable_limit) == (2, 1)


def test_job_is_restored_from_its_record():
    job = decode_job(ID, _queue(), _body(gang=True), 5.0)
    restored = type(job).from_record(json.loads(json.dumps(job.as_record())))
    assert restored.as_record() == job.as_record()


def _timed(**fields):
    return json.dumps({**json.loads(_body()), **fields})


def test_whole_numbers_of_a_job_may_be_written_with_a_fraction_of_zero():
    """Guards against a job whose 2.0 times end each owner of its pool."""
    job = decode_job(ID, _queue(), _timed(times=2.0), 5.0)
    step = decode_job(ID, _queue(), _body(task_count=2.0, cpu=5e2), 5.0).steps[0]
    found = (job.occurrences, step.tasks, step.demand.processors)
    assert found == (2, 2, 500)
    assert all(type(number) is int for number in found)


@pytest.mark.parametrize(
    "body",
    [
        "",
        "[]",
        "{}",
        '{"spec": 7, "phases": [{"task_count": 1}]}',
        '{"spec": "x", "phases": []}',
        '{"spec": "x", "phases": [{}]}',
        '{"spec": "x", "phases": [{"task_count": 0}]}',
        '{"spec": "x", "phases": [{"task_count": 1, "after": [0]}]}',
        '{"spec": "x", "phases": [{"task_count": 1, "after": [-1]}]}',
        json.dumps({"spec": "x" * 4001, "phases": [{"task_count": 1}]}),
        json.dumps({"spec": "\ud800", "phases": [{"task_count": 1}]}),
        "[" * 100_000,
        _body(task_count=2.5),
        _body(task_count=True),
        _body(task_count=10**400),
        _body(task_count=100_001),
        _body(cpu=-1),
        _body(cpu="500"),
        _body(mem_mb=0.5),
        _body(estimate_ms=float("inf")),
        _body(after=0),
        _body(gang=1),
        _body(requires=7),
        _body(anti_affinity=None),
        _timed(times=2.5),
        _timed(times="2"),
        _timed(times=True),
        _timed(times=-1),
        _timed(times=1_000_001),
        _timed(times=float("inf")),
        _timed(start_at_ms=float("nan")),
        _timed(interval_ms=-1),
        _timed(interval_ms=10**400),
    ],
)
def test_invalid_body_is_refused(body):
    with pytest.raises(BodyInvalid):
        decode_job(ID, _queue(), body, 5.0)


def test_answers_are_encoded():
    assert json.loads(encode_state("waiting")) == {"state": "pending"}
    assert json.loads(encode_waiting(3)) == {"queued_jobs": 3}


# Settings.


def _settings(tmp_path, change=lambda text: text):
    text = settings_text(name="h", platform="1.2.3.4:5", peer=1, front=2, ready=3)
    path = tmp_path / "settings.toml"
    path.write_text(change(text))
    return PlatformSettings.from_config({"PAPAYAPICK_CONFIG": str(path)})


def test_settings_are_read_and_unknown_fields_ignored(tmp_path):
    settings = _settings(tmp_path)
    assert settings.frontend_address == ("127.0.0.1", 2)
    assert settings.kill_seconds == pytest.approx(0.2)


def test_limit_of_a_row_is_that_of_the_encoded_value(tmp_path):
    """Guards against records that the store refuses, as base64 makes them longer."""
    settings = _settings(
        tmp_path, lambda text: text.replace("[platform]", "[platform]\nrow_bytes=4000")
    )
    assert (settings.row_bytes, _settings(tmp_path).row_bytes) == (3000, 49152)


@pytest.mark.parametrize(
    "change",
    [
        lambda text: text.replace("node", "nodes"),
        lambda text: text.replace('"z1"', "7"),
        lambda text: text.replace("[1, 1]", "[]"),
        lambda text: text.replace("127.0.0.1:2", "nowhere"),
        lambda text: text.replace("[bounds]", "[limits]"),
        lambda text: "= =",
    ],
)
def test_invalid_settings_are_refused(tmp_path, change):
    with pytest.raises(PlatformSettingsInvalid):
        _settings(tmp_path, change)


def test_missing_settings_file_is_refused(tmp_path):
    missing = {"PAPAYAPICK_CONFIG": str(tmp_path / "none")}
    with pytest.raises(PlatformSettingsInvalid):
        PlatformSettings.from_config(missing)


@pytest.mark.parametrize(
    ("asked", "served"), [(9464, 9464), (0, 0), (8161, 0), (8167, 0), (7720, 0)]
)
def test_metrics_are_not_served_on_a_port_assigned_by_the_platform(
    tmp_path, asked, served
):
    """Guards against callers that get metrics, and against hosts that can't start.

    The ports for callers and health checks are assigned anew for each deployment, while
    the port for metrics is always the same, so the two can coincide.
    """
    path = tmp_path / "settings.toml"
    path.write_text(
        settings_text(name="h", platform="p:1", peer=7720, front=8161, ready=8167)
    )
    environment = {"PAPAYAPICK_CONFIG": str(path)}
    settings = PlatformSettings.from_config(environment, metrics_port=asked)
    assert settings.metrics_port == served


def test_wave_is_decoded():
    wave = decode_wave(
        {"wave": 7, "machines": ["m1", "m2"], "duration_s": 30, "maximum": 2}
    )
    assert (wave.number, wave.machines) == (7, ["m1", "m2"])
    assert (wave.seconds, wave.at_once) == (30.0, 2)


@pytest.mark.parametrize("missing", ["wave", "machines", "duration_s", "maximum"])
def test_wave_without_a_required_field_is_refused(missing):
    value = {"wave": 7, "machines": [], "duration_s": 30, "maximum": 2}
    del value[missing]
    with pytest.raises(BodyInvalid):
        decode_wave(value)
