"""Waves of upkeep: bounded, in time, and without harm to lasting steps."""

from types import SimpleNamespace

import pytest

from papayapick.clients.exceptions import ConditionFailed, TableUnavailable
from papayapick.clients.rows import Page, RowWrite, StoredRow
from papayapick.jobs import JobDocument, Step
from papayapick.ledger import Amounts
from papayapick.placement.waves import Wave, WaveRecord, choose_machines
from papayapick.platform.exceptions import CheckFailed
from papayapick.platform.machines import Machine, UpkeepOutcome
from papayapick.pool.upkeep import WAVES_TABLE, Upkeep
from tests.pool.standins import QUEUE, Replay, Worker, _registration

UPKEEP_SECONDS = 2.0
KEY = "wave/7"


class Rows:
    """Keep rows under conditions; fail as told."""

    def __init__(self):
        self.rows = {}
        self.version = 9
        self.is_away = False
        # The next write is applied and its answer lost.
        self.loses_answer = False

    def read(self, table, partition, first="", end="", limit=500, seconds=2.0):
        if self.is_away:
            raise TableUnavailable()
        found = [
            row
            for (where, part, key), row in sorted(self.rows.items())
            if (where, part) == (table, partition) and key >= first
        ]
        return Page(found[:limit], self.version, False)

    def transact(self, expectations, writes, **options):
        if self.is_away:
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
    """Carry out orders for upkeep; machines come back with another worker."""

    def __init__(self, load):
        self._load = load
        self._workers = {f"m-{name}": name for name in load.workers}
        self._until = {}
        self.begun = {}
        # Of machines that are in another pool than the load's.
        self.pools = {}
        self.tokens = []
        self.most_away = 0
        self.is_away = False
        # So many orders are carried out without an answer.
        self.answers_to_lose = 0
        # So many orders have no answer; they are carried out if sent again.
        self.orders_to_delay = 0

    def fetch(self):
        if self.is_away:
            raise CheckFailed(address="machines", status=0)
        return [
            Machine(
                name,
                self.pools.get(name, "pool"),
                not self._is_off(name),
                worker,
                self._is_off(name),
            )
            for name, worker in self._workers.items()
        ]

    def begin_upkeep(self, machine, wave, holder, token):
        self.tokens.append(token)
        if self.orders_to_delay:
            self.orders_to_delay -= 1
            return UpkeepOutcome.UNKNOWN
        if machine not in self.begun:
            if self._is_off(machine):
                return UpkeepOutcome.BUSY
            self.begun[machine] = self._load.now
            self._until[machine] = self._load.now + UPKEEP_SECONDS
            self.most_away = max(self.most_away, sum(map(self._is_off, self._workers)))
            self._replace(machine)
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            return UpkeepOutcome.UNKNOWN
        return UpkeepOutcome.BEGUN

    def _is_off(self, machine):
        return self._load.now < self._until.get(machine, 0.0)

    def _replace(self, machine):
        """End the machine's worker at once, and let a new one join."""
        load, old = self._load, self._workers[machine]
        load.ended_there = getattr(load, "ended_there", []) + list(
            load.workers[old].runs
        )
        owner = load.owner
        with owner.lock:
            link = owner.links_by_worker[old]
            owner.report_handler.lose_runs(link, "upkeep")
            owner.store_sync.drop_link(link)
            del load.workers[old], load._looked_at[old]
            new = old + "b"
            row = StoredRow("servers", "", new, _registration(new), 1)
            owner.store_sync.note_worker_rows([row])
        load.workers[new], load._looked_at[new] = Worker(new), load.now
        load._look(load.workers[new])
        self._workers[machine] = new


