"""Choose which host sends a query to the advice service.

The service handles one call at a time from each calling host. When a pool is taken over
or many jobs arrive at once, queries of non-urgent queues take most of a second each
and could occupy all hosts, so that urgent steps, whose queries take some hundredths of
a second, would wait behind them. Hosts that own a pool are therefore reserved for short
queries. They also have the shortest path to the component that waits for the answer.
"""

__all__ = ["HostLoad", "choose_host", "is_long"]

# A host is assigned another query only if its pending ones take no longer than this:
# short queries follow each other without a pause, a long one is sent by itself.
_MAX_PENDING_SECONDS = 0.15
# A query that takes longer delays others noticeably.
_LONG_QUERY_SECONDS = 0.1
# To a host across the link between regions and back, and from there to the service.
_REGION_LINK_SECONDS = 0.08


class HostLoad:
    """Hold how busy one host is with queries.

    Parameters
    ----------
    peer : Peer or None
        None for this host.
    seconds : float
        Time that the queries already assigned to the host still take.
    is_owner : bool
        Whether the host owns a pool, as far as this host knows.
    is_far : bool
        Whether the host is in another region than this host.
    """

    __slots__ = ("is_far", "is_owner", "peer", "seconds")

    def __init__(self, peer, seconds, is_owner=False, is_far=False):
        self.peer = peer
        self.seconds = seconds
        self.is_owner = is_owner
        self.is_far = is_far


def is_long(expected):
    """Return whether a query of so many seconds delays others noticeably."""
    return expected > _LONG_QUERY_SECONDS


def choose_host(expected, hosts):
    """Return the host that should send a query now, or None if all are busy.

    Parameters
    ----------
    expected : float
        Seconds that the call takes.
    hosts : list of HostLoad
        The live hosts, including this one.

    Returns
    -------
    HostLoad or None
    """
    if is_long(expected):
        hosts = [host for host in hosts if not host.is_owner] or hosts
    free = [host for host in hosts if host.seconds <= _MAX_PENDING_SECONDS]
    return min(free, key=_delay, default=None)


def _delay(host):
    return host.seconds + (_REGION_LINK_SECONDS if host.is_far else 0.0)
