"""Decisions while more work arrives than the pool has room for."""
