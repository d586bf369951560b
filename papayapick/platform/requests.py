"""Decode requests of callers and encode the answers to them."""

import json
import re

from papayapick.jobs.documents import JobDocument, Step
from papayapick.ledger.amounts import Amounts
from papayapick.platform.exceptions import BodyInvalid

__all__ = ["decode_job", "encode_state", "encode_waiting", "is_identifier"]

_IDENTIFIER = re.compile(r"[0-9A-Fa-f]{16}")
_PAYLOAD_LIMIT_BYTES = 4000
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
    try:
        document = json.loads(body)
        payload = document["spec"]
        steps = [_step(index, phase) for index, phase in enumerate(document["phases"])]
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
            occurrences=document.get("times", 0),
            first_due=document.get("start_at_ms", 0) / 1000,
            interval_seconds=document.get("interval_ms", 0) / 1000,
            policy=queue.policy_record(),
            team=team,
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise BodyInvalid(reason=str(error)) from error


def encode_state(status):
    """Return the body that reports the state of a job."""
    return json.dumps({"state": _STATES[status]}).encode()


def encode_waiting(count):
    """Return the body that reports how many jobs of a queue are waiting."""
    return json.dumps({"queued_jobs": count}).encode()


def _step(index, phase):
    after = phase.get("after", [])
    count = phase["task_count"]
    if not isinstance(count, int) or count < 1:
        raise ValueError("a step needs a task")
    if any(not isinstance(other, int) or not 0 <= other < index for other in after):
        raise ValueError("a step follows only earlier ones")
    return Step(
        tasks=count,
        demand=Amounts(
            phase.get("cpu", 0), phase.get("mem_mb", 0), phase.get("gpu", 0)
        ),
        estimate_seconds=phase.get("estimate_ms", 0) / 1000,
        after=after,
        is_gang=bool(phase.get("gang")),
        is_rack_bound=bool(phase.get("same_rack")),
        label=phase.get("requires", ""),
        preferred_rack=phase.get("data_rack", ""),
        tasks_per_worker=phase.get("anti_affinity", 0),
        has_checkpoints=bool(phase.get("checkpointing")),
        allows_copies=bool(phase.get("speculative")),
        is_lasting=bool(phase.get("long_running")),
        image=phase.get("image", ""),
        tail_limit_seconds=phase.get("target_ms", 0) / 1000,
        is_filler=bool(phase.get("fills")),
        unavailable_limit=phase.get("may_miss", 0),
    )
