"""What the gateway and the placer share as processes."""

from papayapick.daemon.process import Process
from papayapick.daemon.program import run_program

__all__ = ["Process", "run_program"]
