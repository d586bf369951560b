"""Stand-ins for the host of a candidacy, and what tests do with one."""

import threading
from types import SimpleNamespace

from papayapick.wire.messages import PoolBeat
from tests.standins.clocks import AdvancingClock


class Settings:
    host_name = "h1"
    peer_address = ("127.0.0.1", 1)
    processors = 1.0


class Host:
    def __init__(self):
        self.clock = AdvancingClock(100.0)
        self.settings = Settings()
        self.stopping = threading.Event()
        self.store = object()
        self.store_seconds = 0.01
        self.is_draining = False
        self.has_read_hosts = True
        self.asked = 0
        self.peers = SimpleNamespace(all=lambda: self.others, get=self._peer)
        self.others = []
        # Names of hosts whose rows this one has not read.
        self.unknown = set()
        # Addresses at which no process owns the pool, though one may listen.
        self.not_owning = set()

    @property
    def store_health(self):
        return self

    def is_lost(self):
        return False

    def is_owned_by(self, row):
        self.asked += 1
        return row.address not in self.not_owning and row.owner not in self.unknown

    def _peer(self, name):
        return None if name in self.unknown else SimpleNamespace(name=name)


def check_owner(candidacy, times=1):
    """Check the pool's owner as the candidacy's task does."""
    for _ in range(times):
        if candidacy._needs_owner():
            candidacy._try_takeover(candidacy.row)


def beat(epoch=3, host="h2", **fields):
    return PoolBeat(pool="pool", epoch=epoch, host=host, **fields)
