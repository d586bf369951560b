"""Call workers: start, stop and pace tasks, renew leases, read ends."""

import json
import re

from papayapick.clients.exceptions import AnswerInvalid, AnswerMissing, NotSent
from papayapick.jobs.documents import TaskKey
from papayapick.ledger.amounts import Amounts
from papayapick.platform.exceptions import CallFailed, WorkerSilent
from papayapick.pool.reports import (
    EndReport,
    Registration,
    RunReport,
    StartOutcome,
    WorkerReport,
)

__all__ = ["WORKERS_TABLE", "WorkerClient", "decode_registration"]

WORKERS_TABLE = "servers"
# IP and port; a path may follow.
_ADDRESS = re.compile(r"[0-9A-Za-z.-]+:[0-9]{1,5}(/\S*)?")
# An order is answered in 3 ms, or 50 across the link between regions. Past this it
# counts as unanswered: it is stopped, and the task is placed elsewhere.
_ORDER_SECONDS = 0.35
_LOOK_SLACK_SECONDS = 0.8
# A call that waits for an end holds up all that its worker has to tell. One that gets
# no answer is given up this long after its wait: while one renewal in thirty had none,
# the ends of steps were seen up to 1.6 s late with the time above.
_WAIT_SLACK_SECONDS = 0.35
# A worker lists at most so many ends at a time.
_ENDS_PER_ANSWER = 500
_REASONS = {
    "fence": StartOutcome.FENCED,
    "old": StartOutcome.OUTDATED,
    "late": StartOutcome.EXPIRED,
    "room": StartOutcome.NO_ROOM,
    "ticket": StartOutcome.TICKET_INVALID,
}


def decode_registration(key, found):
    """Return what a worker has registered of itself, or None where unusable.

    Parameters
    ----------
    key : str
        Id of the worker.
    found : dict or None

    Returns
    -------
    Registration or None
        None for an entry of another writer: fields missing or of another type.
    """
    try:
        room = found["capacity"]
        state = found["state"]
        if state not in ("ready", "draining"):
            return None
        labels = found.get("labels", [])
        return Registration(
            worker=key,
            pool=_text(found["service"]),
            address=_address(found["address"]),
            zone=_text(found["zone"]),
            capacity=Amounts(
                int(room["cpu"]), int(room["mem_mb"]), int(room.get("gpu", 0))
            ),
            labels=tuple(_text(label) for label in labels),
            is_leaving=state == "draining",
            leaves_in=found.get("remaining_ms", 0) / 1000,
            born=found.get("born"),
        )
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError):
        return None


