"""Create, connect and run the components of an entry host."""

import threading

from papayapick.clients.http import HttpPool
from papayapick.clock import BootClock
from papayapick.entry.advice.dispatch import AdviceDispatcher
from papayapick.entry.callers.acceptance import Acceptance
from papayapick.entry.callers.application import Application
from papayapick.entry.callers.job_states import JobStateCache
from papayapick.entry.callers.queue_pools import QUEUES_PARTITION, QueuePools
from papayapick.entry.callers.queues import KnownQueues
from papayapick.entry.callers.servers import FrontendServer
from papayapick.entry.callers.writers import GroupWriter
from papayapick.entry.cell.beats import BeatBroadcaster
from papayapick.entry.cell.followers import (
    FOLLOW_WAIT_SECONDS,
    OWNER_WAIT_SECONDS,
    follow_table,
)
from papayapick.entry.cell.joining import cell_key, register, register_again
from papayapick.entry.cell.peer_requests import PeerRequestHandler
from papayapick.entry.cell.peers import HOSTS_PARTITION, Peers
from papayapick.entry.configuration.announcements import ANNOUNCEMENT_PARTITION
from papayapick.entry.configuration.follower import ConfigurationWatcher
from papayapick.entry.events import READINESS_CHANGED
from papayapick.entry.gauges import refresh_gauges
from papayapick.entry.loops import LoopRunner
from papayapick.entry.metrics import STORE_SECONDS
from papayapick.entry.store.health import StoreHealth
from papayapick.entry.store.latency import StoreLatency
from papayapick.entry.store.probing import StoreProbe
from papayapick.entry.store.relays import RelayedStore, StoreRelay
from papayapick.entry.watched_pools import WatchedPools
from papayapick.executors import ElasticExecutor
from papayapick.ownership.pools import CELL_TABLE, pool_row
from papayapick.platform.machines import MachineClient
from papayapick.platform.store import Store
from papayapick.pool.events import THREADS_SHORT
from papayapick.pool.workers.connections import worker_pool
from papayapick.wire import CellKeys, PeerServer
from papayapick.wire.messages import Hello

__all__ = ["EntryHost"]

# The owner of a pool uses three threads for each other host: one sends heartbeats, one
# reads the answers, one serves the connection from there. With too few, some hosts get
# no heartbeats and take the pool again and again.
_THREADS = 4096
# Hundreds of hosts may connect to a new owner at the same moment, and take the pool
# from it if it closes their connections. Leaves threads for all else.
_MAX_HANDSHAKES = 512
_STORE_TIMEOUT_SECONDS = 2.0
_ADVICE_TIMEOUT_SECONDS = 1.0
# A host to which the store last answered longer ago is not ready for callers.
_MAX_STORE_AGE_SECONDS = 2.6
# Changes of hosts within this time are read together. When a hundred hosts start at
# once, each would else read every other row by a call of its own, 9,000 calls in all.
_CELL_GATHER_SECONDS = 0.15
# Requests in progress end this long before the platform kills the process.
_GRACE_SLACK_SECONDS = 1.5
# If no other host takes a pool over, this time is left to record the last ends of tasks
# and to release the pool.
_RELEASE_SECONDS = 1.2


