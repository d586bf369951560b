"""Return the loggers of the package."""

import logging

__all__ = ["get_logger"]


def get_logger(name):
    """Return the logger of a module, below ``papayapick``.

    This module is separate from ``log_setup``, which imports the tracing library: that
    would take 26 of the 177 ms of an entry host's imports, and it is not used there.
    """
    return logging.getLogger(name)
