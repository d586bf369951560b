"""Measure each message between processes: bytes, encoding, decoding, authentication.

Run as ``python -m benchmarks.messages [--json]``. Bytes are those of the whole frame,
with its length and authentication code; times are processor time of one thread.
"""

import time

from benchmarks.tables import print_rows
from papayapick.wire import decode, encode, messages
from papayapick.wire.frames import _mac

ROUNDS = 3000
FRAME_BYTES = 20
KEY = b"k" * 64
ID = "hobart-a.0." + "0123456789abcdef" * 2
DIGEST = "0123456789abcdef" * 4
TRACE = "00-0123456789abcdef0123456789abcdef-0123456789abcdef-01"
SERVICES = 20


def main():
    print_rows([_measure(*sample) for sample in _samples()])


def _samples():
    yield "Heartbeat of a gateway", _heartbeat(0, 0), ""
    yield "Heartbeat, 1 shard, 1 service", _heartbeat(1, 1), ""
    yield "Heartbeat, 1 shard, 20 services", _heartbeat(1, SERVICES), ""
    yield "Heartbeat, 10 shards, 1 service", _heartbeat(10, 1), ""
    yield "Heartbeat, 10 shards, 20 services", _heartbeat(10, SERVICES), ""
    yield "SlotRequest", _slot_request(), TRACE
    yield "SlotGrant", _slot_grant(), ""
    yield "Release", _release(), ""
    yield "Submit of 1 KB", _submit(), TRACE
    yield "WorkState, accepted", _state(0), ""
    yield "WorkState with 1 KB", _state(1024), ""
    yield "WorkQuery", messages.WorkQuery(shard="hobart-a.0", request_id=ID), TRACE
    yield "BundleQuery", messages.BundleQuery(digest=DIGEST), ""
    yield "BundleBody of 100 KB", messages.BundleBody(envelope=b"x" * 100_000), ""


def _heartbeat(shards, services):
    loads = [
        messages.ServiceLoad(service=f"service-{number:03d}", free_slots=64, waiting=3)
        for number in range(services)
    ]
    return messages.Heartbeat(
        host="placer-hobart-a",
        bundle_sequence=100_000,
        bundle_digest=DIGEST,
        shards=[
            messages.ShardSummary(shard=f"hobart-a.{number}", epoch=12, loads=loads)
            for number in range(shards)
        ],
        draining=False,
    )


def _slot_request():
    return messages.SlotRequest(
        shard="hobart-a.0",
        service="quick-counts",
        request_id=ID,
        wait_milliseconds=2080,
        run_milliseconds=5000,
        caller="arcade-managers",
        avoid=[],
    )


def _slot_grant():
    return messages.SlotGrant(
        grant_id=123456,
        shard="hobart-a.0",
        epoch=12,
        instance="quick-counts-worker-hobart-a-01",
        url="http://10.0.0.17:8080/instances/quick-counts",
    )


def _release():
    return messages.Release(
        shard="hobart-a.0",
        epoch=12,
        grant_id=123456,
        outcome="done",
        run_microseconds=23456,
    )


def _submit():
    return messages.Submit(
        shard="hobart-a.0",
        request_id=ID,
        kind="request",
        name="tenant-comparisons",
        caller="centre-owners",
        payload=b'{"week": 48}' + b" " * 1012,
        payload_digest=DIGEST,
        deadline_milliseconds=1_800_000_000_000,
        wait_milliseconds=0,
        job="",
    )


def _state(size):
    return messages.WorkState(
        request_id=ID,
        state="ended" if size else "waiting",
        outcome="done" if size else "",
        status=200 if size else 0,
        content_type="application/json" if size else "",
        result=b"r" * size,
        detail="",
    )


def _measure(name, payload, traceparent):
    data = encode(1, payload, traceparent)
    return {
        "message": name,
        "bytes": len(data) + FRAME_BYTES,
        "encode_us": _microseconds(lambda: encode(1, payload, traceparent)),
        "decode_us": _microseconds(lambda: decode(data)),
        "code_us": _microseconds(lambda: _mac(KEY, 1, data)),
    }


def _microseconds(step):
    """Return the lowest of five means, to exclude other load on the machine."""
    means = []
    for _ in range(5):
        began = time.thread_time()
        for _ in range(ROUNDS // 5):
            step()
        means.append((time.thread_time() - began) / (ROUNDS // 5) * 1e6)
    return min(means)


if __name__ == "__main__":
    main()
