"""Events that the owner of a pool logs; the reference page is generated from them."""

import logging

from papayapick.observability.events import Event

__all__ = [
    "ADVICE_LOST",
    "COMMIT_PUT_OFF",
    "COPY_STARTED",
    "JOB_ENDED",
    "JOB_TAKEN",
    "JOBS_KEPT",
    "JOBS_YIELD",
    "MACHINES_DISTRUSTED",
    "MACHINES_UNREAD",
    "NO_ADVICE",
    "ORDERS_HELD_UP",
    "ORDER_FAILED",
    "PACE_NOT_SET",
    "PACE_SET",
    "POOL_LEFT",
    "POOL_LOOP_FAILED",
    "POOL_LOST",
    "POOL_NOT_RELEASED",
    "POOL_SETTLED",
    "POOL_TAKEN",
    "RECORD_REFUSED",
    "RECORDING_CHANGED",
    "RENEWAL_REFUSED",
    "RUN_ENDED",
    "RUN_REPLACED",
    "RUN_FOUND",
    "RUN_NEVER_STARTED",
    "RUN_VANISHED",
    "RUNS_LOST",
    "START_FOUND",
    "START_REFUSED",
    "START_UNANSWERED",
    "STEP_PLACED",
    "STEP_WAITS",
    "STOP_REFUSED",
    "STOPPED_FOR_URGENT",
    "THREADS_SHORT",
    "UPKEEP_BEGUN",
    "UPKEEP_NOT_BEGUN",
    "WAVE_PUT_OFF",
    "WAVE_STATUS",
    "WORKER_BACK",
    "WORKER_FENCED",
    "WORKER_GONE",
    "WORKER_MOVED",
    "WORKER_SILENT",
    "WORKER_SUSPECTED",
    "WORKER_UNSEEN",
]

_RUN = "request_id step task attempt worker"

# Threads.

THREADS_SHORT = Event(
    "threads short",
    "executor threads queued error",
    "No thread could be started for a task. The task waits until another one ends.",
    level=logging.WARNING,
    per_second=1,
)

# Ownership.

POOL_TAKEN = Event(
    "pool taken",
    "pool epoch jobs workers is_journal_exact seconds",
    "This host owns the pool from now on; seconds since it claimed the pool.",
)
POOL_SETTLED = Event(
    "pool settled",
    "pool epoch seconds silent",
    "It is known where all tasks started before the takeover run; the leases of the "
    "silent workers have expired.",
)
POOL_LEFT = Event(
    "pool left", "pool epoch is_lost", "This host has stopped scheduling the pool."
)
POOL_LOST = Event(
    "pool lost",
    "pool epoch version_seen",
    "Another host changed the row of the pool.",
    level=logging.WARNING,
)
POOL_NOT_RELEASED = Event(
    "pool not released",
    "pool epoch error",
    "The owner stopped without releasing the pool.",
)
POOL_LOOP_FAILED = Event(
    "loop of the pool failed",
    "pool loop",
    "A background loop of the owner failed; the pool is released for another host.",
    level=logging.ERROR,
)

# The journal.

COMMIT_PUT_OFF = Event(
    "commit put off",
    "pool records seconds error",
    "The store did not accept a commit; the same records are written again.",
)
RECORDING_CHANGED = Event(
    "recording changed",
    "pool is_before_start commit_seconds",
    "Whether a task is started only after its record is durable; depends on how long "
    "the last answered commit took.",
)
RECORD_REFUSED = Event(
    "record refused",
    "request_id",
    "A stored job can't be read; it is left unchanged, and the other jobs continue.",
    level=logging.ERROR,
)
JOBS_KEPT = Event(
    "old jobs kept for now",
    "pool jobs error",
    "Finished jobs could not be deleted from the store; tried again later.",
)

# Jobs and steps.

