"""Tell the processes of a cell what changed."""

from concurrent.futures import ThreadPoolExecutor

from papayapick.clients.hosts import GATEWAY_KIND, PLACER_KIND
from papayapick.wire import PeerClient, WireError
from papayapick.wire.messages import Heartbeat

__all__ = ["announce_head"]

_SIDE_BY_SIDE = 32


def announce_head(entries, head, cell_keys, identity, seconds):
    """Tell every process on the list that the bundle's head has changed.

    Told of a proposal, they verify it at once; those far from the store would
    look only when a heartbeat over the link says so. An accepted bundle they
    would find at their next look at the table. An outage that begins just after
    the accept would then keep it from all of them; told by the operator's
    program, they put in force what they have verified already, and pass it on.

    Parameters
    ----------
    entries : list of HostEntry
    head : Head
        With the bundle that is in force, and the version of the row.
    cell_keys : CellKeys
    identity : Hello
    seconds : float
        To wait for one process.

    Returns
    -------
    list of str
        Names of the processes that answered, in order.
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

    def tell(entry):
        # A client's reader takes a thread until the client is closed.
        with ThreadPoolExecutor(1) as reader:
            client = PeerClient(entry.address, cell_keys, identity, reader, seconds)
            try:
                client.ask(message, seconds)
            except WireError:
                return None
            finally:
                client.close()
        return entry.name

    with ThreadPoolExecutor(_SIDE_BY_SIDE) as executor:
        told = list(executor.map(tell, processes))
    return sorted(name for name in told if name is not None)
