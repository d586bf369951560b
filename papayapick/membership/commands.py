"""Notify the processes of a cell of a changed bundle head."""

from concurrent.futures import ThreadPoolExecutor

from papayapick.clients.hosts import GATEWAY_KIND, PLACER_KIND
from papayapick.wire import PeerClient, WireError
from papayapick.wire.messages import Heartbeat

__all__ = ["announce_head"]

_MAX_CONCURRENT = 32


def announce_head(entries, head, cell_keys, identity, seconds):
    """Notify every process on the host list that the bundle's head has changed.

    Processes verify a proposal as soon as they are notified. Without the
    notification, those far from the store would wait until a heartbeat across
    the link reports the change, and all others until they next poll the table. A
    table outage that begins just after an accept would then hide the accepted
    bundle from all of them. Processes notified by the operator's program
    activate the bundle that they have verified already and propagate it.

    Parameters
    ----------
    entries : list of HostEntry
    head : Head
        Bundle in force and the version of the head's row.
    cell_keys : CellKeys
    identity : Hello
    seconds : float
        Time limit for each process.

    Returns
    -------
    list of str
        Sorted names of the processes that answered.
    """
    processes = [
        entry for entry in entries if entry.kind in (GATEWAY_KIND, PLACER_KIND)
    ]
    message = Heartbeat(
        host=identity.host,
        bundle_sequence=head.sequence,
        bundle_digest=head.digest,
        head_version=head.version,
    )

    def notify(entry):
        # The client's reader occupies a thread until the client is closed.
        with ThreadPoolExecutor(1) as reader:
            client = PeerClient(entry.address, cell_keys, identity, reader, seconds)
            try:
                client.ask(message, seconds)
            except WireError:
                return None
            finally:
                client.close()
        return entry.name

    with ThreadPoolExecutor(_MAX_CONCURRENT) as executor:
        notified = list(executor.map(notify, processes))
    return sorted(name for name in notified if name is not None)
