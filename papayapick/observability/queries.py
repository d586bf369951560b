"""Describe the metrics and the events."""

import importlib
import logging

from papayapick.observability import events, registry
from papayapick.observability.metrics import Metrics

__all__ = ["events_page", "metrics_page"]

# They define the metrics and the events of an entry host.
for _module in ("entry.metrics", "pool.metrics", "entry.events", "pool.events"):
    importlib.import_module(f"papayapick.{_module}")

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

_ENTRY_HEAD = """
An entry host (`papayapick-entry --metrics-port=PORT`) answers `GET /metrics` on its own
address. Queues are named as the operator named them, and only while jobs wait in them.

A collector may keep no more than the first 4,000 bytes of a page, and cut it off in the
middle of a line. So the rows below are in the order of the page, and what tells an
incident from a quiet day comes first: whether the host owns pools, has heard the store
and goes by the newest configuration; then what became of an owner's orders (ends,
renewals, starts) and its takeovers; then refusals and lines that are missing. Their
labels have a few fixed values, so that all of these fit in, also where each value
occurs, together with the ten longest backlogs. Queues with jobs that wait come longest
backlog first, since an operator may name hundreds. Answers by method and status, the
process's own `process_` series and, last, the histograms follow: they are long, and
what they tell of single requests stands in the [events](events.md). Metrics without a
series yet are left out, and so is the moment at which a series began (`_created`).

| Metric | Kind | Labels | Meaning |
| --- | --- | --- | --- |
"""

_EVENTS_HEAD = """# Events

An entry host writes one JSON object a line to standard output: `time`, `level`,
`event`, `host` and `zone`, then the fields of the event. Each event may have so many
lines a second; `lines left out` counts what was not written. For one request:
[operations](../OPERATIONS.md).

This page is written from `events.py` of `papayapick/entry` and `papayapick/pool` by
`python -m papayapick.observability.reference events > docs/ref/events.md`.

| Event | Level | A second | Fields | Meaning |
| --- | --- | --- | --- | --- |
"""


def metrics_page():
    """Return the page of all metrics as Markdown."""
    rows = [_row(*found) for found in Metrics().describe()]
    entry_rows = [_row(*found) for found in registry.describe_metrics()]
    return (
        _PAGE_HEAD
        + "".join(row + "\n" for row in rows)
        + _ENTRY_HEAD
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
