"""Put the parts of an entry host together."""

import os
import threading
from concurrent.futures import ThreadPoolExecutor

from papayapick.clients.exceptions import TableUnavailable
from papayapick.clients.http import HttpPool
from papayapick.clock import BootClock
from papayapick.entry.acceptance import Acceptance
from papayapick.entry.advisers import AdviceDesk
from papayapick.entry.answers import PeerAnswers
from papayapick.entry.application import Application
from papayapick.entry.board import StateBoard
from papayapick.entry.candidacy import Candidacy
from papayapick.entry.configuration import ConfigurationWatcher
from papayapick.entry.distance import StoreDistance
from papayapick.entry.events import (
    LOOP_FAILED,
    OWNER_UNCONFIRMED,
    READINESS_CHANGED,
)
from papayapick.entry.followers import (
    FOLLOW_WAIT_SECONDS,
    OWNER_WAIT_SECONDS,
    follow_table,
)
from papayapick.entry.joining import cell_key, register
from papayapick.entry.lines import OwnerLines
from papayapick.entry.metrics import (
    CONFIGURATION_AGE_SECONDS,
    CONFIGURATION_VERSION,
    STORE_AGE_SECONDS,
    STORE_SECONDS,
)
from papayapick.entry.peers import HOSTS_PARTITION, Peers
from papayapick.entry.probing import StoreProbe
from papayapick.entry.queues import KnownQueues
from papayapick.entry.relays import RelayedStore, StoreRelay
from papayapick.entry.servers import FrontServer
from papayapick.entry.store_health import StoreHealth
from papayapick.entry.writers import GroupWriter
from papayapick.ownership.pools import CELL_TABLE, pool_row, read_pool
from papayapick.platform.machines import MachineList
from papayapick.platform.store import Store
from papayapick.pool.metrics import OWNED_POOLS, WAITING_JOBS
from papayapick.wire import CellKeys, PeerServer
from papayapick.wire.messages import Hello

__all__ = ["EntryHost"]

_TASKS = 256
_STORE_CALL_SECONDS = 2.0
_WORKER_CALL_SECONDS = 1.0
# Without a word of the store for so long, a host is not ready for callers.
_STORE_AWAY_SECONDS = 2.6
# Before the platform kills the process, what is under way has ended.
_GRACE_SLACK_SECONDS = 1.5
# Nobody has taken over; the last ends are recorded and the pool is freed.
_GIVE_UP_SECONDS = 1.2


