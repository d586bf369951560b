"""Name the loggers of the package."""

import logging

__all__ = ["get_logger"]


def get_logger(name):
    """Return the logger of a module, below ``papayapick``.

    Apart from what writes the lines: that loads the tracing library, which costs an
    entry host 26 of the 177 ms of its imports and is not used there.
    """
    return logging.getLogger(name)
