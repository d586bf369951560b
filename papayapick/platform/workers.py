"""Client of workers: start, stop and pace runs, renew leases, read ended runs."""

import json

from papayapick.clients.exceptions import AnswerInvalid, AnswerMissing, NotSent
from papayapick.jobs.documents import TaskKey
from papayapick.numbers import finite_number, whole_number
from papayapick.platform.exceptions import CallFailed, WorkerSilent
from papayapick.platform.registrations import WRONG_SHAPE, born_of, text_of
from papayapick.pool.workers.reports import (
    EndReport,
    RunReport,
    StartOutcome,
    WorkerReport,
)

__all__ = ["WorkerClient"]

# An order is answered within 3 ms, or 50 ms across the link between regions. After this
# time it counts as unanswered: the run is stopped and the task is placed elsewhere.
_ORDER_SECONDS = 0.35
_POLL_SLACK_SECONDS = 0.8
# While a call waits for the end of a run, no other report of its worker arrives, so a
# lost call is given up soon after its wait. With one lost renewal in thirty, the longer
# slack above delayed the detection of ended steps by up to 1.6 s.
_LONG_POLL_SLACK_SECONDS = 0.35
# Maximum number of ended runs that a worker lists in one answer.
_ENDS_PER_ANSWER = 500
_REASONS = {
    "fence": StartOutcome.FENCED,
    "old": StartOutcome.OUTDATED,
    "late": StartOutcome.EXPIRED,
    "room": StartOutcome.NO_ROOM,
    "ticket": StartOutcome.TICKET_INVALID,
}


class WorkerClient:
    """Call one worker.

    Parameters
    ----------
    worker, address : str
    pool : HttpPool
    allowance : IdleAllowance, optional
        By default all idle connections are kept.
    """

    __slots__ = ("_address", "_allowance", "_base", "_headers", "_pool", "_worker")

    def __init__(self, worker, address, pool, allowance=None):
        self._worker = worker
        # Of its connections, without the path.
        self._address = address.partition("/")[0]
        self._base = "http://" + address
        self._pool = pool
        self._allowance = allowance
        # Another incarnation of the worker at the same address refuses the call.
        self._headers = {
            "Content-Type": "application/json",
            "X-Expect-Instance": worker,
        }

    @property
    def is_refused(self):
        """Return whether the worker has refused the last new connection to it."""
        return self._pool.connections.is_refused(self._address)

    def start(self, run, payload, lease_end, epoch, checkpoint="", ticket=""):
        """Order the start of a task.

        Parameters
        ----------
        run : Run
        payload : str
        lease_end : float
            Time on the worker's clock, in seconds.
        epoch : int
            Fencing token of the pool's owner.
        checkpoint, ticket : str
            Empty for none.

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
        """Stop a run; a start order for it that arrives later is refused.

        Raises
        ------
        WorkerSilent, CallFailed
        """
        body = {"task": _task(key), "attempt": attempt, "fencing_token": epoch}
        self._checked("/run-stop", body)

    def pace(self, key, attempt, percent, epoch):
        """Limit a run to a percentage of its processors.

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

    def renew(
        self, epoch, acknowledged, lease_end=None, wait_seconds=0.0, is_look=False
    ):
        """Renew the leases of the worker's runs and return its report.

        Parameters
        ----------
        epoch : int
        acknowledged : int
            Number of the last ended run that has been recorded durably; the worker then
            removes the runs up to it from its list.
        lease_end : float, optional
            Time on the worker's clock, in seconds.
        wait_seconds : float
            How long the worker may delay its answer until a run ends.
        is_look : bool
            Whether the call is beside the polls, so that no other one follows it.

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
        slack = _LONG_POLL_SLACK_SECONDS if wait_seconds else _POLL_SLACK_SECONDS
        # The worker's next process may carry out a call that got no answer: repeated,
        # an acknowledgement would make it forget ends that nobody has read.
        answer = self._checked(
            "/hold",
            body,
            wait_seconds + slack,
            is_poll=not is_look,
            is_repeatable=not acknowledged,
        )
        try:
            return _report(_json(answer))
        except WRONG_SHAPE as error:
            # An invalid answer is handled like a missing one: any other error would end
            # the loop that polls this worker.
            raise WorkerSilent(worker=self._worker) from error

    def _checked(self, path, body, seconds=_ORDER_SECONDS, **options):
        try:
            answer = self._post(path, body, seconds, **options)
        except (NotSent, AnswerMissing, AnswerInvalid) as error:
            raise WorkerSilent(worker=self._worker) from error
        if answer.status != 200:
            raise CallFailed(
                address=self._worker, status=answer.status, body=answer.body[:80]
            )
        return answer

    def _post(self, path, body, seconds, is_poll=False, is_repeatable=False):
        data = json.dumps(body, separators=(",", ":")).encode()
        return self._pool.request(
            "POST",
            self._base + path,
            data,
            self._headers,
            timeout=seconds,
            is_repeatable=is_repeatable,
            keep_idle=self._idle_limit(is_poll),
        )

    def _idle_limit(self, is_poll):
        if self._allowance is None:
            return None
        return self._allowance.after_poll if is_poll else self._allowance.after_order


def _report(body):
    ends = [_end(row) for row in body.get("finished", ())]
    return WorkerReport(
        clock=finite_number(body["clock_ms"]) / 1000,
        born=born_of(body),
        runs=[_run(row) for row in body.get("running", ())],
        ends=ends,
        has_more_ends=len(ends) >= _ENDS_PER_ANSWER,
    )


def _run(row):
    # The fifth entry is the tail latency in milliseconds for a task that serves, and
    # the processors in use, in thousandths, for any other. It may still be missing.
    measurement = row[4] if len(row) > 4 else None
    return RunReport(
        _task_key(row[0]),
        whole_number(row[1]),
        text_of(row[2]),
        _number(row[3]),
        None if measurement is None else _number(measurement),
    )


def _number(value):
    """Return a number as it came, once it is known to be finite."""
    finite_number(value)
    return value


def _end(row):
    return EndReport(
        whole_number(row[0]),
        _task_key(row[1]),
        whole_number(row[2]),
        text_of(row[3]),
        text_of(row[4]),
    )


def _task(key):
    return f"{key.job}.{key.occurrence}.{key.step}.{key.index}"


def _task_key(text):
    job, occurrence, step, index = text.rsplit(".", 3)
    return TaskKey(job, int(occurrence), int(step), int(index))


def _reason(answer):
    """Return the reason of a refusal, or an empty string if there is no valid one."""
    body = _json(answer)
    reason = body.get("reason") if isinstance(body, dict) else None
    return reason if isinstance(reason, str) else ""


def _json(answer):
    try:
        return json.loads(answer.body)
    except (ValueError, RecursionError):
        return {}
