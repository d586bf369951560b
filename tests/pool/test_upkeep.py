"""Waves of upkeep: limits on machines at once, deadlines, and lasting steps."""

from types import SimpleNamespace

import pytest

from papayapick.clients.exceptions import ConditionFailed, TableUnavailable
from papayapick.clients.rows import Page, RowWrite, StoredRow
from papayapick.jobs import JobDocument, Step
from papayapick.ledger import Amounts
from papayapick.placement.waves import Wave, WaveRecord, choose_machines
from papayapick.platform.exceptions import CallFailed
from papayapick.platform.machines import Machine, UpkeepOutcome
from papayapick.pool.rounds.upkeep import WAVES_TABLE, UpkeepCoordinator
from tests.pool.standins import QUEUE, PoolSimulation, Worker, _registration

UPKEEP_SECONDS = 2.0
KEY = "wave/7"


class Rows:
    """Store rows under conditions; fail on request."""

    def __init__(self):
        self.rows = {}
        self.version = 9
        self.is_unavailable = False
        # Whether the next write is applied but its answer is lost.
        self.loses_answer = False

    def read(self, table, partition, first="", end="", limit=500, seconds=2.0):
        if self.is_unavailable:
            raise TableUnavailable()
        found = [
            row
            for (row_table, row_partition, key), row in sorted(self.rows.items())
            if (row_table, row_partition) == (table, partition) and key >= first
        ]
        return Page(found[:limit], self.version, False)

    def transact(self, expectations, writes, **options):
        if self.is_unavailable:
            raise TableUnavailable()
        for one in expectations:
            row = self.rows.get((one.table, one.partition, one.key))
            if one.table != "cell" and (row.version if row else 0) != one.version:
                raise ConditionFailed([])
        self.version += 1
        for one in writes:
            place = (one.table, one.partition, one.key)
            self.rows[place] = StoredRow(*place, one.value, self.version)
        if self.loses_answer:
            self.loses_answer = False
            raise TableUnavailable()
        return self.version

    def value(self, table, partition, key):
        row = self.rows.get((table, partition, key))
        return row.value if row else None


class Machines:
    """Execute orders for upkeep; machines return with a new worker."""

    def __init__(self, load):
        self._load = load
        self._workers = {f"m-{name}": name for name in load.workers}
        self._upkeep_ends_at = {}
        self.begun = {}
        # Pools of the machines that are not in the simulated one.
        self.pools = {}
        self.tokens = []
        self.max_in_upkeep = 0
        self.is_unavailable = False
        # Number of orders that are executed without an answer.
        self.answers_to_lose = 0
        # Number of orders without an answer, which are executed once sent again.
        self.orders_to_delay = 0

    def fetch(self):
        if self.is_unavailable:
            raise CallFailed(address="machines", status=0)
        return [
            Machine(
                name,
                self.pools.get(name, "pool"),
                not self._is_in_upkeep(name),
                worker,
                self._is_in_upkeep(name),
            )
            for name, worker in self._workers.items()
        ]

    def begin_upkeep(self, machine, wave, holder, token):
        self.tokens.append(token)
        if self.orders_to_delay:
            self.orders_to_delay -= 1
            return UpkeepOutcome.UNKNOWN
        if machine not in self.begun:
            if self._is_in_upkeep(machine):
                return UpkeepOutcome.BUSY
            self.begun[machine] = self._load.now
            self._upkeep_ends_at[machine] = self._load.now + UPKEEP_SECONDS
            self.max_in_upkeep = max(
                self.max_in_upkeep, sum(map(self._is_in_upkeep, self._workers))
            )
            self._replace(machine)
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            return UpkeepOutcome.UNKNOWN
        return UpkeepOutcome.BEGUN

    def _is_in_upkeep(self, machine):
        return self._load.now < self._upkeep_ends_at.get(machine, 0.0)

    def _replace(self, machine):
        """Replace the machine's worker by a new one."""
        load, old = self._load, self._workers[machine]
        load.interrupted_runs = getattr(load, "interrupted_runs", []) + list(
            load.workers[old].runs
        )
        owner = load.owner
        with owner.lock:
            link = owner.links_by_worker[old]
            owner.lost_runs.mark_all(link, "upkeep")
            owner.store_sync.drop_link(link)
            del load.workers[old], load._polled_at[old]
            new = old + "b"
            row = StoredRow("servers", "", new, _registration(new), 1)
            owner.store_sync.note_worker_rows([row])
        load.workers[new], load._polled_at[new] = Worker(new), load.now
        load._poll(load.workers[new])
        self._workers[machine] = new


