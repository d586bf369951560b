"""Bring the machines of a pool to their upkeep, wave by wave."""

from papayapick.clients.exceptions import ConditionFailed, TableUnavailable
from papayapick.clients.rows import Expectation, RowWrite
from papayapick.placement.waves import (
    WaveRecord,
    choose_machines,
    patience_seconds,
    runs_to_move,
)
from papayapick.platform.exceptions import CheckFailed
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

__all__ = ["Upkeep"]

WAVES_TABLE = "waves"
_LOOK_SECONDS = 0.25
# The list of machines and the records are read so often while a wave is open; each
# call is paid for, and the list takes 60 a second of all hosts together.
_STEP_SECONDS = 0.5


class _Open:
    """Hold a wave that is not over, as this owner knows it."""

    __slots__ = ("emptied_since", "is_told", "others", "record", "wave")

    def __init__(self, wave, record):
        self.wave = wave
        self.record = record
        # Machines whose upkeep owners of other pools have begun.
        self.others = set()
        # Monotonic seconds, by worker.
        self.emptied_since = {}
        self.is_told = False


class Upkeep:
    """Empty machines, order their upkeep, and tell how far each wave is.

    Each order is recorded before it leaves: one without an answer may be carried out
    seconds later, and a successor that did not know of it would send one machine more
    than the wave allows. A wave over several pools is done pool by pool, in the order
    of their names, since two owners could not count what the other has just begun.

    Parameters
    ----------
    owner : PoolOwner
    machines : MachineList
    """

    __slots__ = ("_is_unsure", "_machines", "_open", "_over", "_owner")

    def __init__(self, owner, machines):
        self._owner = owner
        self._machines = machines
        self._open = {}
        self._over = set()
        self._is_unsure = False

    def run(self):
        """Look for waves until the owner stops."""
        while not self._owner.is_stopped:
            self._owner.pause(_LOOK_SECONDS)
            waves = self._owner.host.configuration.waves
            if not self._owner.may_act() or not self._has_work(waves):
                continue
            self.step(waves)
            self._owner.pause(_STEP_SECONDS)

    def _has_work(self, waves):
        return bool(self._open) or any(key not in self._over for key in waves)

    def step(self, waves):
        """Do what can be done now for each wave that is not over.

        Parameters
        ----------
        waves : dict of str to Wave
            By key of the operator's row.
        """
        try:
            if self._is_unsure:
                for key, found in self._open.items():
                    self._read_records(key, found)
                self._is_unsure = False
            self._open_new(waves)
            if not self._open:
                return
            machines = {one.name: one for one in self._machines.fetch()}
            for key in list(self._open):
                self._advance(key, machines)
        except (CheckFailed, TableUnavailable, ConditionFailed) as error:
            # Tried again at the next step, from what is stored: an order may leave only
            # once its record is sure. A newer owner is met by the ownership status.
            self._is_unsure = True
            WAVE_PUT_OFF.write(pool=self._owner.pool, error=str(error))

    def _open_new(self, waves):
        for key in [key for key in self._open if key not in waves]:
            # The operator has taken it back.
            self._empty_only(self._open.pop(key), ())
        for key, wave in waves.items():
            if key in self._over or key in self._open:
                continue
            if is_wave_over(self._read(STATUS_TABLE, "", key)[0]):
                self._over.add(key)
                continue
            record = WaveRecord(self._owner.host.clock.time())
            self._open[key] = found = _Open(wave, record)
            self._read_records(key, found)

    def _advance(self, key, machines):
        found = self._open[key]
        wave, record = found.wave, found.record
        record.note_machines(machines)
        if not found.is_told:
            self._tell(key, is_over=False)
            found.is_told = True
        if any(self._is_of_earlier_pool(found, machines, name) for name in machines):
            self._read_records(key, found)
            return
        chosen = choose_machines(
            wave, record, machines, self._is_own, self._loads(), found.emptied_since
        )
        self._empty_only(found, {machines[name].worker for name in chosen})
        left = [
            name
            for name in wave.machines
            if name in machines and name not in record.begun | found.others
        ]
        if not left:
            self._tell(key, is_over=True)
            self._over.add(key)
            del self._open[key]
            return
        rest = record.since + wave.seconds - self._owner.host.clock.time()
        patience = patience_seconds(
            rest, len(left), wave.at_once, self._owner.host.settings.upkeep_seconds
        )
        for name in chosen:
            if self._is_empty(found, machines[name].worker, patience):
                self._order(key, found, machines[name])
        if not chosen:
            self._read_records(key, found)

    def _is_of_earlier_pool(self, found, machines, name):
        return (
            name in found.wave.machines
            and self._caring_pool(machines[name]) < self._owner.pool
            and name not in found.others
        )

    def _is_own(self, machine):
        return self._caring_pool(machine) == self._owner.pool

    def _caring_pool(self, machine):
        """Return the pool whose owner cares for a machine.

        A pool that no queue uses has no owner; its machines run nothing of ours, and
        the first pool's owner orders their upkeep. A wave with such machines would
        else never be over.
        """
        current = self._owner.host.configuration.current
        pools = current.pools if current is not None else {self._owner.pool}
        return machine.pool if machine.pool in pools else min(pools)

    # Emptying machines.

    def _loads(self):
        with self._owner.lock:
            return {
                room.worker: room.registration.capacity.processors - room.processors
                for room in self._owner.rooms
            }

    def _empty_only(self, found, workers):
        """Place nothing more on these workers, and on the others again."""
        now = self._owner.now()
        with self._owner.lock:
            for worker in [one for one in found.emptied_since if one not in workers]:
                del found.emptied_since[worker]
                self._set_emptied(worker, False)
            for worker in workers:
                found.emptied_since.setdefault(worker, now)
                self._set_emptied(worker, True)
        self._owner.wake()

    def _set_emptied(self, worker, is_emptied):
        room = self._owner.rooms.get(worker)
        link = self._owner.links_by_worker.get(worker)
        if room is not None and link is not None:
            room.is_emptied = is_emptied
            self._owner.report_handler.open_or_close(link)

    def _is_empty(self, found, worker, patience):
        """Stop what is to leave a worker; return whether nothing is left there."""
        now = self._owner.now()
        with self._owner.lock:
            room = self._owner.rooms.get(worker)
            if room is None:
                return True
            is_over = now - found.emptied_since.get(worker, now) >= patience
            moved = runs_to_move(room, self._owner.book.step_of, is_over)
            for run in moved:
                self._owner.orders.stop_once(run, now)
            return not room.runs

    # Ordering upkeep.

    def _order(self, key, found, machine):
        owner, record = self._owner, found.record
        if machine.name not in record.ordered:
            record.ordered[machine.name] = machine.worker
            self._write_record(key, record)
        # The record may have taken long.
        if not owner.may_act():
            return
        # Epochs count for each pool by itself, and a machine may have been in another
        # pool before. The version of the owner's row is of one counter for all rows:
        # no two owners ever have the same, and a later one has a higher.
        outcome = self._machines.begin_upkeep(
            machine.name,
            found.wave.number,
            owner.host.settings.host_name,
            owner.row.version,
        )
        fields = {"machine": machine.name, "wave": found.wave.number}
        if outcome == UpkeepOutcome.BEGUN:
            record.begun.add(machine.name)
            UPKEEP_BEGUN.write(**fields, worker=machine.worker, epoch=owner.row.epoch)
            self._write_record(key, record)
            return
        UPKEEP_NOT_BEGUN.write(**fields, reason=outcome.value)
        if outcome == UpkeepOutcome.FENCED:
            owner.ownership_status.invalidate()
            owner.host.look_at_owner(owner)

    def _write_record(self, key, record):
        write = RowWrite(WAVES_TABLE, self._owner.pool, key, record.as_value())
        expectation = Expectation(WAVES_TABLE, self._owner.pool, key, record.version)
        record.version = self._owner.host.store.transact(
            [self._owner.row.expectation, expectation], [write]
        )

    def _read_records(self, key, found):
        """Read what was recorded of a wave, by owners of other pools too."""
        pool = self._owner.pool
        value, version = self._read(WAVES_TABLE, pool, key)
        if value is not None:
            found.record = WaveRecord.from_row(value, version)
        else:
            found.record = WaveRecord(found.record.since)
        found.others = set()
        current = self._owner.host.configuration.current
        for other in sorted(current.pools if current is not None else ()):
            if other != pool:
                value, version = self._read(WAVES_TABLE, other, key)
                if value is not None:
                    found.others |= WaveRecord.from_row(value, version).begun

    def _read(self, table, partition, key):
        """Return value and version of a row; None and 0 where there is none."""
        page = self._owner.host.store.read(table, partition, key, limit=1)
        for row in page.rows:
            if row.key == key:
                return row.value, row.version
        return None, 0

    def _tell(self, key, is_over):
        value, version = self._read(STATUS_TABLE, "", key)
        status = encode_wave_status(is_over)
        if value != status and not is_wave_over(value):
            self._owner.host.store.transact(
                [Expectation(STATUS_TABLE, "", key, version)],
                [RowWrite(STATUS_TABLE, "", key, status)],
            )
        WAVE_STATUS.write(wave=key, is_over=is_over, pool=self._owner.pool)
