"""Plot the time of a placement decision over the number of workers.

Run as ``python -m benchmarks.placement --json | python -m benchmarks.plots FILE``.
"""

import json
import sys

import matplotlib

COLUMNS = ("workers", "policy", "p99_us")


def read(stream):
    """Return the numbers of workers and the times of each policy.

    Parameters
    ----------
    stream : iterable of str
        JSON lines; rows of other tables are skipped.

    Returns
    -------
    dict of str to list of (int, float)
    """
    found = {}
    for line in stream:
        row = json.loads(line)
        if all(name in row for name in COLUMNS):
            point = (row["workers"], row["p99_us"])
            found.setdefault(row["policy"], []).append(point)
    return found


def draw(found, path):
    """Write an SVG file with logarithmic axes."""
    matplotlib.use("svg")
    # A fixed salt makes the identifiers in the file, and so the file, reproducible.
    matplotlib.rcParams["svg.hashsalt"] = "papayapick"
    # The import of pyplot selects the back end.
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(6, 3.5))
    for policy, points in found.items():
        axes.loglog(*zip(*points, strict=True), marker="o", label=policy)
    axes.axhline(2000, color="grey", linestyle=":", label="aim: 2 ms")
    axes.set_xlabel("workers")
    axes.set_ylabel("99th percentile of a decision, us")
    axes.legend()
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})


def main():
    draw(read(sys.stdin), sys.argv[1])


if __name__ == "__main__":
    main()
