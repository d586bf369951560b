"""The process that owns shards of hosts and places work on them."""

from papayapick.placer.exceptions import (
    PlacerError,
    ShardClosed,
    WaitingFull,
    WaitOver,
)

__all__ = ["PlacerError", "ShardClosed", "WaitOver", "WaitingFull"]
