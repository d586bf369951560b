"""Register and run checks."""

from papayapick.checks.context import CheckContext

__all__ = ["register", "run_checks"]

_CHECKS = []


def register(check):
    """Register a check, a callable that takes a CheckContext and yields findings."""
    _CHECKS.append(check)
    return check


def run_checks(bundles=(), is_deployed=False, environment=None, clock=None):
    """Run every check.

    Parameters
    ----------
    bundles : sequence of str
        Paths of bundle documents.
    is_deployed : bool
        Whether to check settings, keys and the platform too.
    environment : dict, optional
        The environment of the process by default.
    clock : Clock, optional

    Returns
    -------
    list of Finding
    """
    context = CheckContext(bundles, is_deployed, environment, clock)
    return [finding for check in _CHECKS for finding in check(context)]
