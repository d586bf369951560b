"""Hold what one process knows of one placer."""

import threading

__all__ = ["Peer"]


class Peer:
    """Hold what is known of one placer.

    Parameters
    ----------
    entry : HostEntry
    client : PeerClient
    now : float
        Monotonic seconds; silence counts from here until the first answer.
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
