"""Events about workers, the orders that they get and the runs that they list."""

import logging

from papayapick.observability.events import Event

__all__ = [
    "CONNECTION_REFUSED",
    "MACHINES_DISTRUSTED",
    "MACHINES_UNREAD",
    "ORDERS_HELD_UP",
    "ORDERS_REFUSED",
    "ORDER_FAILED",
    "PACE_NOT_SET",
    "PACE_SET",
    "POLL_FAILED",
    "RECORDED_WORKER_LEFT_OUT",
    "RENEWAL_REFUSED",
    "REPORT_DELAYED",
    "REPORT_DROPPED",
    "RUNS_KEPT",
    "RUNS_LOST",
    "JOB_NOT_READ",
    "RUN_FOUND",
    "RUN_NEVER_STARTED",
    "RUN_VANISHED",
    "START_FOUND",
    "START_REFUSED",
    "START_UNANSWERED",
    "STOP_REFUSED",
    "WORKER_BACK",
    "WORKER_CHANGED",
    "WORKER_FENCED",
    "WORKER_GONE",
    "WORKER_MOVED",
    "WORKER_LEFT_OUT",
    "WORKER_SILENT",
    "WORKER_UNSEEN",
]

_RUN = "request_id step task attempt worker"

CONNECTION_REFUSED = Event(
    "worker connection refused",
    "address is_open error",
    "A worker reset a new connection in place of its first answer, as it does when it "
    "has as many as it accepts, or when it crashes. Number of other connections that "
    "this host has open to it.",
    level=logging.WARNING,
    per_second=10,
)
ORDERS_HELD_UP = Event(
    "orders held up",
    "pool starts stops",
    "Numbers of starts that wait for a thread, and of stops that wait for a thread or "
    "an answer; nothing is placed until some of them were sent.",
    level=logging.WARNING,
    per_second=2,
)
ORDERS_REFUSED = Event(
    "orders refused",
    "worker",
    "A worker answers polls, but has no connection for orders; nothing is placed there "
    "until one gets through, or for a second.",
    level=logging.WARNING,
    per_second=5,
)
ORDER_FAILED = Event(
    "order failed",
    "worker",
    "An unexpected exception while an order was sent or its answer was read. A start "
    "counts as unanswered.",
    level=logging.ERROR,
    per_second=2,
)
START_REFUSED = Event(
    "start refused",
    _RUN + " reason room_processors room_memory",
    "A worker refused to start a task, or the order was not sent.",
)
START_UNANSWERED = Event(
    "start unanswered",
    _RUN + " lapse_in_seconds",
    "The task may be running or start later; it is stopped, and placed again only once "
    "it can no longer run.",
)
START_FOUND = Event(
    "late start found", _RUN, "An unanswered start was executed after all."
)
STOP_REFUSED = Event(
    "stop refused", "worker status", "A worker answered a stop with an error."
)
PACE_SET = Event(
    "pace set",
    _RUN + " percent percent_before",
    "A filler task's share of its processors was changed.",
)
PACE_NOT_SET = Event(
    "pace not set", "worker error", "A worker did not apply a change of pace."
)
JOB_NOT_READ = Event(
    "job not read yet",
    _RUN + " is_end epoch",
    "A worker lists a run, or the end of one, of a job that this owner has not read. "
    "It is kept until the job, or all jobs stored by then, are read. The end of a job "
    "that can't be read is kept until the worker's list of ends is full.",
    per_second=50,
)
RUN_FOUND = Event(
    "run found",
    _RUN + " is_needed reason percent",
    "A worker lists a run that this owner does not track: an earlier owner started it, "
    "or its order arrived late. A run that is not needed is stopped; reasons: "
    "unknown-job, job-over, task-done-or-elsewhere.",
    per_second=200,
)
RUN_VANISHED = Event(
    "run vanished",
    _RUN + " epoch requested_seconds_ago",
    "A worker confirmed a run earlier, and lists neither the run nor its end now; "
    "seconds since that list was requested.",
    level=logging.WARNING,
)
RUN_NEVER_STARTED = Event(
    "run never started",
    _RUN + " epoch requested_seconds_ago",
    "A worker confirmed the stop of a run, and a list requested after that has neither "
    "the run nor its end; seconds since that list was requested.",
)
MACHINES_UNREAD = Event(
    "machines not read",
    "silent error",
    "The list of machines could not be read; the leases of silent workers are awaited.",
    per_second=2,
)
MACHINES_DISTRUSTED = Event(
    "machines distrusted",
    "answering unlisted",
    "The list of machines lacks workers that answer; it is ignored for silent ones.",
    level=logging.WARNING,
)
RUNS_LOST = Event(
    "runs lost with their worker",
    "worker runs request_ids silent_seconds reason epoch lapse_in_seconds "
    "answered_seconds_ago is_leaving",
    "The worker can no longer be running them: its lease has expired, its machine has "
    "no such worker any more, or it restarted. Seconds until the last lease granted to "
    "the worker ends, negative if it has ended; since its last answer; and whether it "
    "had said that it leaves.",
)
WORKER_SILENT = Event(
    "worker silent",
    "worker lapse_in_seconds error asked_seconds_ago answered_seconds_ago unrecorded",
    "The worker did not answer; no new tasks are placed there. Error of the call, how "
    "long ago it was sent and how long ago the last answer arrived, and the number of "
    "its ends that aren't recorded yet.",
)
REPORT_DELAYED = Event(
    "report delayed",
    "worker ends seconds epoch",
    "A worker's report waited for that long until it could be applied.",
    per_second=5,
)
REPORT_DROPPED = Event(
    "report dropped",
    "worker ends reason",
    "A worker's report with ends that were not applied came too late: its link was "
    "stopped, or it is of another incarnation of the worker than the current one.",
    per_second=5,
)
RUNS_KEPT = Event(
    "runs kept",
    "worker reason epoch",
    "The runs of a silent worker would count as lost, for the reason, but a report of "
    "it has arrived, or may have, and is applied first.",
    per_second=5,
)
WORKER_BACK = Event("worker back", "worker silent_seconds", "The worker answers again.")
WORKER_GONE = Event(
    "worker gone", "worker", "A silent, unlisted worker was removed after its lease."
)
WORKER_CHANGED = Event(
    "worker of another kind",
    "worker labels labels_before processors",
    "A worker has started again under its id with other labels or another capacity. "
    "Without labels: its new entry is not in the list yet.",
)
WORKER_MOVED = Event(
    "worker moved",
    "worker address before",
    "The worker's entry has another address than before: it restarted there.",
)
WORKER_FENCED = Event(
    "fenced by a worker",
    "worker epoch",
    "The worker has seen a newer epoch; this owner sends no orders until the store "
    "confirms its ownership.",
    level=logging.WARNING,
)
WORKER_UNSEEN = Event(
    "worker not looked at",
    "worker error",
    "The worker's lists of runs and ends could not be read after a stop.",
)
POLL_FAILED = Event(
    "poll failed",
    "worker epoch",
    "An unexpected exception while a worker was polled or its report was applied. It "
    "counts as silent: nothing is placed there, and its lease is not renewed, until a "
    "poll succeeds.",
    level=logging.ERROR,
    per_second=2,
)
RECORDED_WORKER_LEFT_OUT = Event(
    "recorded worker left out",
    "worker pool",
    "The record of a worker that an earlier owner kept has no address that can be "
    "called, so that nothing runs there. It is removed from the records of the pool.",
    level=logging.WARNING,
    per_second=5,
)
WORKER_LEFT_OUT = Event(
    "worker left out",
    "worker epoch",
    "An unexpected exception while the state of a worker was examined in a round. The "
    "round goes on with the other workers, and the next one examines it again.",
    level=logging.ERROR,
    per_second=2,
)
RENEWAL_REFUSED = Event(
    "renewal refused", "worker status", "A worker answered a renewal with an error."
)
