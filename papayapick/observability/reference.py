"""Write the reference page of the metrics.

Run as ``python -m papayapick.observability.reference > docs/ref/metrics.md``.
"""

import sys

from papayapick.observability.queries import metrics_page

__all__ = ["main"]


def main():
    """Write the page to standard output."""
    sys.stdout.write(metrics_page())


if __name__ == "__main__":
    main()
