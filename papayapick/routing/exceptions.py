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


class DeadlineExceeded(RoutingError):
    """Report a deadline that passed before a slot was had."""

    code = "routing.deadline-over"
    template = "the deadline passed before a slot of {service} was had"


class NoPlacerAnswer(RoutingError):
    """Report placers that gave no answer; a slot alone runs nothing."""

    code = "routing.placer-silent"
    template = "no placer answered for {service}"
