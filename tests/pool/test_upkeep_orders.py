"""Orders for upkeep across takeovers, lost answers and an unavailable store."""

from tests.pool.upkeep_cell import Cell


def test_successor_counts_an_unanswered_order():
    """Guards against one machine more in upkeep than the wave allows.

    An owner orders an upkeep, gets no answer, and is replaced. Its successor must know
    of the order before it orders as many as the wave allows.
    """
    cell = Cell(at_once=1)
    cell.machines.answers_to_lose = 1
    cell.run(0.5)
    assert len(cell.machines.begun) == 1
    cell.take_over()
    cell.run(0.5)
    assert len(cell.machines.begun) == 1
    cell.run(30.0)
    assert cell.is_over
    assert (len(cell.machines.begun), cell.machines.max_in_upkeep) == (6, 1)


def test_order_that_may_still_be_executed_counts_as_executed():
    """Guards against the same while the order is delayed beyond the takeover."""
    cell = Cell(at_once=1)
    cell.machines.orders_to_delay = 1
    cell.run(0.5)
    assert cell.machines.begun == {}
    cell.take_over()
    cell.run(0.5)
    assert (len(cell.machines.begun), cell.machines.max_in_upkeep) == (1, 1)


def test_no_upkeep_is_ordered_without_a_durable_record():
    cell = Cell()
    cell.run(0.5)
    begun = set(cell.machines.begun)
    cell.rows.is_unavailable = True
    cell.run(5.0)
    assert set(cell.machines.begun) == begun
    cell.rows.is_unavailable = False
    cell.run(20.0)
    assert cell.is_over and cell.machines.max_in_upkeep <= 2


def test_records_are_read_again_after_a_lost_answer():
    cell = Cell()
    cell.run(0.5)
    cell.rows.loses_answer = True
    cell.run(25.0)
    assert cell.is_over and cell.machines.max_in_upkeep <= 2


def test_unavailable_list_of_machines_postpones_the_wave():
    cell = Cell()
    cell.machines.is_unavailable = True
    cell.run(2.0)
    assert cell.machines.begun == {}
    cell.machines.is_unavailable = False
    cell.run(25.0)
    assert cell.is_over


def test_finished_wave_is_not_started_again():
    cell = Cell()
    cell.run(25.0)
    assert cell.is_over
    cell.machines.begun.clear()
    cell.take_over()
    cell.run(5.0)
    assert cell.machines.begun == {}


def test_orders_carry_a_token_that_no_other_pool_has():
    """Guards against equal fencing tokens of the owners of two pools.

    Two pools are owned at epoch 3, and a machine has moved from one to the other. With
    the epoch as the token, the platform can't tell a delayed order of its previous
    pool's owner from an order of the current one.
    """
    cell = Cell()
    cell.run(1.0)
    assert set(cell.machines.tokens) == {cell.load.owner.row.version}
    assert cell.load.owner.row.version != cell.load.owner.row.epoch
