"""The operators' command line."""

__all__ = []
