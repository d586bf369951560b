"""Join the cell: read or create its key, and register this host."""

import base64
import os

from papayapick.clients.exceptions import ConditionFailed, TableUnavailable
from papayapick.clients.rows import Expectation, RowWrite
from papayapick.entry.cell.peers import HOSTS_PARTITION
from papayapick.entry.events import CELL_KEY_FOUND, STORE_AWAY
from papayapick.ownership.pools import CELL_TABLE

__all__ = ["cell_key", "register", "register_again"]

_KEY_PARTITION = "key"
_KEY_BYTES = 32
_RETRY_SECONDS = 0.2


def cell_key(host):
    """Return the key of the cell; the first process to ask for it creates it.

    Returns
    -------
    bytes or None
        None if this process stops before the store has answered.
    """
    expectation = Expectation(CELL_TABLE, _KEY_PARTITION, "key", 0)
    new_key = base64.b64encode(os.urandom(_KEY_BYTES)).decode()
    write = RowWrite(CELL_TABLE, _KEY_PARTITION, "key", {"key": new_key})

    def try_once():
        for row in host.store.read(CELL_TABLE, _KEY_PARTITION).rows:
            return base64.b64decode(row.value["key"])
        try:
            host.store.transact([expectation], [write])
        except ConditionFailed:
            # Another host has created the key since the read above. The caller
            # repeats the read.
            return None
        return None

    while not host.stopping.is_set():
        key = _retry_while_unavailable(host, "key", try_once)
        if key is not None:
            CELL_KEY_FOUND.write(made_here=key == base64.b64decode(new_key))
            return key
    return None


def register(host):
    """Store this host's row, by which the other hosts find it."""
    settings = host.settings
    address, port = settings.peer_address
    value = {
        "address": address,
        "port": port,
        "zone": settings.zone,
        "region": settings.region,
        "processors": settings.processors,
    }
    write = RowWrite(CELL_TABLE, HOSTS_PARTITION, settings.host_name, value)
    _retry_while_unavailable(host, "register", lambda: host.store.transact([], [write]))


def register_again(host):
    """Store this host's row again, in the background, unless the host is draining.

    An owner removed the row because this host did not answer for a long time, and sends
    heartbeats to registered hosts only.
    """
    if not host.is_draining:
        host.executor.submit(register, host)


def _retry_while_unavailable(host, name, call):
    """Repeat a call until the store answers it, and return its result.

    Return None if this process stops first: the wait between two calls ends at once
    then, and the loop would take a core and the store's calls.
    """
    while not host.stopping.is_set():
        try:
            return call()
        except TableUnavailable as error:
            STORE_AWAY.write(step=name, error=str(error))
            host.clock.wait(host.stopping, _RETRY_SECONDS)
    return None
