"""Set the gauges of an entry host to their present values."""

from papayapick.entry.metrics import (
    CONFIGURATION_AGE_SECONDS,
    CONFIGURATION_VERSION,
    STORE_AGE_SECONDS,
)
from papayapick.pool.metrics import (
    OWNED_POOLS,
    PLANNED_JOBS,
    PREDICTED_WAIT_SECONDS,
    TEAM_SHARES,
    WAITING_JOBS,
    WORKER_CONNECTIONS_MOST,
    WORKERS_REFUSING,
)

__all__ = ["refresh_gauges"]

# Bounds the number of time series.
_SHOWN_TEAMS = 20


def refresh_gauges(host, owners):
    """Set the gauges, before the metrics are served.

    Parameters
    ----------
    host : EntryHost
    owners : list of PoolOwner
        Of the pools that the host owns.
    """
    STORE_AGE_SECONDS.set(host.store_health.age())
    CONFIGURATION_VERSION.set(host.configuration.version)
    CONFIGURATION_AGE_SECONDS.set(host.configuration.age())
    OWNED_POOLS.set(len(owners))
    WORKER_CONNECTIONS_MOST.set(host.worker_pool.connections.most_open())
    WORKERS_REFUSING.set(sum(_count_refusing(owner) for owner in owners))
    _refresh_teams(owners)
    _refresh_plans(owners)
    WAITING_JOBS.clear()
    for queue, count in host.job_states.all_waiting().items():
        WAITING_JOBS.labels(queue).set(count)
    PREDICTED_WAIT_SECONDS.clear()
    for queue, one in host.job_states.recent_forecasts().items():
        PREDICTED_WAIT_SECONDS.labels(queue, "earliest").set(max(0.0, one.earliest))
        PREDICTED_WAIT_SECONDS.labels(queue, "latest").set(one.latest)


def _count_refusing(owner):
    with owner.lock:
        return sum(link.order_refusals.are_recent for link in owner.links())


def _refresh_teams(owners):
    TEAM_SHARES.clear()
    for owner in owners:
        with owner.lock:
            shares = owner.team_usage.largest_shares(_SHOWN_TEAMS)
        for team, share in shares.items():
            TEAM_SHARES.labels(team).set(share)


def _refresh_plans(owners):
    PLANNED_JOBS.clear()
    for owner in owners:
        with owner.lock:
            counts = owner.decisions.planned_jobs
        for queue, count in counts.items():
            for standing, jobs in count.items():
                PLANNED_JOBS.labels(queue, standing.value).set(jobs)