class Cell:
    """Simulate a pool with a wave of upkeep for its machines."""

    def __init__(self, workers=6, length=0.8, at_once=2, seconds=60.0):
        self.load = load = PoolSimulation(workers=workers, length=length)
        self.machines = Machines(load)
        self.rows = load.host.store = Rows()
        names = [f"m-{name}" for name in load.workers]
        wave = Wave(7, [*names, "m-gone"], seconds, at_once)
        current = SimpleNamespace(pools={"pool"})
        load.host.configuration = SimpleNamespace(waves={KEY: wave}, current=current)
        load.host.settings.upkeep_seconds = UPKEEP_SECONDS
        load.host.settings.host_name = "h1"
        self.take_over()

    def take_over(self):
        self.upkeep = UpkeepCoordinator(self.load.owner, self.machines)

    def run(self, seconds, tasks=0):
        for _ in range(round(seconds / 0.5)):
            if tasks:
                self.load.submit_job(tasks)
            self.upkeep.step(self.load.host.configuration.waves)
            self.load.run(0.5)

    @property
    def is_over(self):
        return self.rows.value("status", "", KEY) == {"state": "completed"}


def test_wave_completes_in_time_within_its_limit_of_machines():
    cell = Cell()
    cell.run(0.5)
    assert cell.rows.value("status", "", KEY) == {"state": "running"}
    cell.run(20.0, tasks=4)
    assert cell.is_over
    assert (len(cell.machines.begun), cell.machines.max_in_upkeep) == (6, 2)
    # Short tasks ended by themselves.
    assert cell.load.interrupted_runs == []
    assert cell.load.stops == 0


def test_wave_with_a_close_deadline_stops_runs_and_completes_in_time():
    """Guards against missing a deadline of 20 s because tasks take an hour."""
    cell = Cell(length=3600.0, seconds=20.0)
    cell.load.submit_job(tasks=24)
    cell.load.run(1.0)
    began = cell.load.now
    cell.run(20.0)
    assert cell.is_over
    assert max(cell.machines.begun.values()) - began < 20.0
    assert cell.load.interrupted_runs == []


@pytest.mark.parametrize("limit", [1, 2])
def test_lasting_step_keeps_its_limit_of_unavailable_tasks(limit):
    """Guards against a service outage during upkeep.

    Each machine runs tasks of one lasting step, and half of the machines may have their
    upkeep at once. Without moving tasks one by one, up to half of them would be away.
    """
    cell = Cell(at_once=3, length=1.2)
    load = cell.load
    _make_endless(load)
    step = Step(6, Amounts(1000, 10), is_lasting=True, unavailable_limit=limit)
    document = JobDocument("a" * 16, "q", "pool", "t", [step], 0.0)
    load.owner.job_registry.add(document, QUEUE, load.now)
    load.run(3.0)
    assert _available(load) == 6
    max_unavailable = 0
    for _ in range(150):
        cell.upkeep.step(load.host.configuration.waves)
        _make_endless(load)
        max_unavailable = max(max_unavailable, 6 - _available(load))
        load.run(0.5)
    assert cell.is_over
    assert load.interrupted_runs == []
    assert max_unavailable <= limit


def _available(load):
    return sum(
        run.percent == 100 and run.stop_requested is None
        for room in load.owner.rooms
        for run in room.runs.values()
    )


def _make_endless(load):
    for worker in load.workers.values():
        worker.is_endless = True


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


def test_withdrawn_wave_makes_its_machines_available_again():
    cell = Cell(length=3600.0)
    cell.load.submit_job(tasks=24)
    cell.load.run(1.0)
    cell.run(1.0)
    assert sum(room.is_draining for room in cell.load.owner.rooms) == 2
    cell.load.host.configuration.waves = {}
    cell.run(1.0)
    assert not any(room.is_draining for room in cell.load.owner.rooms)
    assert cell.rows.value(WAVES_TABLE, "pool", KEY) is None


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


def test_machine_that_is_being_drained_stays_chosen():
    """Guards against draining two machines in turn, so that neither gets empty.

    While a machine is drained, the loads change and another one has less to move. If
    that one were chosen instead, the first would accept new tasks again.
    """
    machines = {name: Machine(name, "pool", True, "w" + name) for name in ("a", "b")}
    wave, record = Wave(1, ["a", "b"], 60.0, 1), WaveRecord(0.0)

    def choose(loads, draining=()):
        return choose_machines(wave, record, machines, bool, loads, draining)

    assert choose({"wa": 1000, "wb": 2000}) == ["a"]
    assert choose({"wa": 1000, "wb": 0}, draining={"wa"}) == ["a"]
