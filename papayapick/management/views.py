"""Read the state of a cell from the table, the live list and its processes."""

from papayapick.bundle.queries import read_head
from papayapick.clients import HostListUnavailable, TableUnavailable
from papayapick.ownership import read_shards

__all__ = ["CellView", "ShardView", "read_cell"]


class ShardView:
    """Hold the state of one shard according to the table and the processes.

    ``owner`` and ``epoch`` come from the table, ``served_by`` and ``served_epoch`` from
    the process that claims the highest epoch.
    """

    __slots__ = (
        "epoch",
        "free_slots",
        "name",
        "owner",
        "served_by",
        "served_epoch",
        "waiting",
    )

    def __init__(self, name, row=None):
        self.name = name
        self.owner = row.owner if row else None
        self.epoch = row.epoch if row else None
        self.served_by = ""
        self.served_epoch = 0
        self.free_slots = {}
        self.waiting = {}

    @property
    def is_served(self):
        """Return whether its owner serves it, or any process if no owner is known."""
        if not self.served_by:
            return False
        if self.owner is None:
            return True
        return (self.served_by, self.served_epoch) == (self.owner, self.epoch)

    def record_claim(self, host, summary):
        """Record a claim unless one with the same or a higher epoch is recorded."""
        if self.served_by and summary.epoch <= self.served_epoch:
            return
        self.served_by, self.served_epoch = host, summary.epoch
        self.free_slots = {one.service: one.free_slots for one in summary.loads or ()}
        self.waiting = {one.service: one.waiting for one in summary.loads or ()}

    def as_mapping(self):
        """Return its fields as a dict for JSON."""
        fields = {name: getattr(self, name) for name in self.__slots__}
        return {**fields, "shard": fields.pop("name"), "is_served": self.is_served}


class CellView:
    """Hold the state of a cell at one time.

    Parameters
    ----------
    head : Head or None
        None if the table does not answer.
    shards : dict of str to ShardView
    entries : list of HostEntry or None
        None if the live list does not answer.
    heartbeats : dict of str to Heartbeat or None
        By process; None for one that does not answer.
    """

    __slots__ = ("entries", "head", "heartbeats", "shards")

    def __init__(self, head, shards, entries, heartbeats):
        self.head = head
        self.shards = shards
        self.entries = entries
        self.heartbeats = heartbeats

    @property
    def answering(self):
        """Return the names of the processes that answered."""
        return sorted(name for name, heartbeat in self.heartbeats.items() if heartbeat)

    @property
    def silent(self):
        """Return the names of the processes that did not answer."""
        return sorted(
            name for name, heartbeat in self.heartbeats.items() if not heartbeat
        )

    @property
    def behind(self):
        """Return the names of the processes that answered and run another bundle."""
        if self.head is None:
            return []
        return [
            name
            for name in self.answering
            if self.heartbeats[name].bundle_sequence != self.head.sequence
        ]

    @property
    def unserved(self):
        """Return the names of the shards that no process serves."""
        return sorted(name for name, one in self.shards.items() if not one.is_served)

    @property
    def is_whole(self):
        """Return whether everything answers, is served and is up to date."""
        is_seen = self.head is not None and self.entries is not None
        return is_seen and not (self.silent or self.behind or self.unserved)


def read_cell(table, hosts, connect):
    """Read the state of a cell; parts that do not answer are None in it.

    Parameters
    ----------
    table : TableProtocol
    hosts : HostList
    connect : callable
        Takes the entries of the live list and returns OperatorPeers.

    Returns
    -------
    CellView
    """
    try:
        head, rows = read_head(table), read_shards(table)
    except TableUnavailable:
        head, rows = None, {}
    try:
        entries = hosts.fetch()
    except HostListUnavailable:
        entries = None
    with connect(entries or []) as peers:
        heartbeats = peers.heartbeats()
    shards = {name: ShardView(name, row) for name, row in rows.items()}
    for host, heartbeat in heartbeats.items():
        for owner, summary in _claims(host, heartbeat):
            shard = shards.setdefault(summary.shard, ShardView(summary.shard))
            shard.record_claim(owner, summary)
    return CellView(head, shards, entries, heartbeats)


def _claims(host, heartbeat):
    if heartbeat is None:
        return
    for summary in heartbeat.shards or ():
        yield host, summary
    # A process of another region sends a summary of all placers of its region.
    for placer in heartbeat.placers or ():
        for summary in placer.shards or ():
            yield placer.host, summary
