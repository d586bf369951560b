"""Ask the processes of a cell, as an operator, over authenticated connections."""

from concurrent.futures import ThreadPoolExecutor

from papayapick.clients.hosts import GATEWAY_KIND, PLACER_KIND
from papayapick.wire import CellKeys, PeerClient, WireError
from papayapick.wire.messages import Heartbeat, Hello

__all__ = ["OperatorPeers", "process_entries"]

_SIDE_BY_SIDE = 16


def process_entries(entries):
    """Return the gateways and placers of a live list, by kind and name."""
    found = [one for one in entries if one.kind in (GATEWAY_KIND, PLACER_KIND)]
    return sorted(found, key=lambda entry: (entry.kind, entry.name))


class OperatorPeers:
    """Hold a connection to each process that is asked.

    Parameters
    ----------
    entries : list of HostEntry
        Gateways and placers.
    cell_keys : CellKeys
    operator : str
    seconds : float
        To connect, and to wait for each answer.
    """

    __slots__ = ("_askers", "_clients", "_entries", "_readers", "_seconds")

    def __init__(self, entries, cell_keys, operator, seconds):
        self._entries = {entry.name: entry for entry in entries}
        self._seconds = seconds
        self._askers = ThreadPoolExecutor(_SIDE_BY_SIDE)
        # One task reads each connection for as long as it is open.
        self._readers = readers = ThreadPoolExecutor(max(1, len(self._entries)))
        self._clients = {
            name: PeerClient(
                entry.address, cell_keys, _identity(operator, entry), readers, seconds
            )
            for name, entry in self._entries.items()
        }

    @classmethod
    def from_config(cls, settings, entries, operator):
        """Build the connections of one command."""
        keys = CellKeys.from_file(settings.cell_key)
        seconds = settings.platform_timeout_seconds
        return cls(process_entries(entries), keys, operator, seconds)

    def __enter__(self):
        return self

    def __exit__(self, *ignored):
        self.close()

    def ask(self, name, payload):
        """Ask one process.

        Raises
        ------
        KeyError
            The process is not on the live list.
        WireError
        """
        return self._clients[name].ask(payload, self._seconds)

    def heartbeats(self):
        """Return what each process says of itself, None where it is silent.

        Returns
        -------
        dict of str to Heartbeat or None
        """
        return dict(
            zip(self._clients, self._askers.map(self._beat, self._clients), strict=True)
        )

    def close(self):
        """Close every connection."""
        for client in self._clients.values():
            client.close()
        self._askers.shutdown()
        self._readers.shutdown()

    def _beat(self, name):
        try:
            return self.ask(name, Heartbeat(host="operator"))
        except WireError:
            return None


def _identity(operator, entry):
    # Who asks from another region hears a summary of the region only; the
    # operator asks each process for its own word.
    return Hello(host=f"operator/{operator}", region=entry.region, zone=entry.zone)
