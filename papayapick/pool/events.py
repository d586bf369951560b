"""Events that the owner of a pool logs; the reference page is generated from them."""

import logging

from papayapick.observability.events import Event

__all__ = [
    "ADVICE_LOST",
    "COMMIT_PUT_OFF",
    "COPY_STARTED",
    "END_NOT_APPLIED",
    "END_OF_GIVEN_UP_RUN",
    "JOB_ENDED",
    "JOB_SET_ASIDE",
    "JOB_TAKEN",
    "JOB_UNUSABLE",
    "JOBS_KEPT",
    "JOBS_YIELD",
    "NO_ADVICE",
    "POOL_LEFT",
    "POOL_LOOP_FAILED",
    "POOL_LOST",
    "POOL_NOT_RELEASED",
    "POOL_SETTLED",
    "POOL_TAKEN",
    "RECORD_REFUSED",
    "RECORDING_CHANGED",
    "RUN_ENDED",
    "RUN_REPLACED",
    "STEP_PLACED",
    "STEP_WAITS",
    "STOPPED_FOR_URGENT",
    "THREADS_SHORT",
    "UPKEEP_BEGUN",
    "UPKEEP_NOT_BEGUN",
    "WAVE_PUT_OFF",
    "WAVE_STATUS",
    "WORKER_SUSPECTED",
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
JOB_UNUSABLE = Event(
    "job unusable",
    "request_id pool reason",
    "A stored job has a value with which no version can run it; it has failed.",
    level=logging.ERROR,
    per_second=5,
)
JOB_SET_ASIDE = Event(
    "job set aside",
    "request_id pool epoch",
    "An unexpected exception while a job was examined in a round. None of its tasks is "
    "started by this owner any more; the other jobs go on.",
    level=logging.ERROR,
    per_second=5,
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
    "request_id occurrence step tasks attempts workers requeue_reasons "
    "earlier_workers earlier_attempts over_for_seconds left waited_seconds "
    "expected_seconds epoch",
    "Workers were chosen for tasks of a step; left is the number that wait for room. "
    "A reason for each task why it was queued again after a start, empty for the first "
    "one: done (a lasting task), failed, stopped, lapsed, broken or alone as its "
    "worker listed, unknown for any other, vanished, lost, never-started, refused, or "
    "released (held after a takeover, and no run was found). Worker and attempt of "
    "that start, and for how long it has counted as over. "
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
END_NOT_APPLIED = Event(
    "end not applied",
    _RUN + " outcome reason epoch taken_seconds_ago",
    "A worker listed the end of a run of a task that this owner doesn't know. Reasons: "
    "unknown-job (all jobs are read, and it is not among them), unreadable-job (its "
    "record can't be read), unknown-task (the job is known, and has no such task).",
    level=logging.WARNING,
)
END_OF_GIVEN_UP_RUN = Event(
    "end of a run that counted as over",
    _RUN + " outcome over_reason over_for_seconds active_workers epoch",
    "A worker listed the end of a run that had counted as over, for the reason that "
    "step placed has in requeue_reasons. If it is done and active_workers, where the "
    "task was placed since, is not empty, then the task ran twice.",
    level=logging.WARNING,
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

# Advice.

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
