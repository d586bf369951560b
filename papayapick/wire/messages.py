"""Define the messages of ``messages.capnp`` as plain classes."""

__all__ = [
    "Acknowledgement",
    "AdviceQuery",
    "AdviceReply",
    "BundleBody",
    "BundleQuery",
    "ConfigurationQuery",
    "ConfigurationReply",
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
    "QueueOutlook",
    "Refusal",
    "Release",
    "ServiceLoad",
    "ShardSummary",
    "SlotGrant",
    "SlotRequest",
    "StateBatch",
    "StateBatchAnswer",
    "StoreCall",
    "StoreResult",
    "Submit",
    "TeamBeyondRate",
    "Ticket",
    "WorkCancel",
    "WorkQuery",
    "WorkState",
]


class Payload:
    """Represent the body of one message.

    The names in ``__slots__`` are the fields of the schema in snake case. A field that
    is not given is sent with the schema's default.

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
    """Open a connection: identity of the sender and a nonce for the session keys."""

    __slots__ = ("host", "nonce", "region", "zone")


class ServiceLoad(Payload):
    """Report the free slots and waiting requests of a service in a shard."""

    __slots__ = ("free_slots", "service", "waiting")


class ShardSummary(Payload):
    """Report a shard that a placer serves, with its epoch and load."""

    __slots__ = ("epoch", "loads", "shard")


class PlacerSummary(Payload):
    """Report the shards that one live placer of a region serves."""

    __slots__ = ("draining", "host", "shards")


class Heartbeat(Payload):
    """Report that a process is alive, what it owns and which bundle it runs.

    ``confirmed`` says whether the process has checked its bundle since its last pause.
    ``known`` is the version of the region summary that the sender has. An answer with
    the same ``summary_version`` leaves out its ``placers``; the age of a summary is
    that of its oldest report. ``head_version`` and ``list_tag`` identify the bundle
    head and the live list that the process has read, so that others read them only
    after a change.
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
    """Request a slot on an instance of a service."""

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
    """Grant a slot on one instance."""

    __slots__ = ("epoch", "grant_id", "instance", "shard", "url")


class Release(Payload):
    """Release a slot and report the outcome of the call."""

    __slots__ = ("epoch", "grant_id", "outcome", "run_microseconds", "shard")


class Submit(Payload):
    """Submit work that must be journaled before it is acknowledged."""

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
    """Request the state of durable work."""

    __slots__ = ("explain", "request_id", "shard")


class WorkCancel(Payload):
    """Request the cancellation of durable work."""

    __slots__ = ("request_id", "shard")


class WorkState(Payload):
    """Report the state of durable work and, once it has ended, its result."""

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
    """Refuse a message with the code of an error."""

    __slots__ = ("code", "detail", "outcome", "retry_after_milliseconds")


class Acknowledgement(Payload):
    """Acknowledge a message whose answer carries no other data."""

    __slots__ = ("bundle_sequence",)


class BundleQuery(Payload):
    """Request the signed envelope of a bundle."""

    __slots__ = ("digest",)


class BundleBody(Payload):
    """Carry the signed envelope of a bundle."""

    __slots__ = ("envelope",)


class Handover(Payload):
    """Notify the next owner of a shard that it was released at an epoch."""

    __slots__ = ("epoch", "shard")


class JobNews(Payload):
    """Report the status of one job, and its team, which is empty if it has none."""

    __slots__ = ("identifier", "status", "team")


class QueueLoad(Payload):
    """Report how many jobs of a queue have not begun and when it accepts more."""

    __slots__ = ("queue", "retry_after_seconds", "waiting")


class QueueOutlook(Payload):
    """Forecast when work of a queue that comes now would begin, after the count.

    Negative times are those that the room lasts.
    """

    __slots__ = (
        "earliest_milliseconds",
        "latest_milliseconds",
        "patience_milliseconds",
        "patient_earliest_milliseconds",
        "queue",
        "surplus_earliest_milliseconds",
        "surplus_latest_milliseconds",
        "surplus_patient_earliest_milliseconds",
    )


class TeamBeyondRate(Payload):
    """Name a team beyond its rate, and when jobs are owed to it again."""

    __slots__ = ("owed_again_milliseconds", "team")


class PoolBeat(Payload):
    """Report the owner of a pool and the changes of its jobs and queues.

    ``known_at_milliseconds`` is the time at which the numbers of ``queue_loads`` were
    valid, on the monotonic clock of the receiving host, or 0 if it is unknown.
    ``outlook_known_at_milliseconds`` is that of the forecast, which was made at
    ``counted_at_milliseconds``, on the same clock.
    """

    __slots__ = (
        "counted_at_milliseconds",
        "epoch",
        "gives_way",
        "has_read_state",
        "host",
        "known_at_milliseconds",
        "may_lack_records",
        "news",
        "outlook_known_at_milliseconds",
        "outlook_millicores",
        "pool",
        "queue_loads",
        "queue_outlooks",
        "teams_beyond_rate",
    )


class PoolBeatAnswer(Payload):
    """Report the newest epoch that a host knows and the age of its data from the store.

    ``clock_milliseconds`` is the monotonic time of the host that answers.
    """

    __slots__ = ("clock_milliseconds", "epoch", "store_age_milliseconds")


class StateBatch(Payload):
    """Report the changed jobs of a pool, to be passed on to the named hosts."""

    __slots__ = ("epoch", "hosts", "news", "pool")


class StateBatchAnswer(Payload):
    """Name the hosts to which a batch of job states could not be passed on."""

    __slots__ = ("missed",)


class AdviceQuery(Payload):
    """Ask a host to call the advice service for a step."""

    __slots__ = ("expected_milliseconds", "step", "workers")


class Ticket(Payload):
    """Carry the ticket that allows a worker to run a step."""

    __slots__ = ("ticket", "worker")


class AdviceReply(Payload):
    """Carry the tickets of the workers that may run a step."""

    __slots__ = ("tickets",)


class StoreCall(Payload):
    """Ask a host to call the store: a transaction, or a read of rows, as JSON."""

    __slots__ = ("expectations", "range", "writes")


class StoreResult(Payload):
    """Report the outcome of a relayed store call, with its rows or version as JSON."""

    __slots__ = ("body", "outcome")


class OwnerQuery(Payload):
    """Ask a host whether it owns a pool; answered with ``PoolBeatAnswer``."""

    __slots__ = ("pool",)


class ConfigurationQuery(Payload):
    """Request the operator's rows that have changed since a version of the store."""

    __slots__ = ("known_version",)


class ConfigurationReply(Payload):
    """Report the changed rows, and the version up to which the sender has them all.

    ``rows`` is empty if the sender knows of no change. ``is_current`` says whether the
    store answers the sender.
    """

    __slots__ = ("is_current", "rows", "version")
