"""Messages between the processes of a cell, over authenticated TCP frames."""

from papayapick.wire.client import PeerClient
from papayapick.wire.codec import decode, encode
from papayapick.wire.exceptions import (
    CellKeyInvalid,
    FrameInvalid,
    HandshakeTimeout,
    PeerDisconnected,
    PeerRefused,
    PeerTimeout,
    PeerUnreachable,
    WireError,
)
from papayapick.wire.frames import Connection
from papayapick.wire.keys import CellKeys
from papayapick.wire.server import PeerServer

__all__ = [
    "CellKeyInvalid",
    "CellKeys",
    "Connection",
    "FrameInvalid",
    "HandshakeTimeout",
    "PeerClient",
    "PeerDisconnected",
    "PeerRefused",
    "PeerServer",
    "PeerTimeout",
    "PeerUnreachable",
    "WireError",
    "decode",
    "encode",
]
