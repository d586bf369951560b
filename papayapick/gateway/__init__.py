"""The gateway, which validates and admits callers' requests and returns answers."""

from papayapick.gateway.exceptions import GatewayError, RequestInvalid

__all__ = ["GatewayError", "RequestInvalid"]
