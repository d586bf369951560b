"""Collect uncaught exceptions of threads instead of failing the test."""

import threading

import pytest


@pytest.fixture
def thread_exceptions(monkeypatch):
    """Return the list of the uncaught exceptions of threads."""
    exceptions = []

    def record(args):
        exceptions.append(args.exc_value)

    monkeypatch.setattr(threading, "excepthook", record)
    return exceptions
