"""In which order hosts try to take a pool: how long each waits for better ones."""

import random

from papayapick.entry.crowds import crowd_delay

__all__ = ["JITTER_SECONDS", "size_deficit", "takeover_delay"]

# Hosts that detect a silent owner at the same time try one after the other, those
# nearest to the store first; the later ones find the pool taken.
JITTER_SECONDS = 0.06
# Each candidate reads a dozen rows first, which takes the store longer than this.
_JITTER_SECONDS_PER_HOST = 0.0006
# An owner in the other region has a latency of 45 ms to the store and to most workers
# at each call; waiting 0.25 s for a nearer candidate costs less. Hosts near the store
# measure less than 20 ms even while all hosts start at once, and are not delayed.
_LATENCY_WEIGHT = 10
_NEAR_LATENCY_SECONDS = 0.02
# Upper bound of the delay by latency: a slow store has a high latency from every host,
# and jobs would wait without an owner. A host two regions away waits this long.
_MAX_LATENCY_DELAY_SECONDS = 0.4
# One owner decides for the whole pool and communicates with all of its workers: on a
# host with a small share of a core or of the network, lease renewals and starts time
# out. The largest host is not delayed by its size; a host of size zero would wait this
# long, five times the jitter.
_MAX_SIZE_DELAY_SECONDS = 0.3


def takeover_delay(host):
    """Return for how long a host waits before it tries to take a pool, in seconds.

    Parameters
    ----------
    host : EntryHost
    """
    return (
        _latency_delay(host)
        + _MAX_SIZE_DELAY_SECONDS * size_deficit(host)
        + crowd_delay(host.settings, host.peers.all())
        + random.uniform(0, _jitter(host))
    )


def size_deficit(host):
    """Return the share of the largest host's cores that a host lacks."""
    own = host.settings.processors
    others = [peer.processors for peer in host.peers.all()]
    return 1 - own / max([own, *others])


def _jitter(host):
    return max(JITTER_SECONDS, _JITTER_SECONDS_PER_HOST * len(host.peers.all()))


def _latency_delay(host):
    """Return the seconds to wait for hosts that are nearer to the store."""
    seconds = host.store_seconds
    if seconds is None:
        return _MAX_LATENCY_DELAY_SECONDS
    excess = max(0.0, seconds - _NEAR_LATENCY_SECONDS)
    return min(_LATENCY_WEIGHT * excess, _MAX_LATENCY_DELAY_SECONDS)
