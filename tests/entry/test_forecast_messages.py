"""Forecasts on the wire, also between processes of different versions."""

import re
from pathlib import Path

import capnp

from papayapick.entry.cell.forecast_messages import decode_forecast, encode_forecast
from papayapick.overload.forecast import PoolForecast, QueueForecast
from papayapick.wire import codec, decode, encode, messages
from papayapick.wire.messages import PoolBeat
from tests.entry.caller_hosts import (
    forecast_of,
)


def test_forecast_survives_the_wire():
    one = QueueForecast(-1.5, 2.25, 7.5, float("inf"), 0.0, 0.5, float("inf"))
    sent = PoolForecast({"q": one}, {"t": 2.5, "n": float("inf")}, 3150.5, 9.5, 9.25)
    beat = PoolBeat(pool="p", **encode_forecast(sent, lambda at: int(at * 1000)))
    _, beat, _ = decode(encode(1, beat))
    found = decode_forecast(beat, 10.0)
    assert (found.counted_at, found.known_at, found.processors) == (9.5, 9.25, 3150.5)
    assert found.owed_again == sent.owed_again
    for name in QueueForecast.__slots__:
        assert getattr(found.queues["q"], name) == getattr(one, name), name


def test_absurd_numbers_can_be_sent():
    """Guards against an owner without heartbeats, as it can't encode its forecast."""
    one = QueueForecast(*[-1e300, 1e300, float("-inf"), float("inf"), 0.0, -0.0, 1e30])
    sent = PoolForecast({"q": one}, {"t": 1e300}, 1e300, 9.5, 9.25)
    fields = encode_forecast(sent, lambda at: int(at * 1000))
    _, beat, _ = decode(encode(1, PoolBeat(pool="p", **fields)))
    found = decode_forecast(beat, 10.0)
    assert found.processors > 4_000_000
    assert found.queues["q"].patient_earliest == float("inf")


def test_beat_of_a_process_before_the_forecast_is_understood():
    beat = PoolBeat(pool="p", epoch=3, host="h", has_read_state=True)
    _, received, _ = decode(encode(1, beat))
    assert decode_forecast(received, 10.0) is None


def test_process_before_the_forecast_understands_its_beat(tmp_path):
    """Guards against old hosts that take a pool because they can't read its beats."""
    text = Path(messages.__file__).with_name("messages.capnp").read_text()
    added = r"  (queueOutlooks|teamsBeyondRate|outlook\w+|countedAt\w+) @\d+ :.*;\n"
    text = re.sub(added, "", text)
    text = re.sub(r"struct (QueueOutlook|TeamBeyondRate) \{[^}]*\}\n", "", text)
    assert "utlook" not in text
    # Types of the same identity can't be loaded twice.
    text = re.sub(r"^@0x\w+;", "@0xc2f4d9a1b7e35087;", text)
    old = tmp_path / "old.capnp"
    old.write_text(text)
    fields = encode_forecast(forecast_of(2.0, 9.0, {"t": 1.0}), lambda at: 9000)
    data = encode(7, PoolBeat(pool="p", epoch=3, known_at_milliseconds=8, **fields))
    beat = capnp.load(str(old)).Message.from_bytes_packed(data).poolBeat
    assert (beat.pool, beat.epoch, beat.knownAtMilliseconds) == ("p", 3, 8)
    assert codec.decode(data)[1].outlook_millicores == 100_000
