"""Spans are sampled by trace id, and always recorded for a failure."""

import http.server
import threading
from contextlib import contextmanager

import pytest
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import SimpleSpanProcessor
from opentelemetry.sdk.trace.export.in_memory_span_exporter import InMemorySpanExporter

from papayapick.clock import ManualClock
from papayapick.conf import Settings
from papayapick.gateway.exceptions import BackendFailed, DeadlinePast
from papayapick.observability import Tracing
from papayapick.observability.sampling import FAILED, FailureSampler

TRACE = "ab" * 16
SAMPLED, UNSAMPLED = (f"00-{TRACE}-{'cd' * 8}-{flag}" for flag in ("01", "00"))


def tracing_to_memory(ratio):
    exporter = InMemorySpanExporter()
    provider = TracerProvider(sampler=FailureSampler(ratio), shutdown_on_exit=False)
    provider.add_span_processor(SimpleSpanProcessor(exporter))
    return Tracing(provider, "test", ManualClock(1000.0)), exporter


def _run(tracing, traceparent, error):
    try:
        with tracing.span("outer", traceparent):
            with tracing.span("inner"):
                if error is not None:
                    raise error
    except Exception as caught:
        assert caught is error


ROWS = [
    ("all kept", 1.0, "", None, ["inner", "outer"]),
    ("none kept", 0.0, "", None, []),
    ("caller samples", 0.0, SAMPLED, None, ["inner", "outer"]),
    ("caller does not", 1.0, UNSAMPLED, None, []),
    ("failure", 0.0, "", BackendFailed(status=500), ["inner", "outer"]),
    ("failure, caller does not", 0.0, UNSAMPLED, KeyError(), ["inner", "outer"]),
    ("failure, sampled", 1.0, SAMPLED, BackendFailed(status=500), ["inner", "outer"]),
]


@pytest.mark.parametrize(
    ("ratio", "traceparent", "error", "names"),
    [row[1:] for row in ROWS],
    ids=[row[0] for row in ROWS],
)
def test_spans_are_sampled_by_trace_and_by_failure(ratio, traceparent, error, names):
    tracing, exporter = tracing_to_memory(ratio)
    _run(tracing, traceparent, error)
    spans = exporter.get_finished_spans()
    assert [span.name for span in spans] == names
    assert len({span.context.trace_id for span in spans}) <= 1
    if traceparent and spans:
        assert format(spans[0].context.trace_id, "032x") == TRACE
    assert all(bool(span.attributes.get(FAILED)) is bool(error) for span in spans)
    assert not any(span.events for span in spans)


def test_failure_without_an_exception_is_recorded():
    tracing, exporter = tracing_to_memory(0.0)
    with tracing.span("gateway.request") as hop:
        hop.fail("call.backend-failed", "failed")
    (span,) = exporter.get_finished_spans()
    assert span.attributes["error.type"] == "call.backend-failed"
    assert span.end_time >= span.start_time


def test_refusals_under_overload_are_recorded_up_to_a_rate():
    """
    Shedding load must not slow a gateway down. Thousands of requests per second may be
    refused, and recording a span takes more time than the refusal itself.
    """
    tracing, exporter = tracing_to_memory(0.0)
    for _ in range(500):
        _run(tracing, "", DeadlinePast())
    assert 0 < len(exporter.get_finished_spans()) <= 100
    _run(tracing, "", BackendFailed(status=500))
    last = exporter.get_finished_spans()[-1]
    assert last.attributes["error.type"] == "call.backend-failed"


@contextmanager
def collector(status=200):
    """Run a fake OTLP collector over HTTP; yield its URL and the received bodies."""
    bodies = []

    class Handler(http.server.BaseHTTPRequestHandler):
        def do_POST(self):
            size = int(self.headers["Content-Length"])
            bodies.append((self.path, self.rfile.read(size)))
            self.send_response(status)
            self.end_headers()

        def log_message(self, *ignored):
            """Log nothing."""

    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    thread = threading.Thread(target=server.serve_forever)
    thread.start()
    try:
        yield f"http://127.0.0.1:{server.server_port}/v1/traces", bodies
    finally:
        server.shutdown()
        thread.join()
        server.server_close()


def _otlp(endpoint):
    settings = {"traces": "otlp", "trace_endpoint": endpoint, "trace_ratio": 1.0}
    return Tracing.from_config(Settings(settings), "papayapick-gateway")


def test_spans_reach_a_collector_over_http():
    with collector() as (endpoint, bodies):
        tracing = _otlp(endpoint)
        _run(tracing, SAMPLED, None)
        tracing.close()
    ((path, body),) = bodies
    assert path == "/v1/traces"
    for part in (b"outer", b"inner", b"papayapick-gateway", bytes.fromhex(TRACE)):
        assert part in body


def test_collector_that_refuses_does_not_stop_the_program():
    with collector(status=400) as (endpoint, bodies):
        tracing = _otlp(endpoint)
        _run(tracing, SAMPLED, None)
        tracing.close()
    assert bodies
