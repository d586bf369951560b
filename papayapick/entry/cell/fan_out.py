"""How a new owner reaches hundreds of hosts in its first moments.

Guards against an owner that other hosts take for silent, because it connects to all of
them at the same moment, and tells each of them the states of all jobs: a second of
processor time and ten megabytes with 300 hosts and 500 jobs.
"""

__all__ = ["first_delays", "is_large"]

# Up to as many hosts, all are reached at the same moment, and a relay passes states on
# only to hosts that have answered.
_MAX_HOSTS_AT_ONCE = 40


def is_large(hosts):
    """Return whether a cell of a number of other hosts is reached in a paced way."""
    return hosts > _MAX_HOSTS_AT_ONCE


def first_delays(settings, peers, interval):
    """Return when the first heartbeat of a new owner is sent to each host.

    Hosts of the own zone are first and those of other regions last. The connections,
    and later the heartbeats, are spread evenly over the interval.

    Parameters
    ----------
    settings : PlatformSettings
        Of the owner's host.
    peers : list of Peer
    interval : float
        Seconds between the heartbeats to a host.

    Returns
    -------
    dict of Peer to float
        Seconds; the interval itself for each of only a few hosts.
    """
    if not is_large(len(peers)):
        return dict.fromkeys(peers, interval)
    near_first = sorted(
        peers,
        key=lambda peer: (peer.zone != settings.zone, peer.region != settings.region),
    )
    step = interval / len(peers)
    return {peer: step * number for number, peer in enumerate(near_first)}
