"""Write the reference pages of metrics and events.

Run as ``python -m papayapick.observability.reference metrics > docs/ref/metrics.md``,
and with ``events`` for ``docs/ref/events.md``.
"""

import sys

from papayapick.observability.queries import events_page, metrics_page

__all__ = ["PAGES", "main"]

PAGES = {"events": events_page, "metrics": metrics_page}


def main():
    """Write the named page to standard output."""
    name = sys.argv[1] if len(sys.argv) > 1 else "metrics"
    if name not in PAGES:
        sys.exit(f"unknown page {name}; known pages: {', '.join(sorted(PAGES))}")
    sys.stdout.write(PAGES[name]())


if __name__ == "__main__":
    main()
