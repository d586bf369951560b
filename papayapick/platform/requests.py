"""Decode requests of callers and encode the answers to them."""

import json
import re

from papayapick.jobs.documents import JobDocument, Step
from papayapick.ledger.amounts import Amounts
from papayapick.platform.exceptions import BodyInvalid
from papayapick.platform.fields import optional_field, required_field

__all__ = ["decode_job", "encode_state", "encode_waiting", "is_identifier"]

_IDENTIFIER = re.compile(r"[0-9A-Fa-f]{16}")
_PAYLOAD_LIMIT_BYTES = 4000
# More than a whole cell runs at once. One job could exhaust the memory of the owner of
# its pool, which holds the state of each task, and that of each next owner.
_TASK_LIMIT = 100_000
# Twenty years of one an hour are fewer. Rounds count through those that are over.
_OCCURRENCE_LIMIT = 1_000_000
_STATES = {
    "waiting": "pending",
    "running": "running",
    "completed": "completed",
    "failed": "failed",
    "cancelled": "cancelled",
}


def is_identifier(text):
    """Return whether a string has the form of a job id.

    Examples
    --------
    >>> is_identifier("5c0e7a21d94b36f8"), is_identifier("5c0e")
    (True, False)
    """
    return _IDENTIFIER.fullmatch(text) is not None


def decode_job(identifier, queue, body, now, team=""):
    """Decode and validate the body of a submission.

    Parameters
    ----------
    identifier : str
    queue : Queue
    body : bytes
    now : float
        Time of acceptance, in Unix seconds.
    team : str, optional
        Team of the caller; empty if there is none.

    Returns
    -------
    JobDocument

    Raises
    ------
    BodyInvalid
    """
    document = _json(body)
    phases = required_field(document, "phases", list)
    steps = [_step(index, phase) for index, phase in enumerate(phases)]
    if not steps:
        raise BodyInvalid(reason="phases is empty")
    if sum(step.tasks for step in steps) > _TASK_LIMIT:
        raise BodyInvalid(reason=f"more than {_TASK_LIMIT} tasks")
    occurrences = _count(document, "times")
    if occurrences > _OCCURRENCE_LIMIT:
        raise BodyInvalid(reason=f"times is above {_OCCURRENCE_LIMIT}")
    return JobDocument(
        identifier=identifier,
        queue=queue.name,
        pool=queue.pool,
        payload=_payload(document),
        steps=steps,
        accepted_at=now,
        occurrences=occurrences,
        first_due=optional_field(document, "start_at_ms", float, 0) / 1000,
        interval_seconds=_seconds(document, "interval_ms"),
        policy=queue.policy_record(),
        team=team,
    )


def encode_state(status):
    """Return the body that reports the state of a job."""
    return json.dumps({"state": _STATES[status]}).encode()


def encode_waiting(count):
    """Return the body that reports how many jobs of a queue are waiting."""
    return json.dumps({"queued_jobs": count}).encode()


def _json(body):
    try:
        return json.loads(body)
    except (ValueError, RecursionError) as error:
        raise BodyInvalid(reason=str(error)) from error


def _payload(document):
    payload = required_field(document, "spec", str)
    try:
        size = len(payload.encode())
    except UnicodeEncodeError as error:
        raise BodyInvalid(reason=f"spec: {error}") from error
    if size > _PAYLOAD_LIMIT_BYTES:
        raise BodyInvalid(reason=f"spec has more than {_PAYLOAD_LIMIT_BYTES} bytes")
    return payload


def _step(index, phase):
    place = f"phases {index}"
    tasks = required_field(phase, "task_count", int, place)
    if tasks < 1:
        raise BodyInvalid(reason=f"{place}.task_count is below 1")

    def text(name):
        return optional_field(phase, name, str, "", place)

    def flag(name):
        return optional_field(phase, name, bool, False, place)

    def count(name):
        return _count(phase, name, place)

    return Step(
        tasks=tasks,
        demand=Amounts(count("cpu"), count("mem_mb"), count("gpu")),
        estimate_seconds=_seconds(phase, "estimate_ms", place),
        after=_earlier_steps(index, phase, place),
        is_gang=flag("gang"),
        is_rack_bound=flag("same_rack"),
        label=text("requires"),
        preferred_rack=text("data_rack"),
        tasks_per_worker=count("anti_affinity"),
        has_checkpoints=flag("checkpointing"),
        allows_copies=flag("speculative"),
        is_lasting=flag("long_running"),
        image=text("image"),
        tail_limit_seconds=_seconds(phase, "target_ms", place),
        is_filler=flag("fills"),
        unavailable_limit=count("may_miss"),
    )


def _earlier_steps(index, phase, place):
    numbers = optional_field(phase, "after", list, [], place)
    steps = [required_field({"after": one}, "after", int, place) for one in numbers]
    if not all(0 <= step < index for step in steps):
        raise BodyInvalid(reason=f"{place}.after names a step that isn't earlier")
    return steps


def _count(table, name, place=""):
    return _not_negative(optional_field(table, name, int, 0, place), name, place)


def _seconds(table, name, place=""):
    milliseconds = optional_field(table, name, float, 0.0, place)
    return _not_negative(milliseconds, name, place) / 1000


def _not_negative(number, name, place):
    if number < 0:
        raise BodyInvalid(reason=f"{place}.{name} is below 0".lstrip("."))
    return number
