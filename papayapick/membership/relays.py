"""Select the relays that exchange heartbeats across the paid link of regions."""

import hashlib

from papayapick.wire.messages import PlacerSummary, ServiceLoad, ShardSummary

__all__ = ["contacts_far_placer", "relay_of", "summary_of"]

_VERSION_BYTES = 6


def relay_of(region, names):
    """Return the placer that relays heartbeats for a region.

    All processes that know the same placers get the same result.

    Parameters
    ----------
    region : str
    names : iterable of str
        Live placers of the region.

    Returns
    -------
    str or None

    Examples
    --------
    >>> relay_of("north", ["a", "b"]) == relay_of("north", ["b", "a"])
    True
    >>> relay_of("north", []) is None
    True
    """

    def score(name):
        return hashlib.blake2b(f"{region}|{name}".encode(), digest_size=8).digest()

    return max(names, key=score, default=None)


def summary_of(peers):
    """Return the summary of a region's live placers, and its version.

    Loads are rounded up to powers of two: another region needs only an estimate
    of the free room, and each reported change crosses the paid link. Rounding
    down would report 32 free slots after the first call to an idle shard with
    64 slots.

    Parameters
    ----------
    peers : list of Peer

    Returns
    -------
    version : int
        Equal for equal summaries, never 0.
    placers : list of PlacerSummary
    """
    placers = [
        PlacerSummary(
            host=peer.name,
            draining=bool(peer.last_heartbeat.draining),
            shards=[_rounded(shard) for shard in peer.last_heartbeat.shards or ()],
        )
        for peer in sorted(peers, key=lambda peer: peer.name)
    ]
    digest = hashlib.blake2b(repr(placers).encode(), digest_size=_VERSION_BYTES)
    return int.from_bytes(digest.digest(), "big") | 1, placers


def _rounded(shard):
    loads = [
        ServiceLoad(
            service=load.service,
            free_slots=_power_of_two(load.free_slots),
            waiting=_power_of_two(load.waiting),
        )
        for load in shard.loads or ()
    ]
    return ShardSummary(shard=shard.shard, epoch=shard.epoch, loads=loads)


def _power_of_two(count):
    return 1 << (count - 1).bit_length() if count else 0


def contacts_far_placer(host, region, near, far, name):
    """Return whether this process exchanges heartbeats with a far placer directly.

    One placer of each region, its relay, contacts one placer of the other region.
    Both are selected by rendezvous hashing, without an election. Briefly, two
    processes may both consider themselves the relay, which costs some traffic,
    or none may, which the allowed silence covers. If no placer of this region
    answers, each process contacts the far placers itself; if no far placer
    answers, the relay contacts all of them.

    Parameters
    ----------
    host, region : str
        Name and region of this process.
    near : list of str
        Placers of this region that answered recently.
    far : list of str
        Placers of the other region that are known to answer.
    name : str
        Name of the far placer.
    """
    if not near:
        return True
    if relay_of(region, near) != host:
        return False
    return not far or relay_of("", far) == name