class EntryHost:
    """Run all that an entry host does.

    Parameters
    ----------
    settings : PlatformSettings
    clock : Clock, optional
    """

    def __init__(self, settings, clock=None):
        self.settings = settings
        self.clock = clock or BootClock()
        self.started_at = self.clock.monotonic()
        self.stopping = threading.Event()
        self.is_draining = False
        # Whether the rows of the other hosts were read.
        self.knows_cell = False
        self.executor = ThreadPoolExecutor(_TASKS, thread_name_prefix="entry")
        self._store_distance = StoreDistance()
        self.store = Store(
            settings.store_address,
            HttpPool(_STORE_CALL_SECONDS),
            self.clock,
            self._observe_store,
        )
        self.worker_pool = HttpPool(_WORKER_CALL_SECONDS)
        self.machines = MachineList(settings.machines_address, self.worker_pool)
        self.board = StateBoard(self.clock)
        self.configuration = ConfigurationWatcher(self)
        self.relayed_store = RelayedStore(self)
        self.writer = GroupWriter(
            self.relayed_store, self.clock, self.stopping, self.executor
        )
        self.acceptance = Acceptance(self.relayed_store, self.writer, self.board)
        self.advice = AdviceDesk(self, HttpPool(_WORKER_CALL_SECONDS))
        self.peers = None
        self.store_health = StoreHealth(self.clock)
        self._probe = StoreProbe(
            self.store,
            self.store_health,
            self.clock,
            self.stopping,
            self.relayed_store.note_return,
        )
        self._relay = StoreRelay(self)
        self._candidacies = {}
        self._was_ready = False
        self._lines = OwnerLines(self, self._candidacies)
        self._queues = KnownQueues()
        self._front = FrontServer(settings, Application(self))
        self._peer_server = None

    @property
    def store_seconds(self):
        """Return the seconds that a short call of the store takes; None if unknown."""
        return self._store_distance.seconds

    # Life.

    def start(self):
        """Answer health checks at once, then join the cell."""
        self.executor.submit(self._front.run)
        self.executor.submit(self._run_loop, "join", self._join)

    def stop(self):
        """Hand over, finish what is under way, and end."""
        self.is_draining = True
        for candidacy in list(self._candidacies.values()):
            if candidacy.is_owner:
                # As a task: a store that is away must not hold up the end.
                self.executor.submit(self._hand_over, candidacy.owner)
        rest = self.settings.grace_seconds - _GRACE_SLACK_SECONDS
        self.clock.wait(self.stopping, rest)
        self.stopping.set()
        self._front.close()

    def _hand_over(self, owner):
        """Go on as owner until another host has taken the pool."""
        owner.request_successor()
        # All at the same time: who hears of it first would have the pool before the
        # largest host, which waits for nobody, knows that it is wanted.
        self._lines.beat_now()
        rest = self.settings.grace_seconds - _GRACE_SLACK_SECONDS - _GIVE_UP_SECONDS
        owner.pause(rest)
        if not owner.is_stopped:
            owner.release()

    def is_ready(self):
        """Return whether this host can accept jobs."""
        is_ready = (
            not self.is_draining
            and self.configuration.current is not None
            and self.store_health.age() < _STORE_AWAY_SECONDS
        )
        if is_ready != self._was_ready:
            self._was_ready = is_ready
            READINESS_CHANGED.write(
                is_ready=is_ready,
                is_draining=self.is_draining,
                configuration_version=self.configuration.version,
                store_age_seconds=self.store_health.shown_age(),
            )
        return is_ready

    def owned_pools(self):
        """Return the names of the pools that this process owns."""
        return [one.pool for one in list(self._candidacies.values()) if one.is_owner]

    def owner_names(self):
        """Return the names of the hosts that own pools, as far as is known here."""
        return {one.row.owner for one in list(self._candidacies.values())}

    def refresh_metrics(self):
        """Set the gauges, for whoever is about to read them."""
        STORE_AGE_SECONDS.set(self.store_health.age())
        CONFIGURATION_VERSION.set(self.configuration.version)
        CONFIGURATION_AGE_SECONDS.set(self.configuration.age())
        OWNED_POOLS.set(len(self.owned_pools()))
        WAITING_JOBS.clear()
        for queue, count in self.board.all_waiting().items():
            WAITING_JOBS.labels(queue).set(count)

    def _run_loop(self, name, step):
        try:
            step()
        except Exception:
            # A host without one of its loops serves nobody well; it is started
            # again by whoever started it.
            LOOP_FAILED.write_failure(loop=name)
            os._exit(1)

    def _join(self):
        keys = CellKeys([cell_key(self)])
        settings = self.settings
        identity = Hello(
            host=settings.host_name, region=settings.region, zone=settings.zone
        )
        self.peers = Peers(self, keys, identity, self.executor)
        answers = PeerAnswers(self, self._candidacies, self._relay)
        self._peer_server = PeerServer(
            settings.peer_address,
            keys,
            identity,
            answers.answer,
            self.executor,
            on_end=answers.note_end,
        )
        self._peer_server.start()
        register(self)
        for name, step in (
            ("configuration", self.configuration.run),
            ("cell", self._follow_cell),
            ("probe", self._probe.run),
        ):
            self.executor.submit(self._run_loop, name, step)

    # What the store says.

    def _observe_store(self, operation, outcome, seconds):
        STORE_SECONDS.labels(operation, outcome).observe(seconds)
        self._store_distance.note_call(operation, outcome, seconds)

    def follow(
        self, table, version, on_rows, read_all, stopping, gather=0.0, on_complete=None
    ):
        """Follow a table; see ``follow_table``."""
        follow_table(
            self.store,
            self.clock,
            table,
            version,
            on_rows,
            read_all,
            stopping,
            self._note_store_answer,
            self.store_health.note_failure,
            # Jobs that were accepted wait until a feed that fell silent is noticed.
            lambda: OWNER_WAIT_SECONDS,
            gather,
            on_complete,
        )

    def _note_store_answer(self, asked_at):
        self.store_health.note_word()

    def _follow_cell(self):
        follow_table(
            self.store,
            self.clock,
            CELL_TABLE,
            None,
            self._note_cell_rows,
            self._read_cell,
            self.stopping,
            self._note_cell_answer,
            self.store_health.note_failure,
            self._cell_wait_seconds,
        )

    def _cell_wait_seconds(self):
        # An owner notices soon that it is cut off from the store.
        is_owner = any(one.is_owner for one in list(self._candidacies.values()))
        return OWNER_WAIT_SECONDS if is_owner else FOLLOW_WAIT_SECONDS

    def _read_cell(self):
        rows, version = self.store.read_all(CELL_TABLE, HOSTS_PARTITION)
        for pool in list(self._candidacies):
            rows += self.store.read_all(CELL_TABLE, pool)[0]
        return rows, version

    def _note_cell_rows(self, rows):
        for row in rows:
            if row.partition == HOSTS_PARTITION:
                self.peers.note_row(row)
                is_own = row.key == self.settings.host_name
                if is_own and row.value is None and not self.is_draining:
                    # An owner that did not hear this host for long took it for gone.
                    self.executor.submit(register, self)
                continue
            found = pool_row(row)
            if found is not None and found.pool in self._candidacies:
                self._candidacies[found.pool].note_row(found)
        self.knows_cell = True
        self._lines.open()

    def _note_cell_answer(self, asked_at):
        self._note_store_answer(asked_at)
        for candidacy in list(self._candidacies.values()):
            if candidacy.is_owner:
                candidacy.owner.ownership_status.note_confirmed(asked_at)

    def note_configuration(self, configuration):
        """Watch the pools of a new configuration, and renew queues' policies."""
        self._queues.note(configuration)
        for pool in configuration.pools:
            if pool not in self._candidacies:
                candidacy = Candidacy(self, pool)
                self._candidacies[pool] = candidacy
                self.executor.submit(self._run_loop, pool, candidacy.run)
        for candidacy in list(self._candidacies.values()):
            if candidacy.is_owner:
                candidacy.owner.refresh_queues()

    def queue_of(self, document):
        """Return the queue of a job; see ``KnownQueues.queue_of``."""
        return self._queues.queue_of(document)

    # Owning pools.

    def note_owner(self, owner):
        """Tell the other hosts of a pool that this one has taken."""
        self._lines.renew(owner)

    def look_at_owner(self, owner):
        """Look whether the pool is still this host's."""
        self.executor.submit(self._look_at_owner, owner)

    def _look_at_owner(self, owner):
        asked_at = self.clock.monotonic()
        try:
            row = read_pool(self.store, owner.pool)
        except TableUnavailable as error:
            OWNER_UNCONFIRMED.write(
                pool=owner.pool, epoch=owner.row.epoch, error=str(error)
            )
            return
        if row.version == owner.row.version:
            owner.ownership_status.note_confirmed(asked_at)
        else:
            self._candidacies[owner.pool].note_row(row)

    def tell(self, owner):
        """Tell all hosts what has changed in an owner's pool."""
        self._lines.tell(owner)

    def is_owned_by(self, row):
        """Return whether the host that a row names says that it owns the pool."""
        for peer in self.peers.all():
            if peer.name == row.owner:
                return self.peers.owned_epoch(peer, row.pool) >= row.epoch
        return False
