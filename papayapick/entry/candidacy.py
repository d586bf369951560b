"""Detect that a pool has no working owner and take the pool over."""

import socket
import threading

from papayapick.clients.exceptions import TableUnavailable
from papayapick.entry.cell.beat_senders import beat_seconds
from papayapick.entry.cell.fan_out import is_large
from papayapick.entry.events import (
    CANDIDATE_WAITS,
    OWNER_GONE,
    OWNER_SILENT,
    POOL_LOST_RACE,
    POOL_NOT_TAKEN,
    POOL_UNREAD,
)
from papayapick.entry.takeover_order import size_deficit, takeover_delay
from papayapick.ownership.pools import OwnershipLost, PoolRow, claim_pool, read_pool
from papayapick.pool.owner import PoolOwner
from papayapick.pool.records.recording import RECORDS_TRUSTED_SECONDS
from papayapick.pool.records.store_sync import check_readable

__all__ = ["Candidacy"]

# Three missed heartbeats, so that a host that lost power is replaced within a second.
_SILENT_AFTER_BEATS = 3.25
_CHECK_INTERVAL_SECONDS = 0.05
_CONNECT_TIMEOUT_SECONDS = 0.2
_RETRY_SECONDS = 0.3


class Candidacy:
    """Watch the owner of one pool and take the pool over if it fails.

    Parameters
    ----------
    host : EntryHost
    pool : str
    """

    __slots__ = (
        "_claimed_epoch",
        "_given_way_epoch",
        "_last_beat_at",
        "_lost_race_epoch",
        "_newest_beat_epoch",
        "_host",
        "_is_suspected",
        "_lock",
        "_may_lack_records",
        "_records_reported_at",
        "_expected_version",
        "_wakeup",
        "owner",
        "pool",
        "row",
    )

    def __init__(self, host, pool):
        self._host = host
        self.pool = pool
        self.row = PoolRow(pool)
        self.owner = None
        self._claimed_epoch = 0
        self._last_beat_at = host.clock.monotonic()
        self._newest_beat_epoch = 0
        # Epoch of the owner if it asks for a successor.
        self._given_way_epoch = 0
        # Epoch under which another host won the pool while this one claimed it.
        self._lost_race_epoch = 0
        self._is_suspected = True
        self._may_lack_records = True
        self._records_reported_at = 0.0
        # Version of the row whose owner is expected to send heartbeats. The owner in
        # any other row is queried before it counts as silent.
        self._expected_version = None
        self._lock = threading.Lock()
        self._wakeup = threading.Event()

    @property
    def owned_epoch(self):
        """Return the epoch under which this process owns the pool, or 0.

        It is set before the store answers the claim. Otherwise a host that has already
        read the new row would get the answer 0 to its query and take the pool itself.
        """
        return self.owner.row.epoch if self.is_owner else self._claimed_epoch

    @property
    def known_epoch(self):
        """Return the newest epoch that this host has read or received in a beat."""
        return max(self.row.epoch, self._newest_beat_epoch)

    @property
    def has_read_row(self):
        """Return whether this process has read the row of the pool."""
        return self.row.version > 0

    @property
    def is_owner(self):
        """Return whether this process owns the pool."""
        return self.owner is not None and not self.owner.is_stopped

    def note_row(self, row):
        """Update the row of the pool to the one in the store.

        Parameters
        ----------
        row : PoolRow
        """
        with self._lock:
            if row.version < self.row.version:
                return
            # The first row that a process reads may name an owner that has ended.
            is_new = row.version > self.row.version > 0
            self.row = row
            if is_new and row.owner:
                self._expected_version = row.version
                self._last_beat_at = self._host.clock.monotonic()
                self._is_suspected = False
        owner = self.owner
        if self.is_owner and row.version > owner.row.version:
            owner.note_lost()
        if not row.owner:
            self._wakeup.set()

    def note_beat(self, beat):
        """Record an owner's heartbeat; return whether its epoch is the newest known."""
        with self._lock:
            self._newest_beat_epoch = max(self._newest_beat_epoch, beat.epoch)
            if beat.epoch < self.known_epoch:
                return False
            self._last_beat_at = self._host.clock.monotonic()
            self._expected_version = self.row.version
            self._may_lack_records = bool(beat.may_lack_records)
            self._records_reported_at = self._last_beat_at
            # A host that is cut off from the store still holds the row of an earlier
            # owner, so a heartbeat with a newer epoch takes precedence. Otherwise it
            # would try to take the pool every 0.3 s until the store is available.
            if beat.epoch > self.row.epoch or beat.host == self.row.owner:
                self._is_suspected = bool(beat.gives_way)
        self._given_way_epoch = beat.epoch if beat.gives_way else 0
        if beat.gives_way and not self._host.store_health.is_lost():
            self._wakeup.set()
        return True

    def note_disconnect(self, peer):
        """Check whether the owner still listens after its connection has ended."""
        if peer.host != self.row.owner or not self.row.address:
            return
        if _accepts_connections(self.row.address):
            return
        OWNER_GONE.write(pool=self.pool, owner=self.row.owner)
        self._is_suspected = True
        self._wakeup.set()

    def run(self):
        """Watch the owner until the process stops."""
        host = self._host
        while not host.stopping.is_set():
            host.clock.wait(self._wakeup, _CHECK_INTERVAL_SECONDS)
            self._wakeup.clear()
            suspected = self.row
            if self.is_owner or host.is_draining or not self._needs_owner():
                continue
            self._wait_for_better_hosts()
            if self._needs_owner() and not host.is_draining:
                self._log_suspicion()
                self._try_takeover(suspected)

    def _wait_for_better_hosts(self):
        """Wait so that hosts that are nearer to the store, or larger, try first."""
        delay = takeover_delay(self._host)
        store_seconds = self._host.store_seconds
        CANDIDATE_WAITS.write(
            pool=self.pool,
            epoch=self.row.epoch,
            owner=self.row.owner,
            delay_seconds=round(delay, 3),
            store_seconds=None if store_seconds is None else round(store_seconds, 4),
            smallness=round(size_deficit(self._host), 2),
        )
        self._host.clock.wait(self._host.stopping, delay)

    def _needs_owner(self):
        if not self._host.has_read_hosts:
            # A host that has just started does not know the owner's address yet. It
            # cannot query the owner and would take the pool from a working one.
            return False
        silence = self._host.clock.monotonic() - self._last_beat_at
        return (
            not self.row.owner
            or self._is_suspected
            or silence > _SILENT_AFTER_BEATS * beat_seconds(self._other_hosts())
        )

    def _other_hosts(self):
        return len(self._host.peers.all())

    def _log_suspicion(self):
        silent = self._host.clock.monotonic() - self._last_beat_at
        OWNER_SILENT.write(
            pool=self.pool,
            epoch=self.row.epoch,
            owner=self.row.owner,
            silent_seconds=round(silent, 3),
            is_reported=self._is_suspected,
        )

    def _try_takeover(self, suspected):
        """Take the pool if its owner is still the suspected one."""
        host = self._host
        try:
            row = read_pool(host.store, self.pool)
            self.note_row(row)
            # Another host may have taken the pool in the meantime, and its row may have
            # arrived through the followed table during this call.
            is_other = row.version != suspected.version
            is_unexpected = row.version != self._expected_version
            if (is_other or is_unexpected) and self._has_working_owner(row, suspected):
                self._expect_beats()
                return
            check_readable(host, self.pool)
            if not self._needs_owner():
                # The owner's heartbeat arrived in the meantime, so it is working.
                return
            name = host.settings.host_name
            address = "{}:{}".format(*host.settings.peer_address)
            self._claimed_epoch = row.epoch + 1
            taken = claim_pool(host.store, self._with_loss(row), name, address)
        except OwnershipLost:
            self._claimed_epoch = 0
            self._lost_race_epoch = row.epoch + 1
            POOL_LOST_RACE.write(pool=self.pool, epoch=self.row.epoch)
            self._expect_winner()
            return
        except TableUnavailable as error:
            self._claimed_epoch = 0
            POOL_NOT_TAKEN.write(pool=self.pool, epoch=self.row.epoch, error=str(error))
            host.clock.wait(host.stopping, _RETRY_SECONDS)
            return
        self._start_owner(taken)

    def _with_loss(self, row):
        """Return the row of a pool, with the loss of its owner if that was lost.

        An owner that was asked to leave ends its connections to the workers. Of any
        other one it isn't known here whether its process ended or its power.
        """
        if not row.owner or self._given_way_epoch >= row.epoch:
            return row
        return row.with_loss(self._host.clock.time())

    def _expect_winner(self):
        """Give the host that has just taken the pool time for its first heartbeats."""
        self._last_beat_at = self._host.clock.monotonic()
        if not is_large(self._other_hosts()):
            # This host asks the winner when it tries again.
            return
        try:
            row = read_pool(self._host.store, self.pool)
        except TableUnavailable as error:
            POOL_NOT_TAKEN.write(pool=self.pool, epoch=self.row.epoch, error=str(error))
            return
        self.note_row(row)
        self._expect_beats()

    def _expect_beats(self):
        with self._lock:
            self._expected_version = self.row.version
            self._last_beat_at = self._host.clock.monotonic()
            self._is_suspected = False

    def _has_working_owner(self, row, suspected):
        """Return whether the owner that a row names has just taken it, or confirms it.

        After a power loss of all hosts the row names a process that no longer exists,
        or one that has restarted and owns nothing. Waiting for its heartbeats
        would add 0.65 s to each recovery.
        """
        if not row.owner or row.owner == self._host.settings.host_name:
            return False
        # The row was written while this host waited and checked. Hundreds of hosts
        # that ask the new owner would keep it from its first heartbeats.
        is_fresh = row.version > suspected.version > 0
        return is_fresh or self._host.is_owned_by(row) or self._is_unknown_winner(row)

    def _is_unknown_winner(self, row):
        """Return whether a host that can't be asked yet has just won the pool.

        When all hosts of a cell start, one may lose the race for a pool before it has
        read the row of the winner, and would take the pool from a working owner.
        """
        is_unknown = self._host.peers.get(row.owner) is None
        return is_unknown and row.epoch == self._lost_race_epoch

    def _trusts_records(self):
        """Return whether every start so far was recorded before it was ordered."""
        age = self._host.clock.monotonic() - self._records_reported_at
        return not self._may_lack_records and age < RECORDS_TRUSTED_SECONDS

    def _start_owner(self, row):
        owner = PoolOwner(self._host, row, self._trusts_records())
        self.note_row(row)
        # Set before the state is read, so that other hosts' queries for the owner are
        # answered.
        self.owner = owner
        self._claimed_epoch = 0
        try:
            # Heartbeats begin before the state is read, which takes a second while the
            # store is slow: otherwise other hosts would take the pool in the meantime.
            self._host.note_owner(owner)
            owner.start()
        except TableUnavailable as error:
            POOL_UNREAD.write(pool=self.pool, epoch=row.epoch, error=str(error))
            owner.release()
            return
        except Exception:
            # The pool would stay without a working owner until its row has expired.
            owner.release()
            raise
        self._host.broadcast(owner)


def _accepts_connections(address):
    host, _, port = address.rpartition(":")
    try:
        socket.create_connection((host, int(port)), _CONNECT_TIMEOUT_SECONDS).close()
    except OSError:
        return False
    return True
