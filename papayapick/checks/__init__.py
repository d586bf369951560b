"""System checks with ids and hints."""

from papayapick.checks.findings import Finding
from papayapick.checks.queries import register, run_checks

__all__ = ["Finding", "register", "run_checks"]
