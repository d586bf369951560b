"""Measure the processor time of spans, log lines and counters per request.

Run as ``python -m benchmarks.observability [--json]``. The exporter discards the spans;
log lines are written to a buffer in memory.
"""

import io
import time

from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import SimpleSpanProcessor, SpanExporter

from benchmarks.tables import print_rows
from papayapick.clock import SystemClock
from papayapick.conf import Settings
from papayapick.observability import (
    AccessLog,
    Metrics,
    Tracing,
    configure_logs,
    log_fields,
)
from papayapick.observability.sampling import FailureSampler

ROUNDS = 5000
PARTS = 5


class _DiscardingExporter(SpanExporter):
    def export(self, spans):
        return None

    def shutdown(self):
        """Do nothing, as no spans are buffered."""


def main():
    access = AccessLog("all", SystemClock())
    settings = Settings({"cell": "c", "host_name": "h", "log_level": "info"})
    configure_logs(settings, "papayapick-gateway", io.StringIO())
    refusals = Metrics().refusals
    steps = {
        "span, trace kept": _span(1.0, None),
        "span, trace not kept": _span(0.0, None),
        "span, not kept, failed": _span(0.0, "failed"),
        "span, refusal over the rate": _span(0.0, "not_run"),
        "access line": lambda: _line(access),
        "counter": lambda: refusals.labels("placer.wait-over").inc(),
    }
    print_rows(
        [{"step": name, "us": _microseconds(step)} for name, step in steps.items()]
    )


def _span(ratio, outcome):
    provider = TracerProvider(sampler=FailureSampler(ratio), shutdown_on_exit=False)
    provider.add_span_processor(SimpleSpanProcessor(_DiscardingExporter()))
    tracing = Tracing(provider, "benchmark")

    def step():
        with tracing.span("gateway.request") as hop:
            if outcome:
                hop.fail("call.backend-failed", outcome)

    return step


def _line(access):
    with log_fields(request_id="r" * 32, bundle_sequence=7, shard="hobart-a.0"):
        access.write(access.start(), "POST", "/v1/requests", 200, "done")


def _microseconds(step):
    """Return the lowest of five means, to exclude other load on the machine."""
    means = []
    for _ in range(PARTS):
        began = time.thread_time()
        for _ in range(ROUNDS // PARTS):
            step()
        means.append((time.thread_time() - began) / (ROUNDS // PARTS) * 1e6)
    return min(means)


if __name__ == "__main__":
    main()
