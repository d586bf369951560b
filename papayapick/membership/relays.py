"""Choose who exchanges heartbeats over the paid link between regions."""

import hashlib

from papayapick.wire.messages import PlacerSummary, ServiceLoad, ShardSummary

__all__ = ["contacts_far_placer", "relay_of", "summary_of"]

_VERSION_BYTES = 6


def relay_of(region, names):
    """Return the placer that speaks for a region, the same to all who look.

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
    """Return what a region tells others of its live placers, and its version.

    Loads are rounded up to powers of two: another region needs to know whether
    there is room, and each change that is told crosses the paid link. Rounded
    down, the first call at an idle shard of 64 slots would be told as 32 left.

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
    """Return whether this process asks a far placer itself.

    One placer of a region asks one placer of the other; both are found by
    rendezvous hashing, without an election. For a moment two processes may each
    hold themselves for the relay, which costs some bytes, or none does, which
    the allowed silence covers. Where no near placer answers, each process asks
    for itself; where no far one does, the relay asks all.

    Parameters
    ----------
    host, region : str
        Of this process.
    near : list of str
        Placers of this region that answered lately.
    far : list of str
        Placers of the other region that answer, as far as known.
    name : str
        The far placer.
    """
    if not near:
        return True
    if relay_of(region, near) != host:
        return False
    return not far or relay_of("", far) == name
