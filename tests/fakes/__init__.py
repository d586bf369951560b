"""Fakes at the interfaces, for tests in one process."""
