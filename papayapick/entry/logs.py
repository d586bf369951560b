"""Write the log of an entry host as JSON lines to standard output."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

__all__ = ["configure_entry_logs"]

_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"


def configure_entry_logs(settings, level):
    """Send JSON lines to standard output.

    Parameters
    ----------
    settings : PlatformSettings
    level : str
    """
    handler = logging.StreamHandler(sys.stdout)
    handler.setFormatter(
        JsonFormatter(
            _FORMAT,
            rename_fields={"asctime": "time", "levelname": "level"},
            static_fields={"host": settings.host_name, "zone": settings.zone},
        )
    )
    root = logging.getLogger("papayapick")
    root.handlers = [handler]
    root.setLevel(level.upper())
    root.propagate = False
