"""Refusals by an owner's forecast, and what hosts do without one."""

from types import SimpleNamespace

import pytest

from papayapick.entry.callers import admission
from papayapick.entry.callers.application import Application
from papayapick.entry.exceptions import AcceptanceUnknown, BeyondRate, TooLate
from papayapick.jobs import Queue
from papayapick.quotas import TeamDirectory
from tests.entry.caller_hosts import (
    FULL_SECONDS,
    JOB,
    SMALL,
    CallerHost,
    FakeStore,
    forecast_of,
)
from tests.overload.loads import RUSH, document_of


def test_job_of_no_use_is_refused_before_it_is_stored():
    host = CallerHost()
    host.receive(FULL_SECONDS)
    with pytest.raises(TooLate) as raised:
        host.acceptance.submit(JOB)
    assert raised.value.status == "429 Too Many Requests"
    assert raised.value.retry_after is None
    assert host.writer.written == []


def test_job_beyond_the_rate_of_its_team_is_told_when_to_come_again():
    host = CallerHost()
    host.receive(0.0, surplus=FULL_SECONDS, teams={"hot": 1.5})
    with pytest.raises(BeyondRate) as raised:
        host.acceptance.submit(document_of(1, RUSH, SMALL, "hot"))
    assert raised.value.retry_after in (2, 3, 4, 5)
    assert host.acceptance.submit(document_of(2, RUSH, SMALL, "quiet"))


def test_job_that_is_stored_already_is_not_refused():
    """Guards against refusing a job that runs.

    The caller's first attempt was stored but had no answer, and the pool is full at
    the second one.
    """
    host = CallerHost(FakeStore(stored=[JOB.identifier]))
    host.receive(FULL_SECONDS)
    assert host.acceptance.submit(JOB)


def test_job_is_not_refused_while_the_store_cannot_be_read():
    """Guards against refusing a job that may be stored, and then runs.

    To a caller, status 503 says that its job never runs.
    """
    host = CallerHost(FakeStore(is_away=True))
    host.receive(FULL_SECONDS)
    with pytest.raises(AcceptanceUnknown) as raised:
        host.acceptance.submit(JOB)
    assert raised.value.status.startswith("504")


def test_job_whose_state_is_known_is_not_refused():
    host = CallerHost()
    host.receive(FULL_SECONDS)
    host.job_states.note_accepted(JOB.identifier)
    assert host.acceptance.submit(JOB) is False


def test_host_accepts_once_the_owner_has_been_silent():
    """Guards against refusing for ever after the owner died while its pool was full."""
    host = CallerHost()
    host.receive(FULL_SECONDS)
    host.clock.advance(0.9)
    with pytest.raises(TooLate):
        host.acceptance.submit(JOB)
    host.clock.advance(0.2)
    assert host.acceptance.submit(JOB)


def test_host_without_beats_accepts():
    """Guards against a host that is cut off from the owner and refuses all jobs."""
    assert CallerHost().acceptance.submit(JOB)


def test_deployment_that_expects_no_overload_refuses_nobody():
    host = CallerHost(expects_overload=False)
    host.receive(FULL_SECONDS)
    assert host.acceptance.submit(JOB)


def test_newer_owner_ends_the_forecast_of_the_one_before():
    """Guards against refusing by the word of a replaced owner, whose beats come late.

    The new owner has not counted yet, so there is no forecast at all.
    """
    host = CallerHost()
    host.receive(FULL_SECONDS, epoch=3)
    host.job_states.note_forecast("pool", 4, None)
    assert host.acceptance.submit(JOB)
    host.receive(FULL_SECONDS, epoch=3)
    assert host.acceptance.submit(document_of(2, RUSH, SMALL))
    host.receive(FULL_SECONDS, epoch=4)
    with pytest.raises(TooLate):
        host.acceptance.submit(document_of(3, RUSH, SMALL))


def test_earlier_forecast_of_the_same_owner_does_not_replace_a_later_one():
    host = CallerHost()
    host.receive(0.0)
    late = forecast_of(FULL_SECONDS, host.now - 0.5)
    host.job_states.note_forecast("pool", 3, late)
    assert host.acceptance.submit(JOB)


@pytest.fixture
def host():
    return CallerHost()


def test_refusal_without_a_time_has_no_header(host, monkeypatch):
    """Guards against callers that come again for a job that is of no use any more."""
    lines = []
    event = SimpleNamespace(write=lambda **fields: lines.append(fields))
    monkeypatch.setattr(admission, "JOB_REFUSED", event)
    queue = Queue("rush", "h", "/q/", "pool", 0, 2, 1.5, 0.5, 3.0, False, None)
    host.configuration = SimpleNamespace(
        version=1,
        wait_for_first=lambda seconds: SimpleNamespace(
            find=lambda name, path: queue,
            teams=TeamDirectory(),
            body_limit_bytes=9999,
            version=1,
        ),
    )
    host.receive(FULL_SECONDS)
    answers = []
    environ = {
        "SERVER_PORT": "2",
        "REQUEST_METHOD": "POST",
        "HTTP_HOST": "h",
        "PATH_INFO": "/q/5c0e7a21d94b36f8",
        **_body(
            b'{"spec": "t", "phases": [{"task_count": 1, "cpu": 1000, '
            b'"mem_mb": 10, "estimate_ms": 1000}]}'
        ),
    }
    Application(host)(environ, lambda *answer: answers.append(answer))
    ((status, headers),) = answers
    assert status == "429 Too Many Requests"
    assert "Retry-After" not in dict(headers)
    (line,) = lines
    assert line["reason"] == "too-late"
    assert (line["earliest_seconds"], line["forecast_age_seconds"]) == (60.0, 0.0)
    assert (line["useful_seconds"], line["path_seconds"]) == (6.0, 1.0)


def _body(data):
    stream = SimpleNamespace(read=lambda: data)
    return {"CONTENT_LENGTH": str(len(data)), "wsgi.input": stream}
