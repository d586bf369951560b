"""Orders that are carried out late, beside crashes, cuts and takeovers."""

import pytest

from tests.pool.fault_simulation import Day

# Days on which a call to the life before of a worker, carried out late, has an end
# forgotten, or on which a late run is beside the run of its task as its owner changes.
SEEDS = (9, 17, 19, 26, 27, 33, 42, 48, 74)


@pytest.mark.parametrize("seed", SEEDS)
def test_nothing_stands_still_after_late_orders(seed):
    """A task waits for ever for a run that is over, or runs on two workers."""
    day = Day(seed)
    day.run()
    assert day.standing() == []
    assert day.second_runs == []
