"""Schedule services, batch work and all-at-once jobs on shared hosts."""

__all__ = ["VERSION"]

VERSION = "0.1.0"
