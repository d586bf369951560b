"""What ready steps wait for, and the log events that tell it."""

import enum

from papayapick.pool.events import STEP_PLACED, STEP_WAITS
from papayapick.pool.metrics import TASKS_PLACED_AGAIN

__all__ = ["WaitReason", "log_placed", "log_wait"]

# Steps usually get advice and room within this time; a longer wait is logged.
_LOG_AFTER_SECONDS = 0.5
# A log that covers only the last few seconds must still show what a step waits for.
_LOG_AGAIN_SECONDS = 2.0


class WaitReason(enum.Enum):
    """What a ready step waits for."""

    # Advice has been requested.
    ADVICE = "advice"
    # Steps ahead of it use up the room for which advice is requested.
    TURN = "turn"
    # No worker that may run it has room: advice would expire unused.
    NO_FIT = "no-fit"
    # No worker that may run it has room left in this round.
    ROOM = "room"
    # Its team has as much running as it may.
    QUOTA = "quota"


def log_placed(owner, step, runs, now):
    """Log on which workers tasks of a step were placed.

    Parameters
    ----------
    owner : PoolOwner
    step : StepState
    runs : list of Run
    now : float
        Monotonic seconds.
    """
    step.logged_wait = None
    ended_runs = [step.tasks[run.key.index].last_ended for run in runs]
    for ended in filter(None, ended_runs):
        TASKS_PLACED_AGAIN.labels(ended.reason.value).inc()
    STEP_PLACED.write(
        request_id=step.key.job,
        occurrence=step.key.occurrence,
        step=step.key.step,
        tasks=[run.key.index for run in runs],
        attempts=[run.attempt for run in runs],
        workers=[run.worker for run in runs],
        requeue_reasons=[ended.reason.value if ended else "" for ended in ended_runs],
        earlier_workers=[ended.worker if ended else "" for ended in ended_runs],
        earlier_attempts=[ended.attempt if ended else 0 for ended in ended_runs],
        over_for_seconds=[
            round(now - ended.counted_at, 3) if ended else 0.0 for ended in ended_runs
        ],
        left=len(step.waiting),
        waited_seconds=round(now - step.ready_at, 3),
        expected_seconds=round(_expected_seconds(owner.knowledge, step, runs), 3),
        epoch=owner.row.epoch,
    )


def _expected_seconds(knowledge, step, runs):
    """Return how long the run on the slowest worker is expected to take."""
    slowest = min(knowledge.speeds.speed(run.worker) for run in runs)
    return knowledge.task_times.expected_seconds(step) / slowest


def log_wait(owner, step, reason, now):
    """Log what a step waits for, once it has waited long.

    Parameters
    ----------
    owner : PoolOwner
    step : StepState
    reason : WaitReason
    now : float
        Monotonic seconds.
    """
    waited = now - step.ready_at
    is_logged = (
        step.logged_wait == reason and now < step.logged_wait_at + _LOG_AGAIN_SECONDS
    )
    if waited < _LOG_AFTER_SECONDS or is_logged:
        return
    step.logged_wait, step.logged_wait_at = reason, now
    status = owner.advice_manager.status(step, now)
    asked = status.asked_seconds
    STEP_WAITS.write(
        request_id=step.key.job,
        occurrence=step.key.occurrence,
        step=step.key.step,
        tasks=len(step.waiting),
        reason=reason.value,
        waited_seconds=round(waited, 3),
        open_workers=owner.rooms.open_count(),
        able_workers=owner.rooms.able_count(step.step),
        advised_workers=status.advised,
        unfit_workers=status.unfit,
        asked_seconds=None if asked is None else round(asked, 3),
        team=step.job.document.team,
    )
