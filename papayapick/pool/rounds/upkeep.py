"""Drain the machines of a pool and order their upkeep, wave by wave."""

from papayapick.clients.exceptions import ConditionFailed, TableUnavailable
from papayapick.clients.rows import Expectation, RowWrite
from papayapick.placement.release.waves import (
    WaveRecord,
    choose_machines,
    drain_limit_seconds,
    runs_to_stop,
)
from papayapick.platform.exceptions import CallFailed
from papayapick.platform.machines import UpkeepOutcome
from papayapick.platform.waves import (
    STATUS_TABLE,
    encode_wave_status,
    is_wave_over,
)
from papayapick.pool.events import (
    UPKEEP_BEGUN,
    UPKEEP_NOT_BEGUN,
    WAVE_PUT_OFF,
    WAVE_STATUS,
)

__all__ = ["UpkeepCoordinator"]

WAVES_TABLE = "waves"
_CHECK_INTERVAL_SECONDS = 0.25
# Least time between two reads of machines and records while a wave is open: each call
# is billed, and the list accepts 60 calls a second from all hosts together.
_STEP_INTERVAL_SECONDS = 0.5


class _OpenWave:
    """Hold a wave that is not over, as this owner knows it.

    Parameters
    ----------
    wave : Wave
    record : WaveRecord

    Attributes
    ----------
    begun_elsewhere : set of str
        Machines whose upkeep owners of other pools have begun.
    draining_since : dict of str to float
        Monotonic seconds by worker.
    is_announced : bool
        Whether the status row of the wave was written by this owner.
    """

    __slots__ = ("begun_elsewhere", "draining_since", "is_announced", "record", "wave")

    def __init__(self, wave, record):
        self.wave = wave
        self.record = record
        self.begun_elsewhere = set()
        self.draining_since = {}
        self.is_announced = False