class EntryHost:
    """Run the components of one entry host.

    Parameters
    ----------
    settings : PlatformSettings
    clock : Clock, optional
    flush_log : callable, optional
        Writes the queued log lines; called before the process exits by itself.
    """

    def __init__(self, settings, clock=None, flush_log=lambda: None):
        self.settings = settings
        self.clock = clock or BootClock()
        self.started_at = self.clock.monotonic()
        self.stopping = threading.Event()
        self._loops = LoopRunner(self.clock, self.stopping, flush_log)
        self.is_draining = False
        # Whether the rows of the other hosts have been read.
        self.has_read_hosts = False
        self.executor = ElasticExecutor(_THREADS, "entry", THREADS_SHORT.write)
        self._store_latency = StoreLatency()
        self.store = Store(
            settings.store_address,
            HttpPool(_STORE_TIMEOUT_SECONDS),
            self.clock,
            self._observe_store,
        )
        self.worker_pool = worker_pool(settings)
        self.machines = MachineClient(settings.machines_address, self.worker_pool)
        self.job_states = JobStateCache(self.clock)
        self.configuration = ConfigurationWatcher(self)
        self.relayed_store = RelayedStore(self)
        self.writer = GroupWriter(
            self.relayed_store, self.clock, self.stopping, self.executor
        )
        self.queue_pools = QueuePools(self.relayed_store, self.writer)
        self.acceptance = Acceptance.from_host(self)
        self.advice = AdviceDispatcher(self, HttpPool(_ADVICE_TIMEOUT_SECONDS))
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
        self.watched_pools = WatchedPools(self, self._candidacies, self._run_loop)
        self._was_ready = False
        self._beats = BeatBroadcaster(self, self._candidacies)
        self._queues = KnownQueues()
        self._frontend_server = FrontendServer(settings, Application(self))
        self._peer_server = None

    @property
    def store_seconds(self):
        """Return the minimum latency of the store in seconds, or None if unknown."""
        return self._store_latency.seconds

    # Start and stop.

    def start(self):
        """Start to answer health checks, and join the cell in the background."""
        self.executor.submit(self._frontend_server.run)
        self.executor.submit(self._loops.run, "join", self._join, max_failures=0)

    def stop(self):
        """Hand over the owned pools, finish requests in progress, and stop."""
        self.is_draining = True
        for owner in self._owners():
            # In a thread: an unavailable store must not delay the shutdown.
            self.executor.submit(self._hand_over, owner)
        wait = self.settings.grace_seconds - _GRACE_SLACK_SECONDS
        self.clock.wait(self.stopping, wait)
        self.stopping.set()
        self._frontend_server.close()

    def _hand_over(self, owner):
        """Act as owner until another host has taken the pool or time runs out."""
        owner.request_successor()
        # To all hosts at once: a host notified earlier would take the pool before the
        # largest host, which takes it without delay, is notified.
        self._beats.send_all_now()
        wait = self.settings.grace_seconds - _GRACE_SLACK_SECONDS - _RELEASE_SECONDS
        owner.pause(wait)
        if not owner.is_stopped:
            owner.release()

    def is_ready(self):
        """Return whether this host can accept jobs; log each change."""
        is_ready = (
            not self.is_draining
            and self.configuration.current is not None
            and self.store_health.age() < _MAX_STORE_AGE_SECONDS
        )
        if is_ready != self._was_ready:
            self._was_ready = is_ready
            READINESS_CHANGED.write(
                is_ready=is_ready,
                is_draining=self.is_draining,
                configuration_version=self.configuration.version,
                store_age_seconds=self.store_health.logged_age(),
            )
        return is_ready

    def owned_pools(self):
        """Return the names of the pools that this process owns."""
        return [owner.pool for owner in self._owners()]

    def _owners(self):
        return [one.owner for one in list(self._candidacies.values()) if one.is_owner]

    def owner_names(self):
        """Return the names of the hosts that own pools, as far as this host knows."""
        return {one.row.owner for one in list(self._candidacies.values())}

    def refresh_metrics(self):
        """Set the gauges to their present values, before the metrics are served."""
        refresh_gauges(self, self._owners())

    def _join(self):
        key = cell_key(self)
        if key is None:
            return
        keys = CellKeys([key])
        settings = self.settings
        identity = Hello(
            host=settings.host_name, region=settings.region, zone=settings.zone
        )
        self.peers = Peers(self, keys, identity, self.executor)
        handler = PeerRequestHandler(self, self._candidacies, self._relay)
        self._peer_server = PeerServer(
            settings.peer_address,
            keys,
            identity,
            handler.answer,
            self.executor,
            on_disconnect=handler.note_disconnect,
            max_handshakes=_MAX_HANDSHAKES,
        )
        self._peer_server.start()
        register(self)
        for name, step in (
            ("configuration", self.configuration.run),
            ("relayed configuration", self.configuration.run_relayed),
            ("cell", self._follow_cell),
            ("probe", self._probe.run),
            ("former pools", self.watched_pools.run),
        ):
            self._run_loop(name, step)

    def _run_loop(self, name, step):
        self.executor.submit(self._loops.run, name, step)

    # Rows and answers of the store.

    def _observe_store(self, operation, outcome, seconds):
        STORE_SECONDS.labels(operation, outcome).observe(seconds)
        self._store_latency.note_call(operation, outcome, seconds)

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
            # Accepted jobs wait until a dead connection is detected.
            lambda: OWNER_WAIT_SECONDS,
            gather,
            on_complete,
        )

    def _note_store_answer(self, asked_at):
        self.store_health.note_answer()

    def _follow_cell(self):
        follow_table(
            self.store,
            self.clock,
            CELL_TABLE,
            None,
            self._note_cell_rows,
            self._read_cell,
            self.stopping,
            self._note_store_answer,
            self.store_health.note_failure,
            self._cell_wait_seconds,
            _CELL_GATHER_SECONDS,
            self._note_cell_complete,
        )

    def _cell_wait_seconds(self):
        # An owner must detect quickly that it is cut off from the store.
        return OWNER_WAIT_SECONDS if self._owners() else FOLLOW_WAIT_SECONDS

    def _read_cell(self):
        rows, version = self.store.read_all(CELL_TABLE, HOSTS_PARTITION)
        if all(row.key != self.settings.host_name for row in rows):
            # Removed before this read, so that no change will tell of it.
            register_again(self)
        partitions = (ANNOUNCEMENT_PARTITION, QUEUES_PARTITION)
        for partition in (*partitions, *list(self._candidacies)):
            rows += self.store.read_all(CELL_TABLE, partition)[0]
        self.watched_pools.look_again()
        return rows, version

    def _note_cell_rows(self, rows):
        for row in rows:
            if row.partition == HOSTS_PARTITION:
                self.peers.note_row(row)
                if row.key == self.settings.host_name and row.value is None:
                    register_again(self)
                continue
            if row.partition == ANNOUNCEMENT_PARTITION:
                self.configuration.announcements.note_row(row)
                continue
            if row.partition == QUEUES_PARTITION:
                self.queue_pools.note_row(row)
                continue
            pool_state = pool_row(row)
            if pool_state is not None and pool_state.pool in self._candidacies:
                self._candidacies[pool_state.pool].note_row(pool_state)
        self.has_read_hosts = True
        self.queue_pools.note_complete()
        self._beats.start_missing_senders()

    def _note_cell_complete(self, asked_at):
        # Earlier, a replaced owner would send orders until it has the new one's row.
        for owner in self._owners():
            owner.ownership_status.note_confirmed(asked_at)

    def prepare_configuration(self, configuration):
        """Tell the other hosts of changed pools, before they come into force."""
        self.queue_pools.prepare(
            configuration, lambda seconds: self.clock.wait(self.stopping, seconds)
        )

    def note_configuration(self, configuration):
        """Watch the pools of a new configuration and update the owners' queues."""
        self._queues.update(configuration)
        self.queue_pools.note_configuration(configuration)
        self.watched_pools.watch(configuration.pools)
        for owner in self._owners():
            owner.refresh_queues()

    def queue_of(self, document):
        """Return the queue of a job; see ``KnownQueues.queue_of``."""
        return self._queues.queue_of(document)

    # Ownership of pools.

    def note_owner(self, owner):
        """Announce a pool that this host has taken to the other hosts."""
        self._beats.announce(owner)

    def verify_ownership(self, owner):
        """Read in the background whether this host still owns the pool."""
        self.executor.submit(self.watched_pools.verify_ownership, owner)

    def broadcast(self, owner):
        """Cache an owner's changed job states and send them to the other hosts."""
        self._beats.broadcast(owner)

    def is_owned_by(self, row):
        """Query the owner that a row names; return whether it owns the pool."""
        peer = self.peers.get(row.owner)
        return peer is not None and self.peers.owned_epoch(peer, row.pool) >= row.epoch
