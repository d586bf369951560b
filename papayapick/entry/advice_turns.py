"""Decide which host asks the advice service a question.

Answers the load in which questions of most of a second each, of patient queues, take up
the hosts as a pool is taken over or a burst comes: the service takes one call at a time
from each host, and urgent steps, whose questions take some hundredths of a second,
would wait behind them. Hosts that own a pool are kept for those; they also have the
shortest way to whoever waits for the answer.
"""

__all__ = ["HostLoad", "choose_host", "is_long"]

# A host is given the next question while what it was given takes no longer than this:
# short ones follow each other without a pause, a long one is asked by itself.
_LOAD_SECONDS = 0.15
# A question that takes longer keeps others waiting.
_LONG_SECONDS = 0.1
# To a host across the link between regions and back, and from there to the service.
_FAR_SECONDS = 0.08


class HostLoad:
    """Tell how much one host has to ask.

    Parameters
    ----------
    peer : Peer or None
        None for this host.
    seconds : float
        What the calls that it was given still take.
    is_owner : bool
        It decides for a pool, as far as is known here.
    is_far : bool
        It is in another region than this host.
    """

    __slots__ = ("is_far", "is_owner", "peer", "seconds")

    def __init__(self, peer, seconds, is_owner=False, is_far=False):
        self.peer = peer
        self.seconds = seconds
        self.is_owner = is_owner
        self.is_far = is_far


def is_long(expected):
    """Return whether a question of so many seconds keeps others waiting."""
    return expected > _LONG_SECONDS


def choose_host(expected, hosts):
    """Return the host that is to ask a question now, or None where none has time.

    Parameters
    ----------
    expected : float
        Seconds that the call takes.
    hosts : list of HostLoad
        Those that live, with this host.

    Returns
    -------
    HostLoad or None
    """
    if is_long(expected):
        hosts = [host for host in hosts if not host.is_owner] or hosts
    free = [host for host in hosts if host.seconds <= _LOAD_SECONDS]
    return min(free, key=_delay, default=None)


def _delay(host):
    return host.seconds + (_FAR_SECONDS if host.is_far else 0.0)