class UpkeepCoordinator:
    """Drain machines, order their upkeep, and publish the status of each wave.

    Each order is recorded before it is sent: an order without an answer may be executed
    seconds later, and a successor that did not know of it would take one machine more
    out of service than the wave allows. A wave over several pools is done pool by pool,
    in the order of their names, as two owners working at the same time could not count
    what the other one has just begun.

    Parameters
    ----------
    owner : PoolOwner
    machines : MachineClient
    """

    __slots__ = ("_finished", "_machines", "_must_reload", "_open", "_owner")

    def __init__(self, owner, machines):
        self._owner = owner
        self._machines = machines
        self._open = {}
        self._finished = set()
        self._must_reload = False

    def run(self):
        """Work on open waves until the owner stops."""
        while not self._owner.is_stopped:
            self._owner.pause(_CHECK_INTERVAL_SECONDS)
            waves = self._owner.host.configuration.waves
            if not self._owner.may_act() or not self._has_work(waves):
                continue
            self.step(waves)
            self._owner.pause(_STEP_INTERVAL_SECONDS)

    def _has_work(self, waves):
        return bool(self._open) or any(key not in self._finished for key in waves)

    def step(self, waves):
        """Advance each wave that is not over by what can be done now.

        Parameters
        ----------
        waves : dict of str to Wave
            By key of the operator's row.
        """
        try:
            if self._must_reload:
                for key, open_wave in self._open.items():
                    self._read_records(key, open_wave)
                self._must_reload = False
            self._open_new(waves)
            if not self._open:
                return
            machines = {machine.name: machine for machine in self._machines.fetch()}
            for key in list(self._open):
                self._advance(key, machines)
        except (CallFailed, TableUnavailable, ConditionFailed) as error:
            # The next step starts again from the stored records, as an order may be
            # sent only once its record is durable. A replacement by a newer owner is
            # detected by ``owner.ownership_status``.
            self._must_reload = True
            WAVE_PUT_OFF.write(pool=self._owner.pool, error=str(error))

    def _open_new(self, waves):
        for key in [key for key in self._open if key not in waves]:
            # The operator has withdrawn the wave.
            self._drain_only(self._open.pop(key), ())
        for key, wave in waves.items():
            if key in self._finished or key in self._open:
                continue
            if is_wave_over(self._read(STATUS_TABLE, "", key)[0]):
                self._finished.add(key)
                continue
            record = WaveRecord(self._owner.host.clock.time())
            self._open[key] = open_wave = _OpenWave(wave, record)
            self._read_records(key, open_wave)

    def _advance(self, key, machines):
        open_wave = self._open[key]
        wave, record = open_wave.wave, open_wave.record
        record.note_machines(machines)
        if not open_wave.is_announced:
            self._publish_status(key, is_over=False)
            open_wave.is_announced = True
        if any(
            self._waits_for_earlier_pool(open_wave, machines, name) for name in machines
        ):
            self._read_records(key, open_wave)
            return
        chosen = choose_machines(
            wave,
            record,
            machines,
            self._is_own,
            self._loads(),
            open_wave.draining_since,
        )
        self._drain_only(open_wave, {machines[name].worker for name in chosen})
        remaining = [
            name
            for name in wave.machines
            if name in machines and name not in record.begun | open_wave.begun_elsewhere
        ]
        if not remaining:
            self._publish_status(key, is_over=True)
            self._finished.add(key)
            del self._open[key]
            return
        seconds_left = record.since + wave.seconds - self._owner.host.clock.time()
        drain_limit = drain_limit_seconds(
            seconds_left,
            len(remaining),
            wave.at_once,
            self._owner.host.settings.upkeep_seconds,
        )
        for name in chosen:
            if self._drain(open_wave, machines[name].worker, drain_limit):
                self._order(key, open_wave, machines[name])
        if not chosen:
            self._read_records(key, open_wave)

    def _waits_for_earlier_pool(self, open_wave, machines, name):
        return (
            name in open_wave.wave.machines
            and self._responsible_pool(machines[name]) < self._owner.pool
            and name not in open_wave.begun_elsewhere
        )

    def _is_own(self, machine):
        return self._responsible_pool(machine) == self._owner.pool

    def _responsible_pool(self, machine):
        """Return the pool whose owner orders the upkeep of a machine.

        Only the owner of a machine's own pool can drain it, so it orders the upkeep as
        long as there is one: a pool whose queue was removed or moved keeps its owner
        for its jobs. Tasks of several machines would be ended at once otherwise. A pool
        without an owner has no jobs. The owner of the first pool by name orders the
        upkeep there; otherwise a wave with such machines would never be over.
        """
        is_owned = machine.pool in self._owned_pools()
        # Before all stored jobs were looked for, the pool may have an owner elsewhere.
        if is_owned or not self._owner.host.watched_pools.has_looked:
            return machine.pool
        return min(self._configured_pools() or self._owned_pools())

    def _configured_pools(self):
        current = self._owner.host.configuration.current
        return set() if current is None else set(current.pools)

    def _owned_pools(self):
        """Return the pools that have an owner, or get one soon."""
        watched = self._owner.host.watched_pools.pools
        return {self._owner.pool} | self._configured_pools() | watched

    # Draining machines.

    def _loads(self):
        with self._owner.lock:
            return {
                room.worker: room.registration.capacity.processors - room.processors
                for room in self._owner.rooms
            }

    def _drain_only(self, open_wave, workers):
        """Drain these workers, and allow placement on the others again."""
        now = self._owner.now()
        with self._owner.lock:
            for worker in [
                one for one in open_wave.draining_since if one not in workers
            ]:
                del open_wave.draining_since[worker]
                self._set_draining(worker, False)
            for worker in workers:
                open_wave.draining_since.setdefault(worker, now)
                self._set_draining(worker, True)
        self._owner.wake()

    def _set_draining(self, worker, is_draining):
        room = self._owner.rooms.get(worker)
        link = self._owner.links_by_worker.get(worker)
        if room is not None and link is not None:
            room.is_draining = is_draining
            self._owner.report_handler.update_availability(link)

    def _drain(self, open_wave, worker, drain_limit):
        """Stop the runs that have to leave a worker; return whether it runs nothing."""
        now = self._owner.now()
        with self._owner.lock:
            room = self._owner.rooms.get(worker)
            if room is None:
                return True
            is_limit_reached = (
                now - open_wave.draining_since.get(worker, now) >= drain_limit
            )
            to_move = runs_to_stop(
                room, self._owner.job_registry.step_of, is_limit_reached
            )
            for run in to_move:
                self._owner.orders.stop_once(run, now)
            return self._are_runs_known(worker) and not room.runs

    def _are_runs_known(self, worker):
        """Return whether a worker has listed all its runs and ends, or can have none.

        Guards against upkeep just after a takeover that ends what an earlier owner
        started there, and with it ends that nobody has read: these tasks would run
        again.
        """
        link = self._owner.links_by_worker.get(worker)
        is_awaited = self._owner.reconciliation.waits_for(worker)
        return link is None or link.has_listed_all or not is_awaited

    # Ordering upkeep.

    def _order(self, key, open_wave, machine):
        owner, record = self._owner, open_wave.record
        if machine.name not in record.ordered:
            record.ordered[machine.name] = machine.worker
            self._write_record(key, record)
        # Ownership may have lapsed while the record was written.
        if not owner.may_act():
            return
        # The epoch can't be the fencing token: each pool counts its own, and a machine
        # may have been in another pool before. Versions of rows come from one counter
        # for all rows: no two owners have the same, and a later owner has a higher one.
        outcome = self._machines.begin_upkeep(
            machine.name,
            open_wave.wave.number,
            owner.host.settings.host_name,
            owner.row.version,
        )
        fields = {"machine": machine.name, "wave": open_wave.wave.number}
        if outcome == UpkeepOutcome.BEGUN:
            record.begun.add(machine.name)
            UPKEEP_BEGUN.write(**fields, worker=machine.worker, epoch=owner.row.epoch)
            self._write_record(key, record)
            return
        UPKEEP_NOT_BEGUN.write(**fields, reason=outcome.value)
        if outcome == UpkeepOutcome.FENCED:
            owner.ownership_status.invalidate()
            owner.host.verify_ownership(owner)

    def _write_record(self, key, record):
        write = RowWrite(WAVES_TABLE, self._owner.pool, key, record.as_value())
        expectation = Expectation(WAVES_TABLE, self._owner.pool, key, record.version)
        record.version = self._owner.host.store.transact(
            [self._owner.row.expectation, expectation], [write]
        )

    def _read_records(self, key, open_wave):
        """Read the records of a wave, those of the other pools' owners included."""
        pool = self._owner.pool
        value, version = self._read(WAVES_TABLE, pool, key)
        if value is not None:
            open_wave.record = WaveRecord.from_row(value, version)
        else:
            open_wave.record = WaveRecord(open_wave.record.since)
        open_wave.begun_elsewhere = set()
        for other in sorted(self._owned_pools() - {pool}):
            value, version = self._read(WAVES_TABLE, other, key)
            if value is not None:
                begun = WaveRecord.from_row(value, version).begun
                open_wave.begun_elsewhere |= begun

    def _read(self, table, partition, key):
        """Return the value and version of a row; None and 0 if it doesn't exist."""
        page = self._owner.host.store.read(table, partition, key, limit=1)
        for row in page.rows:
            if row.key == key:
                return row.value, row.version
        return None, 0

    def _publish_status(self, key, is_over):
        value, version = self._read(STATUS_TABLE, "", key)
        status = encode_wave_status(is_over)
        if value != status and not is_wave_over(value):
            self._owner.host.store.transact(
                [Expectation(STATUS_TABLE, "", key, version)],
                [RowWrite(STATUS_TABLE, "", key, status)],
            )
        WAVE_STATUS.write(wave=key, is_over=is_over, pool=self._owner.pool)
