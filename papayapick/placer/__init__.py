"""The placer process, which owns shards of hosts and places work on them."""

from papayapick.placer.exceptions import (
    PlacerError,
    ShardClosed,
    SlotWaitExpired,
    WaitingQueueFull,
)

__all__ = ["PlacerError", "ShardClosed", "SlotWaitExpired", "WaitingQueueFull"]
