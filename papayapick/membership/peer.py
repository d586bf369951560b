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

    __slots__ = ("asked", "client", "entry", "failed", "heard", "last_heard", "stop")

    def __init__(self, entry, client, now):
        self.entry = entry
        self.client = client
        self.heard = None
        self.last_heard = now
        self.asked = float("-inf")
        self.failed = float("-inf")
        self.stop = threading.Event()

    @property
    def name(self):
        """Return the placer's name."""
        return self.entry.name
