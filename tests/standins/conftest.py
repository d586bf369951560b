"""Note the threads that die in a test, in place of failing it."""

import threading

import pytest


@pytest.fixture
def deaths(monkeypatch):
    """Return the exceptions that threads die of."""
    found = []

    def note(args):
        found.append(args.exc_value)

    monkeypatch.setattr(threading, "excepthook", note)
    return found
