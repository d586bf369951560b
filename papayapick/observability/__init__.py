"""Logs, metrics and traces of the programs."""

from papayapick.observability.logs import configure_logs, get_logger
from papayapick.observability.metrics import Metrics
from papayapick.observability.traces import Tracing

__all__ = ["Metrics", "Tracing", "configure_logs", "get_logger"]
