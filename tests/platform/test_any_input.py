"""Answers and rows of any shape are decoded or refused with a typed error.

Guards against a loop of a host that ends, or a thread that is lost, as the platform or
another program writes JSON of another shape than documented.
"""

import contextlib
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from papayapick.clients.exceptions import (
    AnswerInvalid,
    ConditionFailed,
    HistoryLost,
    StoreRefused,
    TableUnavailable,
)
from papayapick.clients.http import HttpAnswer
from papayapick.clock import ManualClock
from papayapick.jobs import Queue
from papayapick.platform.advice import AdviceClient
from papayapick.platform.exceptions import (
    BodyInvalid,
    CallFailed,
    PlatformSettingsInvalid,
    WorkerSilent,
)
from papayapick.platform.machines import MachineClient
from papayapick.platform.registrations import decode_registration
from papayapick.platform.requests import decode_job
from papayapick.platform.settings import PlatformSettings
from papayapick.platform.store import Store
from papayapick.platform.waves import decode_wave
from papayapick.platform.workers import WorkerClient

STORE_ERRORS = (ConditionFailed, HistoryLost, StoreRefused, TableUnavailable)
QUEUE = Queue("q", "h", "/q/", "pool", 0, 2, 1.5, 0.5, 3.0, False, None)

_NAMES = st.sampled_from(
    ["rows", "ver", "table", "part", "key", "value", "deleted", "running", "finished"]
    + ["clock_ms", "born", "machines", "next_token", "good", "wave", "maximum"]
    + ["phases", "spec", "task_count", "cpu", "after", "times", "estimate_ms"]
)
_JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.sampled_from(["", "a", "x.0.1.2"]),
    lambda inner: (
        st.lists(inner, max_size=5) | st.dictionaries(_NAMES, inner, max_size=6)
    ),
    max_leaves=20,
)
_BODIES = st.binary(max_size=20) | _JSON.map(lambda value: json.dumps(value).encode())


class Pool:
    """Answer each request with one body."""

    def __init__(self, status, body):
        self._answer = HttpAnswer(status, {}, body)

    def request(self, *arguments, **options):
        return self._answer


@given(body=_BODIES, status=st.sampled_from([200, 412, 410]))
def test_answers_of_the_store(body, status):
    store = Store("a:1", Pool(status, body), ManualClock(), lambda *call: None)
    for call in (
        lambda: store.transact([], [], seconds=1.0),
        lambda: store.read("t", "p"),
        lambda: store.follow("t", 1, 0.1),
    ):
        with contextlib.suppress(STORE_ERRORS):
            call()


def test_answer_that_is_longer_than_announced_counts_as_missing():
    class TooLong:
        def request(self, *arguments, **options):
            raise AnswerInvalid(url="/", reason="it is longer than its Content-Length")

    store = Store("a:1", TooLong(), ManualClock(), lambda *call: None)
    with pytest.raises(TableUnavailable):
        store.read("t", "p")


@given(body=_BODIES)
def test_answers_of_workers(body):
    client = WorkerClient("w1", "a:1", Pool(200, body))
    with contextlib.suppress(WorkerSilent, CallFailed):
        client.renew(1, 0, 1.0, 0.1)


@given(body=_BODIES)
def test_answers_of_the_machines(body):
    with contextlib.suppress(CallFailed):
        for machine in MachineClient("a:1", Pool(200, body)).fetch():
            texts = (machine.name, machine.pool, machine.worker)
            assert all(isinstance(text, str) for text in texts)


@pytest.mark.parametrize("field", ["machine", "pool", "id"])
def test_machine_with_a_field_of_another_kind_makes_the_list_invalid(field):
    """Guards against an owner that ends as it compares or looks up such a name."""
    machine = {"machine": "m", "pool": "p", "state": "up", "id": "w", field: [7]}
    body = json.dumps({"machines": [machine]}).encode()
    with pytest.raises(CallFailed):
        MachineClient("a:1", Pool(200, body)).fetch()


@pytest.mark.parametrize(
    "call",
    [
        lambda pool: MachineClient("a:1", pool).fetch(),
        lambda pool: AdviceClient("a:1", pool).ask("s", ["w"], 0.1),
    ],
    ids=["machines", "advice"],
)
def test_answer_that_is_nested_too_deeply_is_a_failed_call(call):
    """Guards against a loop that ends by RecursionError."""
    with pytest.raises(CallFailed):
        call(Pool(200, b"[" * 100_000))


@given(body=_BODIES)
def test_answers_of_the_advice_service(body):
    with contextlib.suppress(CallFailed):
        AdviceClient("a:1", Pool(200, body)).ask("s", ["w"], 0.1)


@given(value=_JSON)
def test_rows_of_workers_and_waves(value):
    decode_registration("w1", value)
    try:
        decode_wave(value)
    except BodyInvalid as error:
        assert "wave" in str(error)


@given(body=_BODIES)
def test_bodies_of_callers(body):
    try:
        document = decode_job("1" * 16, QUEUE, body, 1.0)
    except BodyInvalid:
        return
    assert type(document).from_record(document.as_record()).steps


@given(value=_JSON, name=st.sampled_from(["limits", "cloud_api", "bounds", "listen"]))
def test_settings(value, name, tmp_path_factory):
    from tests.entry.hosts import SETTINGS

    try:
        PlatformSettings.from_document({**SETTINGS, name: value}, "settings.toml")
    except PlatformSettingsInvalid as error:
        assert "settings.toml" in str(error)