class Cell:
    """A pool under load whose machines have a wave."""

    def __init__(self, workers=6, length=0.8, at_once=2, seconds=60.0):
        self.load = load = Replay(workers=workers, length=length)
        self.machines = Machines(load)
        self.rows = load.host.store = Rows()
        names = [f"m-{name}" for name in load.workers]
        wave = Wave(7, [*names, "m-gone"], seconds, at_once)
        current = SimpleNamespace(pools={"pool"})
        load.host.configuration = SimpleNamespace(waves={KEY: wave}, current=current)
        load.host.settings = SimpleNamespace(
            upkeep_seconds=UPKEEP_SECONDS, host_name="h1"
        )
        self.take_over()

    def take_over(self):
        self.upkeep = Upkeep(self.load.owner, self.machines)

    def run(self, seconds, tasks=0):
        for _ in range(round(seconds / 0.5)):
            if tasks:
                self.load.hand_in(tasks)
            self.upkeep.step(self.load.host.configuration.waves)
            self.load.run(0.5)

    @property
    def is_over(self):
        return self.rows.value("status", "", KEY) == {"state": "completed"}


def test_all_machines_have_their_upkeep_in_time_and_few_at_once():
    cell = Cell()
    cell.run(0.5)
    assert cell.rows.value("status", "", KEY) == {"state": "running"}
    cell.run(20.0, tasks=4)
    assert cell.is_over
    assert (len(cell.machines.begun), cell.machines.most_away) == (6, 2)
    # Short tasks were let to end.
    assert cell.load.ended_there == []
    assert cell.load.stops == 0


def test_wave_without_time_stops_what_runs_and_is_in_time():
    """Tasks take an hour, and the wave is to be over within 20 s."""
    cell = Cell(length=3600.0, seconds=20.0)
    cell.load.hand_in(tasks=24)
    cell.load.run(1.0)
    began = cell.load.now
    cell.run(20.0)
    assert cell.is_over
    assert max(cell.machines.begun.values()) - began < 20.0
    assert cell.load.ended_there == []


@pytest.mark.parametrize("limit", [1, 2])
def test_lasting_step_never_has_more_tasks_away_than_it_allows(limit):
    """Each machine has tasks of one lasting step, and half of them have upkeep at once.

    Ended with their machines, the step would have lost up to half of its tasks at the
    same time, and its users their service.
    """
    cell = Cell(at_once=3, length=1.2)
    load = cell.load
    _make_endless(load)
    step = Step(6, Amounts(1000, 10), is_lasting=True, unavailable_limit=limit)
    document = JobDocument("a" * 16, "q", "pool", "t", [step], 0.0)
    load.owner.book.add(document, QUEUE, load.now)
    load.run(3.0)
    assert _at_work(load) == 6
    most = 0
    for _ in range(150):
        cell.upkeep.step(load.host.configuration.waves)
        _make_endless(load)
        most = max(most, 6 - _at_work(load))
        load.run(0.5)
    assert cell.is_over
    assert load.ended_there == []
    assert most <= limit


def _at_work(load):
    return sum(
        run.percent == 100 and run.stop_requested is None
        for room in load.owner.rooms
        for run in room.runs.values()
    )


def _make_endless(load):
    for worker in load.workers.values():
        worker.is_endless = True


