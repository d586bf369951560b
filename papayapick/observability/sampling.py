"""Sample spans by trace, and record every span of a failure."""

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
    """Sample a share of the traces by their id, and record each span of a failure.

    The caller's sampling decision in ``traceparent`` takes precedence over the ratio.

    Parameters
    ----------
    ratio : float
        Sampled share of the traces that begin in this process, from 0 to 1.
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
        """Return the sampling decision for one span."""
        if attributes and attributes.get(FAILED):
            return SamplingResult(Decision.RECORD_AND_SAMPLE, attributes)
        return self._by_trace.should_sample(
            parent_context, trace_id, name, kind, attributes, links
        )

    def get_description(self):
        """Return the name that exporters show."""
        return f"FailureSampler({self._by_trace.get_description()})"
