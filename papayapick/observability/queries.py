"""Describe the metrics."""

from papayapick.observability.metrics import Metrics

__all__ = ["metrics_page"]

_PAGE_HEAD = """# Metrics

Each gateway and placer answers `GET /metrics` on its HTTP address in the
Prometheus text format. Label values are bounded: they come from the bundle,
from the list of error codes and from fixed sets, never from a caller's text.
What to watch, and what to do: [alerts](../howto/alerts.md).

This page is written from `papayapick/observability/metrics.py` by
`python -m papayapick.observability.reference > docs/ref/metrics.md`.

| Metric | Kind | Labels | Meaning |
| --- | --- | --- | --- |
"""


def metrics_page():
    """Return the page of all metrics as Markdown."""
    rows = [_row(*described) for described in Metrics().describe()]
    return _PAGE_HEAD + "".join(row + "\n" for row in rows)


def _row(name, kind, labels, text):
    shown = ", ".join(f"`{label}`" for label in labels) or "none"
    return f"| `{name}` | {kind} | {shown} | {text} |"
