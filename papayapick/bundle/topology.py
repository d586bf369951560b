"""Refuse topologies that would move what a cell has journaled or placed."""

from papayapick.bundle.exceptions import TopologyMoved

__all__ = ["check_topology_kept"]


def check_topology_kept(old, new):
    """Check that a bundle can replace another without moving keys or hosts.

    An idempotency key maps to a shard of the store's region by number, and a
    worker to a shard of its zone. Were the count of shards or those zones
    changed on a live cell, the same key would reach a shard whose journal does
    not know it, and work not to be repeated would run twice; for some seconds
    two placers would each take a worker for theirs, at epochs that don't fence
    each other. Zones of other regions journal nothing and may come and go.

    Parameters
    ----------
    old, new : Bundle

    Raises
    ------
    TopologyMoved
        Names the first part that would move.
    """
    for part, found in (
        ("shards_per_zone", lambda bundle: bundle.shards_per_zone),
        ("store_region", lambda bundle: bundle.store_region),
        ("zones of the store's region", _store_zones),
    ):
        if found(old) != found(new):
            raise TopologyMoved(part=part, before=found(old), after=found(new))


def _store_zones(bundle):
    # Their order counts: it numbers the shards that keys map to.
    zones = bundle.zones().items()
    return [zone for zone, region in zones if region == bundle.store_region]
