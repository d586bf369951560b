"""Run the command line within the process of the tests."""

import io
import json
import os
from unittest import mock

from papayapick.management.program import run


class CommandResult:
    """Hold the exit code and the output of a command."""

    def __init__(self, code, out, err):
        self.code = code
        self.out = out
        self.err = err

    @property
    def lines(self):
        assert self.code == 0 or self.out, f"exit code {self.code}: {self.err}"
        return [json.loads(line) for line in self.out.splitlines()]


def run_command(*arguments, environment=None):
    """Run papayapick in this process, with additional environment variables."""
    out, err = io.StringIO(), io.StringIO()
    with mock.patch.dict(os.environ, environment or {}):
        code = run([str(argument) for argument in arguments], out, err)
    return CommandResult(code, out.getvalue(), err.getvalue())


def in_cell(cell, *arguments):
    """Run papayapick against a running cell."""
    return run_command(*arguments, environment=cell._environment())
