"""Events about what a new owner takes for running, or no longer waits for."""

from papayapick.observability.events import Event

__all__ = ["TASK_RELEASED", "WORKER_ABSENT"]

WORKER_ABSENT = Event(
    "worker absent after a takeover",
    "worker reason epoch taken_seconds_ago",
    "Tasks are no longer held for a worker that has not answered the new owner: it no "
    "longer exists, by the list of machines, or as another worker is at its address.",
)
TASK_RELEASED = Event(
    "held task released",
    "request_id occurrence step task attempt reason epoch taken_seconds_ago",
    "A task that was held after a takeover waits for a worker now, since no run of it "
    "was found. Reasons: leases over (of all earlier owners), no run (it can't run on "
    "any worker that has not answered). Attempt is the last known start.",
    per_second=60,
)
