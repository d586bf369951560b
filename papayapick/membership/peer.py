"""State that a process keeps for each placer."""

import threading

__all__ = ["Peer"]


class Peer:
    """Hold the last known state of one placer.

    Parameters
    ----------
    entry : HostEntry
    client : PeerClient
    now : float
        Monotonic seconds; until the first answer, silence is counted from here.
    """

    __slots__ = (
        "client",
        "entry",
        "last_failed_at",
        "last_heartbeat",
        "last_heartbeat_at",
        "last_sent_at",
        "stop",
    )

    def __init__(self, entry, client, now):
        self.entry = entry
        self.client = client
        self.last_heartbeat = None
        self.last_heartbeat_at = now
        self.last_sent_at = float("-inf")
        self.last_failed_at = float("-inf")
        self.stop = threading.Event()

    @property
    def name(self):
        """Return the placer's name."""
        return self.entry.name
