"""Choose the shard and the instance that serve a call."""

from papayapick.routing.exceptions import GrantExpired, NoRoute, RoutingError
from papayapick.routing.slots import Grant, SlotClient

__all__ = ["Grant", "GrantExpired", "NoRoute", "RoutingError", "SlotClient"]
