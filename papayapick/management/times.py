"""Format times for people."""

import time

__all__ = ["format_utc"]


def format_utc(seconds):
    """Return the UTC date and time of Unix seconds.

    Examples
    --------
    >>> format_utc(1772928062.5)
    '2026-03-08 00:01:02'
    """
    return time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(seconds))
