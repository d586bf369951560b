"""Requests are limited in size and headers, and slow callers hold no thread."""

import contextlib
import json
import socket

import pytest

from demo.cells import http_call

PATH = "/v1/requests"
BODY = {"service": "quick-counts", "payload": {}}
WAIT_SECONDS = 30
# More than the threads of the gateway, which are 16.
SLOW_CALLERS = 40


def _connect(address):
    host, _, port = address.rpartition(":")
    return socket.create_connection((host, int(port)), WAIT_SECONDS)


def test_slow_callers_do_not_hold_the_threads(footfall):
    """Forty callers stall after the first byte of a body; another sends a request.

    If a thread served each connection instead of each complete request, the stalled
    callers would occupy all threads, and the request would wait although the
    gateway is idle.
    """
    address = footfall.gateways[0].addresses["http"]
    body = json.dumps(BODY).encode()
    head = f"POST {PATH} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
    with contextlib.ExitStack() as stack:
        slow = [stack.enter_context(_connect(address)) for _ in range(SLOW_CALLERS)]
        for caller in slow:
            caller.sendall(head.encode() + body[:1])
        for _ in range(3):
            assert http_call(address, "POST", PATH, BODY)[0] == 200
        # The slow requests are valid: each is answered once it is complete.
        for caller in slow:
            caller.sendall(body[1:])
        for caller in slow:
            assert caller.recv(64).startswith(b"HTTP/1.1 200 ")


LONG = b"x" * (40 << 10)
RAW = [
    ("no HTTP", b"\x16\x03\x01\x02\x00\x01\r\n\r\n", b"400"),
    ("long header", b"GET /healthz HTTP/1.1\r\nLong: " + LONG + b"\r\n\r\n", b"431"),
    ("long path", b"GET /" + LONG + b" HTTP/1.1\r\n\r\n", b"431"),
    (
        "length that is no number",
        b"POST /v1/requests HTTP/1.1\r\nContent-Length: x\r\n\r\n",
        b"400",
    ),
    (
        "length below zero",
        b"POST /v1/requests HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
        b"400",
    ),
    (
        "length far over the limit",
        b"POST /v1/requests HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n",
        b"413",
    ),
    (
        "two lengths",
        b"POST /v1/requests HTTP/1.1\r\nContent-Length: 2\r\n"
        b"Content-Length: 3\r\n\r\n{}",
        b"400",
    ),
    (
        "unknown coding",
        b"POST /v1/requests HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n",
        b"501",
    ),
]


@pytest.mark.parametrize(
    ("data", "status"), [row[1:] for row in RAW], ids=[row[0] for row in RAW]
)
def test_hostile_request_is_refused(footfall, data, status):
    with _connect(footfall.gateways[0].addresses["http"]) as caller:
        # The gateway may answer and close before it has read the whole request.
        with contextlib.suppress(OSError):
            caller.sendall(data)
        answer = caller.recv(64)
    assert answer.split(b" ", 2)[1] == status


def test_deeply_nested_body_is_refused(footfall):
    address = footfall.gateways[0].addresses["http"]
    with _connect(address) as caller:
        body = b'{"service": ' + b"[" * 200_000
        head = f"POST {PATH} HTTP/1.1\r\nContent-Length: {len(body)}\r\n\r\n".encode()
        caller.sendall(head + body)
        assert caller.recv(64).split(b" ", 2)[1] == b"400"
