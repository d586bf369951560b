"""Metrics of the owner of a pool."""

from papayapick.observability.registry import PageSection, counter, gauge, histogram

__all__ = [
    "COMPLETION_SECONDS",
    "ENDS",
    "ENDS_NOT_APPLIED",
    "FIRST_START_SECONDS",
    "FORECAST_ERROR_SECONDS",
    "LEFT_OUT",
    "OWNED_POOLS",
    "PLANNED_JOBS",
    "PREDICTED_WAIT_SECONDS",
    "PROMISES_MISSED",
    "RECORDS_LEFT_OUT",
    "RENEWALS",
    "REPORT_DELAY_SECONDS",
    "STARTS",
    "TAKEOVERS",
    "TAKEOVER_SECONDS",
    "TASKS_PLACED_AGAIN",
    "TEAM_SHARES",
    "WAITING_JOBS",
    "WORKER_CONNECTIONS",
    "WORKER_CONNECTIONS_MOST",
    "WORKERS_REFUSING",
]

# All label values come from fixed sets, except the names of queues and teams, which
# operators choose. Only queues with waiting jobs are exported, and twenty teams.
WAITING_JOBS = gauge(
    PageSection.BACKLOGS,
    "papayapick_pool_waiting_jobs",
    "Accepted jobs that have not begun, as the owner told in the last 2 s",
    ("queue",),
)
FIRST_START_SECONDS = histogram(
    "papayapick_pool_first_start_seconds",
    "From taking a job in to placing its first task",
    of_jobs=True,
)
COMPLETION_SECONDS = histogram(
    "papayapick_pool_completion_seconds",
    "From taking a job in to its final state being durable",
    ("status",),
    of_jobs=True,
)
FORECAST_ERROR_SECONDS = histogram(
    "papayapick_pool_forecast_error_seconds",
    "By how much a task took more or less than expected, where speeds differ",
)
STARTS = counter(
    PageSection.OWNER,
    "papayapick_pool_starts",
    "Orders to start a task, by what became",
    ("outcome",),
)
TASKS_PLACED_AGAIN = counter(
    PageSection.PLACED_AGAIN,
    "papayapick_pool_tasks_placed_again",
    "Tasks placed after an earlier start, by why they were queued again",
    ("reason",),
)
ENDS = counter(
    PageSection.OWNER, "papayapick_pool_ends", "Ends that workers listed", ("outcome",)
)
ENDS_NOT_APPLIED = counter(
    PageSection.PLACED_AGAIN,
    "papayapick_pool_ends_not_applied",
    "Ends that workers listed of unknown tasks, or of runs that had counted as over",
    ("reason",),
)
REPORT_DELAY_SECONDS = histogram(
    "papayapick_pool_report_delay_seconds",
    "From a worker's report to its being applied by the owner",
)
RENEWALS = counter(
    PageSection.OWNER,
    "papayapick_pool_renewals",
    "Renewals of a worker's lease",
    ("outcome",),
)
RECORDS_LEFT_OUT = counter(
    PageSection.PLACED_AGAIN,
    "papayapick_pool_records_left_out",
    "Records of jobs that were left out of a commit, as no transaction can hold them",
)
LEFT_OUT = counter(
    PageSection.PLACED_AGAIN,
    "papayapick_pool_left_out",
    "Times that a round went on without a worker or job that it can't work with",
    ("kind",),
)
TAKEOVERS = counter(
    PageSection.OWNER, "papayapick_pool_takeovers", "Pools taken by this host"
)
TAKEOVER_SECONDS = histogram(
    "papayapick_pool_takeover_seconds",
    "From the claim to knowing where all tasks of before run",
)
OWNED_POOLS = gauge(
    PageSection.HOST_STATE, "papayapick_pool_owned", "Pools that this host owns now"
)
PROMISES_MISSED = counter(
    PageSection.PROMISES,
    "papayapick_pool_promises_missed",
    "Jobs expected to be of use at the latest forecast time, and not done while so",
)
PREDICTED_WAIT_SECONDS = gauge(
    PageSection.PROMISES,
    "papayapick_pool_predicted_wait_seconds",
    "Seconds until work that comes now would begin, as the owner told in the last 1 s",
    ("queue", "bound"),
)
PLANNED_JOBS = gauge(
    PageSection.PLANS,
    "papayapick_pool_planned_jobs",
    "Jobs in the last plan while more waits than fits: in-time, yielding or late",
    ("queue", "standing"),
)
TEAM_SHARES = gauge(
    PageSection.TEAMS,
    "papayapick_pool_team_share",
    "Share of its maximum that a team uses, of the teams with the largest shares",
    ("team",),
)
WORKER_CONNECTIONS = counter(
    PageSection.CONNECTIONS,
    "papayapick_pool_worker_connections",
    "Connections to workers that were opened, closed, or refused by the worker",
    ("outcome",),
)
WORKER_CONNECTIONS_MOST = gauge(
    PageSection.CONNECTIONS,
    "papayapick_pool_worker_connections_most",
    "Open connections from this host to the worker to which it has most",
)
WORKERS_REFUSING = gauge(
    PageSection.CONNECTIONS,
    "papayapick_pool_workers_refusing",
    "Workers of this owner that have refused an order in the last second",
)
