"""Reject topology changes that would move keys or hosts to other shards."""

from papayapick.bundle.exceptions import TopologyMoved

__all__ = ["check_topology_unchanged"]


def check_topology_unchanged(old, new):
    """Check that a bundle can replace another without moving keys or hosts.

    An idempotency key maps to a shard of the store's region by number, and a
    worker to a shard of its zone. If the number of shards or these zones changed
    in a live cell, a repeated request would reach a shard whose journal does not
    have its key, and work that is not repeatable would run twice. For some
    seconds, two placers would also both manage the same worker, at epochs that
    don't fence each other. Zones of other regions have no journal and may be
    added and removed.

    Parameters
    ----------
    old, new : Bundle

    Raises
    ------
    TopologyMoved
        The error names the first part that differs.
    """
    for part, value_of in (
        ("shards_per_zone", lambda bundle: bundle.shards_per_zone),
        ("store_region", lambda bundle: bundle.store_region),
        ("zones of the store's region", _store_zones),
    ):
        if value_of(old) != value_of(new):
            raise TopologyMoved(part=part, before=value_of(old), after=value_of(new))


def _store_zones(bundle):
    # The order matters: it numbers the shards that keys map to.
    zones = bundle.zones().items()
    return [zone for zone, region in zones if region == bundle.store_region]
