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
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

__all__ = ["Tracing"]

_HEADER = "traceparent"
_PROPAGATOR = TraceContextTextMapPropagator()


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
            sys.stderr.write(json.dumps(line) + "\n")
        return SpanExportResult.SUCCESS

    def shutdown(self):
        """Hold nothing back."""


class Tracing:
    """Start spans and carry their context between processes.

    Parameters
    ----------
    provider : TracerProvider
    program : str
    """

    __slots__ = ("_provider", "_tracer")

    def __init__(self, provider, program):
        self._provider = provider
        self._tracer = provider.get_tracer(program)

    @classmethod
    def from_config(cls, settings, program):
        """Build the tracing that the settings ask for."""
        sampler = ParentBased(TraceIdRatioBased(settings.trace_ratio))
        provider = TracerProvider(
            sampler=sampler,
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

            exporter = OTLPSpanExporter(endpoint=settings.trace_endpoint)
            provider.add_span_processor(BatchSpanProcessor(exporter))
        return cls(provider, program)

    def span(self, name, traceparent=""):
        """Open a span as a context manager.

        Parameters
        ----------
        name : str
        traceparent : str
            W3C trace context of the hop before; empty for the current span.
        """
        context = _PROPAGATOR.extract({_HEADER: traceparent}) if traceparent else None
        return self._tracer.start_as_current_span(name, context=context)

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
