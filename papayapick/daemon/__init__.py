"""Provide the common parts of the gateway and placer processes."""

from papayapick.daemon.process import Process
from papayapick.daemon.program import run_program

__all__ = ["Process", "run_program"]
