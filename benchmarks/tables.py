"""Print rows as a table, or as JSON with ``--json``."""

import json
import sys

__all__ = ["percentile", "print_rows"]


def percentile(values, share):
    """Return the value below which the given share of the values lies.

    Examples
    --------
    >>> percentile([3, 1, 2], 0.5)
    2
    """
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def print_rows(rows, stream=None):
    """Print dictionaries with the same keys as a table or as JSON lines.

    Parameters
    ----------
    rows : list of dict
    stream : file, optional
    """
    stream = stream or sys.stdout
    if "--json" in sys.argv[1:]:
        for row in rows:
            stream.write(json.dumps(row) + "\n")
        return
    names = list(rows[0])
    cells = [[_text(row[name]) for name in names] for row in rows]
    widths = [max(len(line[i]) for line in [names, *cells]) for i in range(len(names))]
    for line in [names, *cells]:
        text = "  ".join(
            part.ljust(width) for part, width in zip(line, widths, strict=True)
        )
        stream.write(text.rstrip() + "\n")


def _text(value):
    return f"{value:.4g}" if isinstance(value, float) else str(value)
