"""Errors of the connections between the processes of a cell."""

from papayapick.exceptions import PapayapickError, RetryAfter

__all__ = [
    "CellKeyInvalid",
    "FrameInvalid",
    "HandshakeTimeout",
    "PeerDisconnected",
    "PeerNotListening",
    "PeerRefused",
    "PeerTimeout",
    "PeerUnreachable",
    "WireError",
]


class WireError(PapayapickError):
    """Stand for any error on a connection between processes."""

    code = "wire.error"


class FrameInvalid(WireError):
    """Report a frame that is too large, forged, replayed or not decodable."""

    code = "wire.frame-invalid"
    template = "frame refused: {reason}"


class CellKeyInvalid(WireError):
    """Report a file without valid cell keys; the message never quotes a key."""

    code = "wire.cell-key-invalid"
    template = "{path} has no valid cell key: {reason}; hint: papayapick key cell FILE"


class HandshakeTimeout(WireError):
    """Report a peer that did not complete the handshake in time."""

    code = "wire.greeting-overdue"
    template = "the handshake was not completed in time"


class PeerUnreachable(WireError):
    """Report a connection that could not be opened, so nothing was sent."""

    code = "wire.peer-unreachable"
    template = "peer {address} cannot be reached"


class PeerNotListening(PeerUnreachable):
    """Report a refused connection: the process that listened there has ended."""

    code = "wire.peer-not-listening"
    template = "no process listens at {address}"


class PeerDisconnected(WireError):
    """Report a connection that broke, possibly with calls outstanding."""

    code = "wire.peer-disconnected"
    template = "connection to peer {address} broke"


class PeerTimeout(WireError):
    """Report an answer that did not arrive in time."""

    code = "wire.peer-timeout"
    template = "peer {address} did not answer within {seconds} s"


class PeerRefused(RetryAfter, WireError):
    """Report that a peer answered with a ``Refusal``.

    ``outcome`` is one of ``not_run``, ``unknown`` and ``failed``;
    ``retry_after`` is in seconds.
    """

    code = "wire.peer-refused"
    template = "{refusal_code}: {detail}"

    @property
    def outcome(self):
        """Return whether the work ran, as far as the peer knows."""
        return self._details["outcome"]

    @property
    def refusal_code(self):
        """Return the code of the error at the peer."""
        return self._details["refusal_code"]
