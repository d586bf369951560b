"""Show moments to people."""

import time

__all__ = ["clock_time"]


def clock_time(seconds):
    """Return Unix seconds as date and time of UTC.

    Examples
    --------
    >>> clock_time(1772928062.5)
    '2026-03-08 00:01:02'
    """
    return time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(seconds))
