"""Name the messages as plain classes."""

__all__ = [
    "Acknowledgement",
    "AdviceQuery",
    "AdviceReply",
    "BundleBody",
    "BundleQuery",
    "Handover",
    "Heartbeat",
    "Hello",
    "JobNews",
    "OwnerQuery",
    "Payload",
    "PlacerSummary",
    "PoolBeat",
    "PoolBeatAnswer",
    "QueueLoad",
    "Refusal",
    "Release",
    "ServiceLoad",
    "ShardSummary",
    "SlotGrant",
    "SlotRequest",
    "StoreCall",
    "StoreResult",
    "Submit",
    "Ticket",
    "WorkCancel",
    "WorkQuery",
    "WorkState",
]


class Payload:
    """Stand for the body of one message.

    The names in ``__slots__`` are the fields of the schema in snake case; a
    field that is not given keeps the schema's default.

    Examples
    --------
    >>> WorkQuery(shard="hobart-a.0", request_id="r1").request_id
    'r1'
    """

    __slots__ = ()

    def __init__(self, **fields):
        for name in self.__slots__:
            setattr(self, name, fields.pop(name, None))
        if fields:
            raise TypeError(sorted(fields))

    def __repr__(self):
        shown = ", ".join(f"{name}={getattr(self, name)!r}" for name in self.__slots__)
        return f"{type(self).__name__}({shown})"


class Hello(Payload):
    """Open a connection: who speaks, and a nonce for the session key."""

    __slots__ = ("host", "nonce", "region", "zone")


class ServiceLoad(Payload):
    """Tell the free slots and waiting requests of a service in a shard."""

    __slots__ = ("free_slots", "service", "waiting")


class ShardSummary(Payload):
    """Tell who serves a shard at which epoch, and its load."""

    __slots__ = ("epoch", "loads", "shard")


class PlacerSummary(Payload):
    """Tell what one live placer of a region serves."""

    __slots__ = ("draining", "host", "shards")


class Heartbeat(Payload):
    """Say that a process lives, what it owns and which bundle it runs.

    ``confirmed`` tells whether it has looked since its last pause. ``known`` is
    the version of the region summary that the asker has; a summary with that
    version comes without its ``placers``; its age is that of the oldest word in
    it. ``head_version`` and ``list_tag``
    are what the process has read of the bundle's head and the live list, so
    that others look only once they change.
    """

    __slots__ = (
        "bundle_digest",
        "bundle_sequence",
        "confirmed",
        "draining",
        "head_version",
        "host",
        "known",
        "list_tag",
        "placers",
        "shards",
        "summary_age_milliseconds",
        "summary_version",
    )


class SlotRequest(Payload):
    """Ask for a slot on an instance of a service."""

    __slots__ = (
        "avoid",
        "caller",
        "request_id",
        "run_milliseconds",
        "service",
        "shard",
        "wait_milliseconds",
    )


class SlotGrant(Payload):
    """Give a slot on one instance."""

    __slots__ = ("epoch", "grant_id", "instance", "shard", "url")


class Release(Payload):
    """Give a slot back with what became of the call."""

    __slots__ = ("epoch", "grant_id", "outcome", "run_microseconds", "shard")


class Submit(Payload):
    """Hand over work that must be durable."""

    __slots__ = (
        "caller",
        "deadline_milliseconds",
        "job",
        "kind",
        "name",
        "payload",
        "payload_digest",
        "request_id",
        "shard",
        "wait_milliseconds",
    )


class WorkQuery(Payload):
    """Ask for the state of durable work."""

    __slots__ = ("explain", "request_id", "shard")


class WorkCancel(Payload):
    """Ask that durable work be cancelled."""

    __slots__ = ("request_id", "shard")


class WorkState(Payload):
    """Tell the state of durable work and, when it is over, its result."""

    __slots__ = (
        "content_type",
        "detail",
        "outcome",
        "request_id",
        "result",
        "state",
        "status",
    )


class Refusal(Payload):
    """Refuse a message with a typed error."""

    __slots__ = ("code", "detail", "outcome", "retry_after_milliseconds")


class Acknowledgement(Payload):
    """Confirm a message that has no answer of its own."""

    __slots__ = ("bundle_sequence",)


class BundleQuery(Payload):
    """Ask for the signed envelope of a bundle."""

    __slots__ = ("digest",)


class BundleBody(Payload):
    """Give the signed envelope of a bundle."""

    __slots__ = ("envelope",)


class Handover(Payload):
    """Tell the next owner of a shard that it was released at an epoch."""

    __slots__ = ("epoch", "shard")


class JobNews(Payload):
    """Tell the status of one job."""

    __slots__ = ("identifier", "status")


class QueueLoad(Payload):
    """Tell how many jobs of a queue have not begun, and when it takes more."""

    __slots__ = ("queue", "retry_after_seconds", "waiting")


class PoolBeat(Payload):
    """Tell who owns a pool, and what has changed there.

    ``known_at_milliseconds`` is the time as of which the numbers of ``queue_loads`` are
    true, by the clock of the host that is told; 0 where they are not known to be.
    """

    __slots__ = (
        "epoch",
        "gives_way",
        "has_read_state",
        "host",
        "known_at_milliseconds",
        "may_lack_records",
        "news",
        "pool",
        "queue_loads",
    )


class PoolBeatAnswer(Payload):
    """Tell the newest epoch a host knows, and how old its word from the store is.

    ``clock_milliseconds`` is the monotonic time of the host that answers.
    """

    __slots__ = ("clock_milliseconds", "epoch", "store_age_milliseconds")


class AdviceQuery(Payload):
    """Ask a host to ask the advice service about a step."""

    __slots__ = ("expected_milliseconds", "step", "workers")


class Ticket(Payload):
    """Hold the ticket with which a worker may run a step."""

    __slots__ = ("ticket", "worker")


class AdviceReply(Payload):
    """Tell which workers may run a step."""

    __slots__ = ("tickets",)


class StoreCall(Payload):
    """Ask a host to call the store: a transaction, or a range of rows, as JSON."""

    __slots__ = ("expectations", "range", "writes")


class StoreResult(Payload):
    """Tell what became of a relayed call, with its rows or version as JSON."""

    __slots__ = ("body", "outcome")


class OwnerQuery(Payload):
    """Ask a host whether it owns a pool now; answered by ``PoolBeatAnswer``."""

    __slots__ = ("pool",)
