"""Decode what callers send and encode what they are answered."""

import json
import re

from papayapick.jobs.documents import JobDocument, Step
from papayapick.ledger.amounts import Amounts
from papayapick.platform.exceptions import BodyInvalid

__all__ = ["decode_job", "encode_state", "encode_waiting", "is_identifier"]

_IDENTIFIER = re.compile(r"[0-9a-f]{16}")
_PAYLOAD_LIMIT_BYTES = 4000
_STATES = {
    "waiting": "pending",
    "running": "running",
    "completed": "completed",
    "failed": "failed",
    "cancelled": "cancelled",
}


def is_identifier(text):
    """Return whether a text is the id of a job.

    Examples
    --------
    >>> is_identifier("5c0e7a21d94b36f8"), is_identifier("5c0e")
    (True, False)
    """
    return _IDENTIFIER.fullmatch(text) is not None


def decode_job(identifier, queue, body, now):
    """Check the body of a submission.

    Parameters
    ----------
    identifier : str
    queue : Queue
    body : bytes
    now : float
        Unix seconds of the acceptance.

    Returns
    -------
    JobDocument

    Raises
    ------
    BodyInvalid
    """
    try:
        found = json.loads(body)
        payload = found["spec"]
        steps = [_step(number, one) for number, one in enumerate(found["phases"])]
        if not isinstance(payload, str) or not steps:
            raise ValueError("a text and at least one step are needed")
        if len(payload.encode()) > _PAYLOAD_LIMIT_BYTES:
            raise ValueError("the text is too long")
        return JobDocument(
            identifier=identifier,
            queue=queue.name,
            pool=queue.pool,
            payload=payload,
            steps=steps,
            accepted_at=now,
            occurrences=found.get("times", 0),
            first_due=found.get("start_at_ms", 0) / 1000,
            interval_seconds=found.get("interval_ms", 0) / 1000,
            policy=queue.policy_record(),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise BodyInvalid(reason=str(error)) from error


def encode_state(status):
    """Return the body that tells the state of a job."""
    return json.dumps({"state": _STATES[status]}).encode()


def encode_waiting(count):
    """Return the body that tells how many jobs of a queue wait."""
    return json.dumps({"queued_jobs": count}).encode()


def _step(number, found):
    after = found.get("after", [])
    count = found["task_count"]
    if not isinstance(count, int) or count < 1:
        raise ValueError("a step needs a task")
    if any(not isinstance(one, int) or not 0 <= one < number for one in after):
        raise ValueError("a step follows only earlier ones")
    return Step(
        tasks=count,
        demand=Amounts(
            found.get("cpu", 0), found.get("mem_mb", 0), found.get("gpu", 0)
        ),
        estimate_seconds=found.get("estimate_ms", 0) / 1000,
        after=after,
        is_gang=bool(found.get("gang")),
        is_rack_bound=bool(found.get("same_rack")),
        label=found.get("requires", ""),
        preferred_rack=found.get("data_rack", ""),
        tasks_per_worker=found.get("anti_affinity", 0),
        has_checkpoints=bool(found.get("checkpointing")),
        allows_copies=bool(found.get("speculative")),
        is_lasting=bool(found.get("long_running")),
        image=found.get("image", ""),
        tail_limit_seconds=found.get("target_ms", 0) / 1000,
        is_filler=bool(found.get("fills")),
        unavailable_limit=found.get("may_miss", 0),
    )
