"""Metrics of the speeds of workers."""

from papayapick.observability.registry import PageSection, gauge, histogram

__all__ = ["SPEED_ERROR", "WORKERS_BY_TIER"]

# Logarithms of ratios: 0.1 is a tenth, 0.7 a factor of two, 2 one of seven.
_ERROR_BUCKETS = (0.1, 0.2, 0.4, 0.7, 2.0)

WORKERS_BY_TIER = gauge(
    PageSection.SPEEDS,
    "papayapick_pool_workers_by_speed",
    "Workers by class of speed, of pools whose speeds have differed under this owner",
    ("pool", "tier"),
)
SPEED_ERROR = histogram(
    "papayapick_pool_speed_error",
    "Logarithm of the ratio of a known speed to the one that an ended run indicates",
    buckets=_ERROR_BUCKETS,
)
