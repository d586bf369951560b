"""Errors between the processes of a cell."""

from papayapick.exceptions import PapayapickError, RetryAfter

__all__ = [
    "CellKeyInvalid",
    "FrameInvalid",
    "GreetingOverdue",
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
    """Report a file that holds no key of a cell; a key's text is never shown."""

    code = "wire.cell-key-invalid"
    template = "{path} holds no cell key: {reason}; hint: papayapick key cell FILE"


class GreetingOverdue(WireError):
    """Report a stranger that did not finish its greeting in time."""

    code = "wire.greeting-overdue"
    template = "the greeting took too long"


class PeerUnreachable(WireError):
    """Report a connection that could not be made, so nothing was sent."""

    code = "wire.peer-unreachable"
    template = "peer {address} cannot be reached"


class PeerNotListening(PeerUnreachable):
    """Report that no process listens at the address: the one of before has ended."""

    code = "wire.peer-not-listening"
    template = "no process listens at {address}"


class PeerDisconnected(WireError):
    """Report a connection that broke with the answer outstanding."""

    code = "wire.peer-disconnected"
    template = "peer {address} went away before it answered"


class PeerTimeout(WireError):
    """Report an answer that did not come in time."""

    code = "wire.peer-timeout"
    template = "peer {address} did not answer within {seconds} s"


class PeerRefused(RetryAfter, WireError):
    """Carry a peer's typed refusal.

    ``outcome`` is one of ``not_run``, ``unknown`` and ``failed``;
    ``retry_after`` is in seconds.
    """

    code = "wire.peer-refused"
    template = "{refusal_code}: {detail}"

    @property
    def outcome(self):
        """Return what became of the work."""
        return self._details["outcome"]

    @property
    def refusal_code(self):
        """Return the code of the error at the peer."""
        return self._details["refusal_code"]
