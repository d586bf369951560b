"""Choose the shard and the instance that serve a call."""

from papayapick.routing.exceptions import (
    DeadlineOver,
    GrantExpired,
    NoRoute,
    PlacerSilent,
    RoutingError,
)
from papayapick.routing.loads import Candidate, LoadView
from papayapick.routing.moves import has_moved
from papayapick.routing.slots import Grant, SlotClient

__all__ = [
    "has_moved",
    "Candidate",
    "DeadlineOver",
    "Grant",
    "GrantExpired",
    "LoadView",
    "NoRoute",
    "PlacerSilent",
    "RoutingError",
    "SlotClient",
]
