"""Show moments to people."""

import time

__all__ = ["format_utc"]


def format_utc(seconds):
    """Return Unix seconds as date and time of UTC.

    Examples
    --------
    >>> format_utc(1772928062.5)
    '2026-03-08 00:01:02'
    """
    return time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(seconds))
