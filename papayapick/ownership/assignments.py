"""Map hosts to shards and shards to the placers that should serve them."""

import hashlib

__all__ = ["candidates", "preferred_owner", "shard_of", "zone_of"]


def _score(*parts):
    return hashlib.blake2b("|".join(parts).encode(), digest_size=8).digest()


def shard_of(name, zone, shards_per_zone):
    """Return the shard of a host.

    Parameters
    ----------
    name : str
        Of the worker; an instance goes with its worker.
    zone : str
    shards_per_zone : int

    Examples
    --------
    >>> shard_of("worker-1", "hobart-a", 1)
    'hobart-a.0'
    """
    number = int.from_bytes(_score(name), "big") % shards_per_zone
    return f"{zone}.{number}"


def zone_of(shard):
    """Return the zone of a shard."""
    return shard.rpartition(".")[0]


def candidates(peers):
    """Return the placers that may be given shards.

    One that drains, or has no bundle yet, answers heartbeats and takes nothing:
    chosen as the preferred owner it would leave its shards unserved. One that
    the list names as leaving is chosen only where no other answers, since the
    list may be wrong.

    Parameters
    ----------
    peers : list of Peer
        Those that answer.

    Returns
    -------
    list of HostEntry
    """
    able = [
        peer.entry
        for peer in peers
        if not peer.last_heartbeat.draining and peer.last_heartbeat.bundle_sequence
    ]
    return [entry for entry in able if entry.is_live] or able


def preferred_owner(shard, placers):
    """Return the placer that should serve a shard, the same to all who look.

    Rendezvous hashing moves only the shards of a placer that came or went.
    Placers of the shard's own zone go before others.

    Parameters
    ----------
    shard : str
    placers : list of HostEntry

    Returns
    -------
    str or None
    """
    zone = zone_of(shard)
    near = [found for found in placers if found.zone == zone]
    if not near and placers:
        near = placers
    if not near:
        return None
    return max(near, key=lambda found: _score(shard, found.name)).name