JOBS_YIELD = Event(
    "jobs yield",
    "pool queue in_time yielding late",
    "More waits than can be in time: the numbers of a queue's jobs that can be, that "
    "are served after those, and that are late or beyond the plan. At most each second "
    "for each queue.",
    per_second=20,
)
JOB_TAKEN = Event(
    "job taken in",
    "request_id queue priority steps status pool epoch",
    "The owner has loaded the job; status is other than waiting only after a takeover.",
)
STEP_PLACED = Event(
    "step placed",
    "request_id occurrence step tasks attempts workers requeue_reasons left "
    "waited_seconds expected_seconds epoch",
    "Workers were chosen for tasks of a step; left is the number that wait for room. "
    "A reason for each task why it was queued again after a start, empty for the first "
    "one: done (a lasting task), failed, stopped, lapsed, broken or alone as its "
    "worker listed, unknown for any other, vanished, lost, never-started, refused, or "
    "released (held after a takeover, and no run was found). "
    "The last of these tasks is expected to take expected_seconds: the caller's "
    "estimate, corrected where speeds of workers differ; 0 if there is none.",
    per_second=60,
)
STEP_WAITS = Event(
    "step waits",
    "request_id occurrence step tasks reason waited_seconds open_workers able_workers "
    "advised_workers unfit_workers asked_seconds team",
    "A ready step was not placed completely; repeated every two seconds. Reasons: "
    "advice (requested, no answer yet), turn (requests for other steps come first), "
    "no-fit (no worker that may run it has room), room, quota (its team has as much "
    "running as it may, or earlier steps of the team come first). Seconds since the "
    "last request for advice.",
)
COPY_STARTED = Event(
    "second copy",
    _RUN + " slow_worker slow_seconds usual_seconds",
    "A second copy of a slow task was started, which its step allows.",
)
RUN_REPLACED = Event(
    "run replaced",
    _RUN + " percent seconds still_seconds",
    "A run that has stalled, or is far slower than the same step's runs elsewhere, is "
    "stopped and started on another worker.",
)
WORKER_SUSPECTED = Event(
    "worker suspected",
    "worker reason seconds",
    "The worker is used only as a last resort for that time. Reasons: progress (a run "
    "there has stalled or is slow), failures (runs of several jobs failed in a row).",
)
STOPPED_FOR_URGENT = Event(
    "stopped for an urgent task",
    _RUN + " percent urgent is_owed becomes_late lost_core_seconds",
    "A less urgent task was preempted; it resumes from its checkpoint later. Where "
    "overload is expected, also why this one: whether its job is within its team's "
    "rate and share, whether it becomes late by the stop, and what is lost.",
)
RUN_ENDED = Event(
    "run ended",
    _RUN + " outcome failures failure_limit seconds is_retried",
    "A run ended with an outcome other than done.",
    per_second=60,
)
JOB_ENDED = Event(
    "job ended",
    "request_id status seconds deciding_step deciding_task deciding_worker epoch",
    "The job reached a final status; seconds since the owner loaded it, or since it "
    "was accepted under an earlier owner.",
    per_second=60,
)

# Orders and workers.

ORDERS_HELD_UP = Event(
    "orders held up",
    "pool starts stops",
    "Numbers of starts that wait for a thread, and of stops that wait for a thread or "
    "an answer; nothing is placed until some of them were sent.",
    level=logging.WARNING,
    per_second=2,
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
RUN_FOUND = Event(
    "run found",
    _RUN + " is_needed percent",
    "A worker lists a run that this owner does not track: an earlier owner started it, "
    "or its order arrived late. A run that is not needed is stopped.",
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
    "worker runs request_ids silent_seconds reason epoch lapse_in_seconds",
    "The worker can no longer be running them: its lease has expired, its machine has "
    "no such worker any more, or it restarted. Seconds until the last lease granted to "
    "the worker ends, negative if it has ended.",
)
WORKER_SILENT = Event(
    "worker silent",
    "worker lapse_in_seconds",
    "The worker did not answer; no new tasks are placed there.",
)
WORKER_BACK = Event("worker back", "worker silent_seconds", "The worker answers again.")
WORKER_GONE = Event(
    "worker gone", "worker", "A silent, unlisted worker was removed after its lease."
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
RENEWAL_REFUSED = Event(
    "renewal refused", "worker status", "A worker answered a renewal with an error."
)
ADVICE_LOST = Event(
    "advice lost",
    "request_id occurrence step asked_seconds",
    "A request had no answer for a second plus twice the usual time; it is repeated.",
)
NO_ADVICE = Event(
    "no advice",
    "request_id occurrence step workers error",
    "A request for advice on a step failed; it is repeated.",
)

# Upkeep.

UPKEEP_BEGUN = Event(
    "upkeep begun",
    "machine wave worker epoch",
    "The upkeep of a drained machine has begun; its worker is gone.",
)
UPKEEP_NOT_BEGUN = Event(
    "upkeep not begun",
    "machine wave reason",
    "An order for upkeep was refused or had no answer; it is sent again.",
)
WAVE_STATUS = Event(
    "wave of upkeep",
    "wave is_over pool",
    "A wave was started, or the upkeep of all its machines has begun.",
)
WAVE_PUT_OFF = Event(
    "wave put off",
    "pool error",
    "The store or the list of machines did not answer; the next step tries again.",
    per_second=2,
)
