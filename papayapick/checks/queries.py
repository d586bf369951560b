"""Register and run checks."""

from papayapick.checks.context import CheckContext

__all__ = ["register", "run_checks"]

_CHECKS = []


def register(check):
    """Add a check; it takes the surroundings and yields findings."""
    _CHECKS.append(check)
    return check


def run_checks(bundles=(), is_deployed=False, environment=None, clock=None):
    """Run every check.

    Parameters
    ----------
    bundles : sequence of str
        Paths of bundle documents.
    is_deployed : bool
        Look at settings and reach the platform.
    environment : dict, optional
        Defaults to the process's own.
    clock : Clock, optional

    Returns
    -------
    list of Finding
    """
    found = CheckContext(bundles, is_deployed, environment, clock)
    return [finding for check in _CHECKS for finding in check(found)]
