"""Get a slot for a call: choose the shard whose placer grants it."""

from papayapick.routing.exceptions import (
    DeadlineExceeded,
    GrantExpired,
    NoPlacerAnswer,
    NoRoute,
    RoutingError,
)
from papayapick.routing.loads import Candidate, LoadView
from papayapick.routing.refusals import indicates_new_owner
from papayapick.routing.slots import Grant, SlotClient

__all__ = [
    "Candidate",
    "DeadlineExceeded",
    "Grant",
    "GrantExpired",
    "LoadView",
    "NoPlacerAnswer",
    "NoRoute",
    "RoutingError",
    "SlotClient",
    "indicates_new_owner",
]
