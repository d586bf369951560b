"""Query the processes of a cell as an operator, over authenticated connections."""

from concurrent.futures import ThreadPoolExecutor

from papayapick.clients.hosts import GATEWAY_KIND, PLACER_KIND
from papayapick.wire import CellKeys, PeerClient, WireError
from papayapick.wire.messages import Heartbeat, Hello

__all__ = ["OperatorPeers", "process_entries"]

_MAX_CONCURRENT_REQUESTS = 16


def process_entries(entries):
    """Return the gateways and placers of a live list, sorted by kind and name."""
    found = [one for one in entries if one.kind in (GATEWAY_KIND, PLACER_KIND)]
    return sorted(found, key=lambda entry: (entry.kind, entry.name))


class OperatorPeers:
    """Hold a connection to each gateway and placer.

    Parameters
    ----------
    entries : list of HostEntry
        Gateways and placers.
    cell_keys : CellKeys
    operator : str
    timeout_seconds : float
        Timeout of connecting, and of each answer.
    """

    __slots__ = (
        "_clients",
        "_entries",
        "_reader_executor",
        "_request_executor",
        "_timeout_seconds",
    )

    def __init__(self, entries, cell_keys, operator, timeout_seconds):
        self._entries = {entry.name: entry for entry in entries}
        self._timeout_seconds = timeout_seconds
        self._request_executor = ThreadPoolExecutor(_MAX_CONCURRENT_REQUESTS)
        # Each open connection occupies one thread that reads from it.
        self._reader_executor = reader_executor = ThreadPoolExecutor(
            max(1, len(self._entries))
        )
        self._clients = {
            name: PeerClient(
                entry.address,
                cell_keys,
                _identity(operator, entry),
                reader_executor,
                timeout_seconds,
            )
            for name, entry in self._entries.items()
        }

    @classmethod
    def from_config(cls, settings, entries, operator):
        """Build the connections for one command."""
        keys = CellKeys.from_file(settings.cell_key)
        timeout_seconds = settings.platform_timeout_seconds
        return cls(process_entries(entries), keys, operator, timeout_seconds)

    def __enter__(self):
        return self

    def __exit__(self, *ignored):
        self.close()

    def ask(self, name, payload):
        """Send a message to one process and return its answer.

        Raises
        ------
        KeyError
            The process is not on the live list.
        WireError
        """
        return self._clients[name].ask(payload, self._timeout_seconds)

    def heartbeats(self):
        """Return the heartbeat of each process, None for one that does not answer.

        Returns
        -------
        dict of str to Heartbeat or None
        """
        return dict(
            zip(
                self._clients,
                self._request_executor.map(self._request_heartbeat, self._clients),
                strict=True,
            )
        )

    def close(self):
        """Close every connection."""
        for client in self._clients.values():
            client.close()
        self._request_executor.shutdown()
        self._reader_executor.shutdown()

    def _request_heartbeat(self, name):
        try:
            return self.ask(name, Heartbeat(host="operator"))
        except WireError:
            return None


def _identity(operator, entry):
    # A peer of another region gets only a summary of the region. To get the heartbeat
    # of the process itself, the operator identifies with its region and zone.
    return Hello(host=f"operator/{operator}", region=entry.region, zone=entry.zone)