def test_successor_counts_an_order_that_had_no_answer():
    """An owner orders an upkeep, has no answer, and is replaced.

    Its successor did not know of the order; had it ordered as many as the wave
    allows, one machine too many would have been away.
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
    assert (len(cell.machines.begun), cell.machines.most_away) == (6, 1)


def test_order_that_may_still_be_carried_out_counts_as_carried_out():
    """The same, and the order is on its way still when the successor decides."""
    cell = Cell(at_once=1)
    cell.machines.orders_to_delay = 1
    cell.run(0.5)
    assert cell.machines.begun == {}
    cell.take_over()
    cell.run(0.5)
    assert (len(cell.machines.begun), cell.machines.most_away) == (1, 1)


def test_nothing_is_ordered_without_its_record():
    cell = Cell()
    cell.run(0.5)
    begun = set(cell.machines.begun)
    cell.rows.is_away = True
    cell.run(5.0)
    assert set(cell.machines.begun) == begun
    cell.rows.is_away = False
    cell.run(20.0)
    assert cell.is_over and cell.machines.most_away <= 2


def test_record_whose_answer_was_lost_is_read_again():
    cell = Cell()
    cell.run(0.5)
    cell.rows.loses_answer = True
    cell.run(25.0)
    assert cell.is_over and cell.machines.most_away <= 2


def test_list_of_machines_that_is_away_puts_the_wave_off():
    cell = Cell()
    cell.machines.is_away = True
    cell.run(2.0)
    assert cell.machines.begun == {}
    cell.machines.is_away = False
    cell.run(25.0)
    assert cell.is_over


def test_wave_that_was_taken_back_opens_its_machines_again():
    cell = Cell(length=3600.0)
    cell.load.hand_in(tasks=24)
    cell.load.run(1.0)
    cell.run(1.0)
    assert sum(room.is_emptied for room in cell.load.owner.rooms) == 2
    cell.load.host.configuration.waves = {}
    cell.run(1.0)
    assert not any(room.is_emptied for room in cell.load.owner.rooms)
    assert cell.rows.value(WAVES_TABLE, "pool", KEY) is None


def test_wave_that_is_over_is_left_alone():
    cell = Cell()
    cell.run(25.0)
    assert cell.is_over
    cell.machines.begun.clear()
    cell.take_over()
    cell.run(5.0)
    assert cell.machines.begun == {}


def test_orders_carry_a_token_that_no_other_pool_has():
    """Two pools are owned at epoch 3, and a machine has moved from one to the other.

    Both owners' orders for it carried token 3: the platform can't tell a late one of
    the owner before from one of the owner of now.
    """
    cell = Cell()
    cell.run(1.0)
    assert set(cell.machines.tokens) == {cell.load.owner.row.version}
    assert cell.load.owner.row.version != cell.load.owner.row.epoch


def test_machine_of_a_pool_that_nobody_owns_has_its_upkeep_too():
    """A wave names a machine that waits in reserve, in a pool without queues."""
    cell = Cell()
    cell.machines.pools["m-w3"] = "reserve"
    cell.run(25.0)
    assert cell.is_over
    assert "m-w3" in cell.machines.begun


def test_machine_of_another_owner_is_left_to_it():
    cell = Cell()
    cell.machines.pools["m-w3"] = "quick"
    cell.load.host.configuration.current.pools = {"pool", "quick"}
    cell.run(25.0)
    # "quick" comes behind "pool" and has not begun its part.
    assert not cell.is_over
    assert set(cell.machines.begun) == {f"m-w{n}" for n in (0, 1, 2, 4, 5)}
    record = {"since": 0.0, "ordered": {}, "begun": ["m-w3"]}
    cell.rows.transact([], [RowWrite(WAVES_TABLE, "quick", KEY, record)])
    cell.run(2.0)
    assert cell.is_over


def test_owner_waits_for_the_pools_before_its_own():
    cell = Cell()
    cell.machines.pools["m-w3"] = "a-pool"
    cell.load.host.configuration.current.pools = {"pool", "a-pool"}
    cell.run(5.0)
    assert cell.machines.begun == {}
    record = {"since": 0.0, "ordered": {}, "begun": ["m-w3"]}
    cell.rows.transact([], [RowWrite(WAVES_TABLE, "a-pool", KEY, record)])
    cell.run(25.0)
    assert cell.is_over


def test_machine_that_is_being_emptied_stays_chosen():
    """What runs changes while a machine is emptied, and another has less to move.

    The other one was taken in its place, and the first took new work again: by turns,
    neither was ever empty.
    """
    machines = {name: Machine(name, "pool", True, "w" + name) for name in ("a", "b")}
    wave, record = Wave(1, ["a", "b"], 60.0, 1), WaveRecord(0.0)

    def choose(loads, emptied=()):
        return choose_machines(wave, record, machines, bool, loads, emptied)

    assert choose({"wa": 1000, "wb": 2000}) == ["a"]
    assert choose({"wa": 1000, "wb": 0}, emptied={"wa"}) == ["a"]
