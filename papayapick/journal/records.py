"""Records of the journal and their stored form."""

__all__ = [
    "Accepted",
    "Cancelled",
    "Ended",
    "Record",
    "Started",
    "record_from_mapping",
]

CANCELLED = "work.cancelled"


class Record:
    """Base class of the records of a request.

    The ``__slots__`` of a subclass are the field names of its stored form.
    """

    __slots__ = ("request_id",)
    kind = ""

    def as_mapping(self):
        """Return the stored form, which contains only JSON values."""
        fields = {name: getattr(self, name) for name in self.__slots__}
        return {"kind": self.kind, "request_id": self.request_id, **fields}

    def __eq__(self, other):
        return type(self) is type(other) and self.as_mapping() == other.as_mapping()

    def __hash__(self):
        return hash((self.kind, self.request_id))


class Accepted(Record):
    """Record that a request was accepted.

    Parameters
    ----------
    request_id : str
    work : {"request", "job"}
    name : str
        Name of the service or kind of job.
    caller : str
    payload : str
        Base64 of a small payload; empty for a large one.
    payload_object : str
        Name of the object with a large payload; empty for a small one.
    payload_digest : str
    deadline : float
        Seconds since the epoch.
    repeatable : bool
    job : dict or None
        ``members``, ``demand`` and ``work`` of a job.
    """

    __slots__ = (
        "caller",
        "deadline",
        "job",
        "name",
        "payload",
        "payload_digest",
        "payload_object",
        "repeatable",
        "work",
    )
    kind = "accepted"

    def __init__(
        self,
        request_id,
        work,
        name,
        caller,
        payload,
        payload_object,
        payload_digest,
        deadline,
        repeatable,
        job=None,
    ):
        self.request_id = request_id
        self.work = work
        self.name = name
        self.caller = caller
        self.payload = payload
        self.payload_object = payload_object
        self.payload_digest = payload_digest
        self.deadline = deadline
        self.repeatable = repeatable
        self.job = job


class Started(Record):
    """Record that a request is about to be sent, before its first byte is sent.

    Parameters
    ----------
    request_id : str
    attempt : int
    places : list of dict
        ``host``, ``url`` and ``task`` of each place where the work may run.
    time : float
        Seconds since the epoch.
    """

    __slots__ = ("attempt", "places", "time")
    kind = "started"

    def __init__(self, request_id, attempt, places, time):
        self.request_id = request_id
        self.attempt = attempt
        self.places = places
        self.time = time


class Ended(Record):
    """Record the final outcome of a request.

    Parameters
    ----------
    request_id : str
    outcome : {"done", "failed", "unknown", "not_run"}
    status : int
        HTTP status of the backend server; 0 if it sent none.
    content_type : str
    result : str
        Base64 of a small result; empty for a large one.
    result_object : str
        Name of the object with a large result; empty for a small one.
    detail : str
        Code of the error that ended the request; empty if there was none.
    time : float
    """

    __slots__ = (
        "content_type",
        "detail",
        "outcome",
        "result",
        "result_object",
        "status",
        "time",
    )
    kind = "ended"

    def __init__(
        self,
        request_id,
        outcome,
        time,
        status=0,
        content_type="",
        result="",
        result_object="",
        detail="",
    ):
        self.request_id = request_id
        self.outcome = outcome
        self.time = time
        self.status = status
        self.content_type = content_type
        self.result = result
        self.result_object = result_object
        self.detail = detail


class Cancelled(Record):
    """Record that a request must not start; ignored if it has started already.

    Parameters
    ----------
    request_id : str
    time : float
    """

    __slots__ = ("time",)
    kind = "cancelled"

    def __init__(self, request_id, time):
        self.request_id = request_id
        self.time = time

    def as_ended(self):
        """Return the outcome of the request if it had not started."""
        return Ended(self.request_id, "not_run", self.time, detail=CANCELLED)


_KINDS = {kind.kind: kind for kind in (Accepted, Started, Ended, Cancelled)}


def record_from_mapping(mapping):
    """Read a record from its stored form.

    Examples
    --------
    >>> record_from_mapping(Started("r", 1, [], 0.0).as_mapping()).attempt
    1
    """
    fields = dict(mapping)
    return _KINDS[fields.pop("kind")](**fields)
