"""The process that callers reach: checks, admits, calls and relays."""

from papayapick.gateway.exceptions import GatewayError, RequestInvalid

__all__ = ["GatewayError", "RequestInvalid"]
