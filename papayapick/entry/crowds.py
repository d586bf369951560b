"""Let only some of hundreds of hosts try to take a pool at the same moment.

Guards against a store and a new owner that are busy with candidates: each of them
reads a dozen rows before it claims the pool, and asks the owner whether it works when
it finds the pool taken. The largest hosts try as early as in a small cell; each other
one waits a moment longer than the next larger one.
"""

__all__ = ["crowd_delay"]

# As many hosts may try at once.
_UNDELAYED_HOSTS = 40
# Within two tenths of a second, in which the hosts learn that the pool was taken, as
# many more hosts begin to try.
_SECONDS_PER_HOST = 0.005


def crowd_delay(settings, others):
    """Return the seconds for which a host leaves a pool to larger hosts.

    Parameters
    ----------
    settings : PlatformSettings
        Of this host; its name decides among hosts of the same size.
    others : list of Peer

    Returns
    -------
    float
        0 for the forty largest hosts.
    """
    if len(others) < _UNDELAYED_HOSTS:
        return 0.0
    own = settings.processors, settings.host_name
    larger = sum((peer.processors, peer.name) > own for peer in others)
    return _SECONDS_PER_HOST * max(0, larger + 1 - _UNDELAYED_HOSTS)
