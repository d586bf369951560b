"""System checks, whose findings have an id and a hint; one module per concern."""

from papayapick.checks import (
    bundles,
    deployment,
    keys,
    package,
    platform,
    processes,
    settings,
)
from papayapick.checks.context import CheckContext
from papayapick.checks.findings import Finding
from papayapick.checks.queries import register, run_checks

__all__ = [
    "Finding",
    "CheckContext",
    "bundles",
    "deployment",
    "keys",
    "package",
    "platform",
    "processes",
    "register",
    "run_checks",
    "settings",
]
