"""Open a span for each hop under the caller's trace."""

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
_EXPORT_SECONDS = 2
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
        """Hold nothing back."""


class Hop:
    """Hold one span as a context manager; a failure in it is always kept.

    Parameters
    ----------
    tracing : Tracing
    name : str
    context : opentelemetry.context.Context or None
    """

    __slots__ = ("_began", "_error", "_manager", "_name", "_span", "_tracing")

    def __init__(self, tracing, name, context):
        self._tracing = tracing
        self._name = name
        self._error = None
        self._span = None
        self._began = tracing.now()
        self._manager = tracing.open(name, context)

    def __enter__(self):
        self._span = self._manager.__enter__()
        return self

    def __exit__(self, kind, error, traceback):
        if error is not None:
            self.fail(getattr(error, "code", kind.__name__), _outcome_of(error))
        # Once it has ended a span no longer says whether it was recorded.
        is_recorded = self._span.is_recording()
        if self._error is not None and is_recorded:
            self._span.set_attributes(self._attributes())
        # The error itself stays out: its text may hold what a caller sent.
        self._manager.__exit__(None, None, None)
        if self._error is not None and not is_recorded:
            self._tracing.keep_failure(
                self._name, self._began, self._span, self._error, self._attributes()
            )

    def fail(self, code, outcome):
        """Note a failure that does not leave the hop as an exception."""
        self._error = (code, outcome)

    def _attributes(self):
        code, outcome = self._error
        return {FAILED: True, _ERROR_TYPE: code, "papayapick.outcome": outcome}


class Tracing:
    """Start spans and carry their context between processes.

    Parameters
    ----------
    provider : TracerProvider
    program : str
    clock : Clock, optional
    """

    __slots__ = ("_clock", "_provider", "_refusals", "_tracer")

    def __init__(self, provider, program, clock=None):
        self._provider = provider
        self._tracer = provider.get_tracer(program)
        self._clock = clock or SystemClock()
        self._refusals = TokenBucket(
            _REFUSALS_PER_SECOND, _REFUSALS_PER_SECOND, self._clock
        )

    @classmethod
    def from_config(cls, settings, program, clock=None):
        """Build the tracing that the settings ask for."""
        provider = TracerProvider(
            sampler=FailureSampler(settings.trace_ratio),
            resource=Resource.create({"service.name": program}),
            shutdown_on_exit=False,
        )
        if settings.traces == "log":
            provider.add_span_processor(SimpleSpanProcessor(_LineExporter()))
        elif settings.traces == "otlp":
            # Imported here: the exporter costs memory that others save.
            from opentelemetry.exporter.otlp.proto.http.trace_exporter import (
                OTLPSpanExporter,
            )

            exporter = OTLPSpanExporter(
                endpoint=settings.trace_endpoint, timeout=_EXPORT_SECONDS
            )
            provider.add_span_processor(BatchSpanProcessor(exporter))
        return cls(provider, program, clock)

    def span(self, name, traceparent=""):
        """Open a span as a context manager.

        Parameters
        ----------
        name : str
        traceparent : str
            W3C trace context of the hop before; empty for the current span.

        Returns
        -------
        Hop
        """
        context = _PROPAGATOR.extract({_HEADER: traceparent}) if traceparent else None
        return Hop(self, name, context)

    def now(self):
        """Return nanoseconds since the epoch."""
        return int(self._clock.time() * _NANOSECONDS)

    def open(self, name, context):
        """Return the library's manager of a span."""
        return self._tracer.start_as_current_span(name, context=context)

    def keep_failure(self, name, began, span, error, attributes):
        """Keep a failure of a trace that is not sampled, under the same trace id.

        Under overload thousands of refusals a second would each cost a span, so
        refusals are kept up to a rate; the metrics count them all.
        """
        if error[1] == _NOT_RUN and self._refusals.take():
            return
        context = trace.set_span_in_context(span)
        kept = self._tracer.start_span(
            name, context=context, attributes=attributes, start_time=began
        )
        kept.end(self.now())

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
        """Send what is left."""
        self._provider.shutdown()


def _outcome_of(error):
    return getattr(error, "outcome", "unknown")
