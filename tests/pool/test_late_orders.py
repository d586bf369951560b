"""Delayed orders combined with crashes, network partitions and takeovers."""

import pytest

from tests.pool.fault_simulation import FaultSimulation

# With these seeds, a delayed call that was sent to a worker's previous incarnation has
# the next one discard an end, or a task has a delayed run beside its current one when
# the pool's owner changes.
SEEDS = (9, 17, 19, 26, 27, 33, 42, 48, 74)
# With these and few workers, a call to the previous incarnation of a worker lengthens
# the lease of the next one, which is then cut off.
RESTART_SEEDS = (13, 34)
RESTART_WORKERS = 5
# With these, the same happens where work yields.
RESTART_STOP_SEEDS = (13, 30)
# With these, most tasks are stopped for urgent ones.
STOP_SEEDS = (7, 8, 22, 31, 44, 46)
# With these, a worker that has restarted unseen executes a start whose lease is over,
# beside the next run of its task or after the end of that.
LEAVE_SEEDS = (4, 26, 129, 145)


@pytest.mark.parametrize("seed", SEEDS)
def test_delayed_orders_leave_no_task_stuck_or_running_twice(seed):
    """Guards against a task that waits for an ended run for ever, or runs twice."""
    simulation = FaultSimulation(seed)
    simulation.run()
    assert simulation.stuck_tasks() == []
    assert simulation.duplicate_runs == []


@pytest.mark.parametrize("seed", SEEDS + STOP_SEEDS + RESTART_STOP_SEEDS)
def test_delayed_stops_for_urgent_work_leave_no_task_stuck_or_running_twice(seed):
    """Guards against room that is used while a run that was stopped for it goes on."""
    simulation = FaultSimulation(seed, expects_overload=True)
    simulation.run()
    assert simulation.stuck_tasks() == []
    assert simulation.duplicate_runs == []


@pytest.mark.parametrize("seed", RESTART_SEEDS)
def test_calls_to_an_earlier_incarnation_let_no_task_run_twice(seed):
    """Guards against a run that outlives the lease that its owner knows.

    A worker restarts under its id, and executes a call that was sent to its previous
    incarnation. The call names a time on that one's clock, and so lengthens the lease
    to the maximum. The worker is then cut off. Its tasks were placed again at the end
    of the last lease granted to it, and ran twice.
    """
    simulation = FaultSimulation(seed, workers=RESTART_WORKERS)
    simulation.run()
    assert simulation.stuck_tasks() == []
    assert simulation.duplicate_runs == []


@pytest.mark.parametrize("seed", LEAVE_SEEDS)
def test_departures_and_overtaken_reports_let_no_task_run_twice(seed):
    """Guards against a run beside another one, or after an end that was known.

    Workers exit with whatever runs, reports overtake each other, and runs that are
    being stopped end as done.
    """
    simulation = FaultSimulation(seed, workers_leave=True)
    simulation.run()
    assert simulation.stuck_tasks() == []
    assert simulation.duplicate_runs == []
    assert simulation.done_ends.late_starts == []
