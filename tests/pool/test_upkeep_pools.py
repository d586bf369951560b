"""Waves of upkeep over the machines of several pools."""

from papayapick.clients.rows import RowWrite
from papayapick.pool.rounds.upkeep import WAVES_TABLE
from tests.pool.upkeep_cell import KEY, Cell


def test_machine_of_a_pool_without_an_owner_has_its_upkeep_too():
    """Guards against a wave that never ends as a pool without queues has no owner."""
    cell = Cell()
    cell.machines.pools["m-w3"] = "reserve"
    cell.run(25.0)
    assert cell.is_over
    assert "m-w3" in cell.machines.begun


def test_machine_of_another_pool_is_left_to_its_owner():
    cell = Cell()
    cell.machines.pools["m-w3"] = "quick"
    cell.load.host.configuration.current.pools = {"pool", "quick"}
    cell.run(25.0)
    # The pool "quick" comes after "pool" and has not begun its part.
    assert not cell.is_over
    assert set(cell.machines.begun) == {f"m-w{n}" for n in (0, 1, 2, 4, 5)}
    record = {"since": 0.0, "ordered": {}, "begun": ["m-w3"]}
    cell.rows.transact([], [RowWrite(WAVES_TABLE, "quick", KEY, record)])
    cell.run(2.0)
    assert cell.is_over


def test_owner_waits_for_pools_that_come_before_its_own():
    cell = Cell()
    cell.machines.pools["m-w3"] = "a-pool"
    cell.load.host.configuration.current.pools = {"pool", "a-pool"}
    cell.run(5.0)
    assert cell.machines.begun == {}
    record = {"since": 0.0, "ordered": {}, "begun": ["m-w3"]}
    cell.rows.transact([], [RowWrite(WAVES_TABLE, "a-pool", KEY, record)])
    cell.run(25.0)
    assert cell.is_over


def test_machine_of_a_former_pool_is_left_to_its_owner():
    """Guards against upkeep without draining, once a route was removed (AVAIL)."""
    cell = Cell()
    cell.machines.pools["m-w3"] = "former"
    cell.load.host.watched_pools.pools.add("former")
    cell.run(25.0)
    assert "m-w3" not in cell.machines.begun
    record = {"since": 0.0, "ordered": {}, "begun": ["m-w3"]}
    cell.rows.transact([], [RowWrite(WAVES_TABLE, "former", KEY, record)])
    cell.run(25.0)
    assert cell.is_over


def test_owner_of_a_former_pool_orders_the_upkeep_of_its_machines():
    """Guards against a wave that never ends, as the queue of a pool was removed."""
    cell = Cell()
    cell.load.host.configuration.current.pools = {"quick"}
    cell.run(25.0)
    assert set(cell.machines.begun) == {f"m-w{n}" for n in range(6)}


def test_no_upkeep_of_other_pools_before_stored_jobs_were_looked_for():
    """Guards against upkeep without draining just after the start of a host."""
    cell = Cell()
    cell.machines.pools["m-w3"] = "former"
    cell.load.host.watched_pools.has_looked = False
    cell.run(25.0)
    assert "m-w3" not in cell.machines.begun


def test_wave_without_any_configured_pool_does_not_end_the_owner():
    """Guards against an owner that ends again and again, as no route is left."""
    cell = Cell()
    cell.machines.pools["m-w3"] = "former"
    cell.load.host.configuration.current.pools = set()
    cell.run(25.0)
    assert cell.is_over
