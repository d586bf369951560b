"""Write the reference pages of metrics and events as Markdown."""

import importlib
import logging

from papayapick.observability import events, registry
from papayapick.observability.metrics import Metrics

__all__ = ["events_page", "metrics_page"]

# Importing these modules defines the metrics and the events of an entry host.
for _module in (
    "entry.metrics",
    "pool.metrics",
    "speeds.metrics",
    "entry.events",
    "pool.events",
    "pool.records.events",
    "pool.takeover.events",
    "pool.workers.events",
    "overload.events",
    "speeds.events",
):
    importlib.import_module(f"papayapick.{_module}")

_METRICS_HEAD = """# Metrics

Each gateway and placer answers `GET /metrics` on its HTTP address in the
Prometheus text format. Label values are bounded: they come from the bundle,
from the list of error codes and from fixed sets, never from a caller's text.
What to watch for, and what to do then: [alerts](../howto/alerts.md).

This page is written from `papayapick/observability/metrics.py` by
`python -m papayapick.observability.reference > docs/ref/metrics.md`.

| Metric | Kind | Labels | Meaning |
| --- | --- | --- | --- |
"""

_ENTRY_METRICS_HEAD = """
An entry host (`papayapick-entry --metrics-port=PORT`) answers `GET /metrics` on its own
address. Queues have the names that the operator gave them, and are listed only while
jobs wait in them.

A collector may keep no more than the first 4,000 bytes of a page, and cut it off in the
middle of a line. So the rows below are in the order of the page, and the metrics that
reveal an incident come first: whether the host owns pools, reaches the store and has
the newest configuration; then the results of an owner's orders (ends, renewals, starts)
and its takeovers; then refusals and dropped log lines. Their labels have a few fixed
values, so all of these fit, even where each value occurs, together with the ten longest
backlogs. Queues with waiting jobs are sorted by backlog, longest first, since an
operator may name hundreds. Answers by method and status, the `process_` series of the
process itself and, last, the histograms follow: they are long, and details of single
requests are in the [events](events.md). Metrics without a series yet are omitted, and
so are the creation times of series (`_created`).

| Metric | Kind | Labels | Meaning |
| --- | --- | --- | --- |
"""

_EVENTS_HEAD = """# Events

An entry host writes one JSON object a line to standard output: `time`, `level`,
`event`, `host` and `zone`, then the fields of the event. The lines per second of each
event are limited; `lines left out` counts the dropped ones. To follow one request:
[operations](../OPERATIONS.md).

This page is written from `events.py` of `papayapick/entry`, `papayapick/pool` and
`papayapick/speeds` by
`python -m papayapick.observability.reference events > docs/ref/events.md`.

| Event | Level | A second | Fields | Meaning |
| --- | --- | --- | --- | --- |
"""


def metrics_page():
    """Return the page of all metrics as Markdown."""
    rows = [_row(*found) for found in Metrics().describe()]
    entry_rows = [_row(*found) for found in registry.describe_metrics()]
    return (
        _METRICS_HEAD
        + "".join(row + "\n" for row in rows)
        + _ENTRY_METRICS_HEAD
        + "".join(row + "\n" for row in entry_rows)
    )


def events_page():
    """Return the page of all events as Markdown."""
    rows = [_event_row(events.EVENTS[name]) for name in sorted(events.EVENTS)]
    return _EVENTS_HEAD + "".join(row + "\n" for row in rows)


def _row(name, kind, labels, text):
    shown = ", ".join(f"`{label}`" for label in labels) or "none"
    return f"| `{name}` | {kind} | {shown} | {text} |"


def _event_row(event):
    fields = ", ".join(f"`{field}`" for field in event.fields) or "none"
    level = logging.getLevelName(event.level).lower()
    meaning = event.meaning
    return f"| {event.name} | {level} | {event.per_second} | {fields} | {meaning} |"
