"""Decide which spans are kept."""

from opentelemetry.sdk.trace.sampling import (
    Decision,
    ParentBased,
    Sampler,
    SamplingResult,
    TraceIdRatioBased,
)

__all__ = ["FAILED", "FailureSampler"]

FAILED = "papayapick.failed"


class FailureSampler(Sampler):
    """Keep a share of the traces by their id, and every span of a failure.

    The caller's own decision, in its ``traceparent``, goes before the share.

    Parameters
    ----------
    ratio : float
        Share of the traces that begin here.
    """

    def __init__(self, ratio):
        self._by_trace = ParentBased(TraceIdRatioBased(ratio))

    def should_sample(
        self,
        parent_context,
        trace_id,
        name,
        kind=None,
        attributes=None,
        links=None,
        trace_state=None,
    ):
        """Return the decision on one span."""
        if attributes and attributes.get(FAILED):
            return SamplingResult(Decision.RECORD_AND_SAMPLE, attributes)
        return self._by_trace.should_sample(
            parent_context, trace_id, name, kind, attributes, links
        )

    def get_description(self):
        """Return the name that exporters show."""
        return f"FailureSampler({self._by_trace.get_description()})"
