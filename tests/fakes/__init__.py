"""Fakes of the client interfaces for tests that run in one process."""
