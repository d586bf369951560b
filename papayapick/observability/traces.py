"""Open a span for each hop of a request under the caller's trace."""

import json
import sys

from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    SimpleSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

from papayapick.clock import SystemClock
from papayapick.limits.buckets import TokenBucket
from papayapick.observability.sampling import FAILED, FailureSampler

__all__ = ["Hop", "Tracing"]

_HEADER = "traceparent"
_PROPAGATOR = TraceContextTextMapPropagator()
_EXPORT_TIMEOUT_SECONDS = 2
_REFUSALS_PER_SECOND = 50
_NOT_RUN = "not_run"
_ERROR_TYPE = "error.type"
_NANOSECONDS = 1_000_000_000


class _LineExporter(SpanExporter):
    """Write each span as a JSON line to standard error."""

    def export(self, spans):
        for span in spans:
            line = {
                "span": span.name,
                "trace_id": format(span.context.trace_id, "032x"),
                "span_id": format(span.context.span_id, "016x"),
                "parent_id": format(span.parent.span_id, "016x")
                if span.parent
                else None,
                "milliseconds": (span.end_time - span.start_time) / 1e6,
            }
            if span.attributes:
                line["attributes"] = dict(span.attributes)
            sys.stderr.write(json.dumps(line) + "\n")
        return SpanExportResult.SUCCESS

    def shutdown(self):
        """Do nothing: spans are written as they end."""


class Hop:
    """Wrap one span as a context manager that keeps every failure.

    Parameters
    ----------
    tracing : Tracing
    name : str
    context : opentelemetry.context.Context or None
    """

    __slots__ = ("_error", "_manager", "_name", "_span", "_started_at", "_tracing")

    def __init__(self, tracing, name, context):
        self._tracing = tracing
        self._name = name
        self._error = None
        self._span = None
        self._started_at = tracing.now()
        self._manager = tracing.open(name, context)

    def __enter__(self):
        self._span = self._manager.__enter__()
        return self

    def __exit__(self, kind, error, traceback):
        if error is not None:
            self.fail(getattr(error, "code", kind.__name__), _outcome_of(error))
        # Read first: is_recording is false for every span that has ended.
        is_recorded = self._span.is_recording()
        if self._error is not None and is_recorded:
            self._span.set_attributes(self._attributes())
        # The span gets no exception: its text may hold data of the caller.
        self._manager.__exit__(None, None, None)
        if self._error is not None and not is_recorded:
            self._tracing.record_failure(
                self._name,
                self._started_at,
                self._span,
                self._error,
                self._attributes(),
            )

    def fail(self, code, outcome):
        """Record a failure that is not raised as an exception."""
        self._error = (code, outcome)

    def _attributes(self):
        code, outcome = self._error
        return {FAILED: True, _ERROR_TYPE: code, "papayapick.outcome": outcome}


class Tracing:
    """Start spans and propagate their context between processes.

    Parameters
    ----------
    provider : TracerProvider
    program : str
    clock : Clock, optional
    """

    __slots__ = ("_clock", "_provider", "_refusal_limit", "_tracer")

    def __init__(self, provider, program, clock=None):
        self._provider = provider
        self._tracer = provider.get_tracer(program)
        self._clock = clock or SystemClock()
        self._refusal_limit = TokenBucket(
            _REFUSALS_PER_SECOND, _REFUSALS_PER_SECOND, self._clock
        )

    @classmethod
    def from_config(cls, settings, program, clock=None):
        """Build the tracing from the settings."""
        provider = TracerProvider(
            sampler=FailureSampler(settings.trace_ratio),
            resource=Resource.create({"service.name": program}),
            shutdown_on_exit=False,
        )
        if settings.traces == "log":
            provider.add_span_processor(SimpleSpanProcessor(_LineExporter()))
        elif settings.traces == "otlp":
            # Imported only when used, since the exporter takes memory.
            from opentelemetry.exporter.otlp.proto.http.trace_exporter import (
                OTLPSpanExporter,
            )

            exporter = OTLPSpanExporter(
                endpoint=settings.trace_endpoint, timeout=_EXPORT_TIMEOUT_SECONDS
            )
            provider.add_span_processor(BatchSpanProcessor(exporter))
        return cls(provider, program, clock)

    def span(self, name, traceparent=""):
        """Open a span as a context manager.

        Parameters
        ----------
        name : str
        traceparent : str
            W3C trace context of the previous hop; if empty, the current span is the
            parent.

        Returns
        -------
        Hop
        """
        context = _PROPAGATOR.extract({_HEADER: traceparent}) if traceparent else None
        return Hop(self, name, context)

    def now(self):
        """Return the Unix time in nanoseconds."""
        return int(self._clock.time() * _NANOSECONDS)

    def open(self, name, context):
        """Return the OpenTelemetry context manager of a new span."""
        return self._tracer.start_as_current_span(name, context=context)

    def record_failure(self, name, started_at, span, error, attributes):
        """Record a failure of a trace that is not sampled, under the same trace id.

        Under overload each of thousands of refusals per second would cost a span, so
        refusals are limited to a rate; the metrics count all of them.
        """
        if error[1] == _NOT_RUN and self._refusal_limit.take():
            return
        context = trace.set_span_in_context(span)
        failed_span = self._tracer.start_span(
            name, context=context, attributes=attributes, start_time=started_at
        )
        failed_span.end(self.now())

    @staticmethod
    def traceparent():
        """Return the current span as a ``traceparent`` value, or empty text."""
        carrier = {}
        _PROPAGATOR.inject(carrier)
        return carrier.get(_HEADER, "")

    @staticmethod
    def trace_id():
        """Return the current trace id as 32 hexadecimal digits, or empty text."""
        context = trace.get_current_span().get_span_context()
        return format(context.trace_id, "032x") if context.is_valid else ""

    def close(self):
        """Export the remaining spans and stop."""
        self._provider.shutdown()


def _outcome_of(error):
    return getattr(error, "outcome", "unknown")
