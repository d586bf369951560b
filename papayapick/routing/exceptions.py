"""Errors of routing."""

from papayapick.exceptions import PapayapickError

__all__ = [
    "DeadlineExceeded",
    "GrantExpired",
    "NoPlacerAnswer",
    "NoRoute",
    "RoutingError",
]


class RoutingError(PapayapickError):
    """Base class of the errors of routing; the work did not run."""

    code = "routing.error"
    outcome = "not_run"
    retry_after = 1.0


class NoRoute(RoutingError):
    """Report a service that no reachable shard serves."""

    code = "routing.no-route"
    template = "no reachable shard serves {service}"


class GrantExpired(RoutingError):
    """Report a slot whose grant expired before it could be used."""

    code = "routing.grant-expired"
    template = "the grant of a slot on {instance} has expired"


class DeadlineExceeded(RoutingError):
    """Report a deadline that passed before a slot was granted."""

    code = "routing.deadline-over"
    template = "the deadline passed before a slot of {service} was granted"


class NoPlacerAnswer(RoutingError):
    """Report that no placer answered; a slot that was granted anyway runs nothing."""

    code = "routing.placer-silent"
    template = "no placer answered for {service}"
