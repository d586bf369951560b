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
        Name of the worker; an instance belongs to the shard of its worker.
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
    """Return the placers that are eligible to own shards.

    A placer that is draining or has no bundle yet answers heartbeats but claims
    nothing. If it were the preferred owner, its shards would stay unserved. A
    placer that the host list marks as leaving is eligible only if no other
    placer answers, because the list may be wrong.

    Parameters
    ----------
    peers : list of Peer
        Placers that answer heartbeats.

    Returns
    -------
    list of HostEntry
    """
    eligible = [
        peer.entry
        for peer in peers
        if not peer.last_heartbeat.draining and peer.last_heartbeat.bundle_sequence
    ]
    return [entry for entry in eligible if entry.is_live] or eligible


def preferred_owner(shard, placers):
    """Return the placer that should serve a shard.

    All processes that know the same placers get the same result. Rendezvous
    hashing moves only the shards of a placer that is added or removed. Placers
    in the shard's own zone take precedence over others.

    Parameters
    ----------
    shard : str
    placers : list of HostEntry

    Returns
    -------
    str or None
    """
    zone = zone_of(shard)
    nearest = [placer for placer in placers if placer.zone == zone]
    if not nearest and placers:
        nearest = placers
    if not nearest:
        return None
    return max(nearest, key=lambda placer: _score(shard, placer.name)).name
