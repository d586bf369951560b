"""Schedule services, batch work and gang-scheduled jobs on shared hosts."""

__all__ = ["VERSION"]

VERSION = "0.1.0"
