"""Errors of routing."""

from papayapick.exceptions import PapayapickError

__all__ = ["GrantExpired", "NoRoute", "RoutingError"]


class RoutingError(PapayapickError):
    """Stand for any error of routing; the work did not run."""

    code = "routing.error"
    outcome = "not_run"
    retry_after = 1.0


class NoRoute(RoutingError):
    """Report a service that no reachable shard serves."""

    code = "routing.no-route"
    template = "no shard in reach serves {service}"


class GrantExpired(RoutingError):
    """Report a slot that came too late to be used."""

    code = "routing.grant-expired"
    template = "the slot on {instance} came too late to be used"
