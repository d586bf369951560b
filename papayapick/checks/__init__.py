"""System checks with ids and hints, a module for each concern."""

from papayapick.checks import (
    bundles,
    deployment,
    keys,
    package,
    platform,
    processes,
    settings,
)
from papayapick.checks.findings import Finding
from papayapick.checks.queries import register, run_checks
from papayapick.checks.surroundings import Surroundings

__all__ = [
    "Finding",
    "Surroundings",
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
