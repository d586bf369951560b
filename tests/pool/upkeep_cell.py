"""A simulated pool whose machines have their upkeep in a wave."""

from types import SimpleNamespace

from papayapick.clients.exceptions import ConditionFailed, TableUnavailable
from papayapick.clients.rows import Page, StoredRow
from papayapick.placement.release.waves import Wave
from papayapick.platform.exceptions import CallFailed
from papayapick.platform.machines import Machine, UpkeepOutcome
from papayapick.pool.rounds.upkeep import UpkeepCoordinator
from tests.pool.standins import PoolSimulation, Worker, _registration

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