class WorkerClient:
    """Call one worker.

    Parameters
    ----------
    worker, address : str
    pool : HttpPool
    """

    __slots__ = ("_base", "_headers", "_pool", "_worker")

    def __init__(self, worker, address, pool):
        self._worker = worker
        self._base = "http://" + address
        self._pool = pool
        # A worker of another life at the same address refuses the call.
        self._headers = {
            "Content-Type": "application/json",
            "X-Expect-Instance": worker,
        }

    def start(self, run, payload, lease_end, epoch, checkpoint="", ticket=""):
        """Order the start of a task.

        Parameters
        ----------
        run : Run
        payload : str
        lease_end : float
            Seconds on the worker's clock.
        epoch : int
        checkpoint, ticket : str

        Returns
        -------
        StartOutcome
        """
        body = {
            "task": _task(run.key),
            "attempt": run.attempt,
            "spec": payload,
            "expires_ms": int(lease_end * 1000),
            "fencing_token": epoch,
        }
        if checkpoint:
            body["checkpointed"] = checkpoint
        if ticket:
            body["ticket"] = ticket
        try:
            answer = self._post("/run-start", body, _ORDER_SECONDS)
        except NotSent:
            return StartOutcome.NOT_SENT
        except (AnswerMissing, AnswerInvalid):
            return StartOutcome.UNKNOWN
        if answer.status == 200:
            return StartOutcome.STARTED
        if answer.status == 409:
            return _REASONS.get(_reason(answer), StartOutcome.REFUSED)
        return StartOutcome.REFUSED

    def stop(self, key, attempt, epoch):
        """Order a run to stop; it can't start any more either.

        Raises
        ------
        WorkerSilent, CallFailed
        """
        body = {"task": _task(key), "attempt": attempt, "fencing_token": epoch}
        self._checked("/run-stop", body)

    def pace(self, key, attempt, percent, epoch):
        """Let a run work at a share of its processors.

        Raises
        ------
        WorkerSilent, CallFailed
        """
        body = {
            "task": _task(key),
            "attempt": attempt,
            "percent": percent,
            "fencing_token": epoch,
        }
        self._checked("/pace", body)

    def renew(self, epoch, acknowledged, lease_end=None, wait_seconds=0.0):
        """Renew the lease of all that runs, forget ends, and read both lists.

        Parameters
        ----------
        epoch : int
        acknowledged : int
            Number of the last end whose record is durable.
        lease_end : float, optional
            Seconds on the worker's clock.
        wait_seconds : float
            The answer waits so long for an end.

        Returns
        -------
        WorkerReport

        Raises
        ------
        WorkerSilent, CallFailed
        """
        body = {"fencing_token": epoch, "ack_cursor": acknowledged}
        if lease_end is not None:
            body["expires_ms"] = int(lease_end * 1000)
        if wait_seconds:
            body["wait_ms"] = int(wait_seconds * 1000)
        slack = _WAIT_SLACK_SECONDS if wait_seconds else _LOOK_SLACK_SECONDS
        answer = self._checked("/hold", body, wait_seconds + slack)
        try:
            return _report(_json(answer))
        except (KeyError, TypeError, ValueError, IndexError) as error:
            # A worker that answers nonsense is as good as silent; it must not end
            # the task that keeps in touch with it.
            raise WorkerSilent(worker=self._worker) from error

    def _checked(self, path, body, seconds=_ORDER_SECONDS):
        try:
            answer = self._post(path, body, seconds)
        except (NotSent, AnswerMissing, AnswerInvalid) as error:
            raise WorkerSilent(worker=self._worker) from error
        if answer.status != 200:
            raise CallFailed(
                address=self._worker, status=answer.status, body=answer.body[:80]
            )
        return answer

    def _post(self, path, body, seconds):
        data = json.dumps(body, separators=(",", ":")).encode()
        return self._pool.request(
            "POST", self._base + path, data, self._headers, timeout=seconds
        )


def _report(found):
    ends = [_end(row) for row in found.get("finished", ())]
    return WorkerReport(
        clock=found["clock_ms"] / 1000,
        born=found.get("born"),
        runs=[_run(row) for row in found.get("running", ())],
        ends=ends,
        has_more_ends=len(ends) >= _ENDS_PER_ANSWER,
    )


def _run(row):
    key = _task_key(row[0])
    # The fifth entry is the tail in milliseconds for a task that serves, and
    # the processors in use, in thousandths, for any other. A worker may have none yet.
    measurement = row[4] if len(row) > 4 else None
    return RunReport(key, row[1], row[2], row[3], measurement)


def _end(row):
    return EndReport(row[0], _task_key(row[1]), row[2], row[3], row[4])


def _task(key):
    return f"{key.job}.{key.occurrence}.{key.step}.{key.index}"


def _task_key(text):
    job, occurrence, step, index = text.rsplit(".", 3)
    return TaskKey(job, int(occurrence), int(step), int(index))


def _reason(answer):
    """Return the reason of a refusal; empty where there is none that can be read."""
    found = _json(answer)
    reason = found.get("reason") if isinstance(found, dict) else None
    return reason if isinstance(reason, str) else ""


def _json(answer):
    try:
        return json.loads(answer.body)
    except ValueError:
        return {}


def _address(found):
    if not _ADDRESS.fullmatch(_text(found)):
        raise ValueError("not an address")
    return found


def _text(found):
    if not isinstance(found, str):
        raise TypeError("not a text")
    return found
