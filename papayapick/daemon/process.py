"""Hold the parts that every process of a cell has."""

import random
import threading
from concurrent.futures import ThreadPoolExecutor

from papayapick.bundle import BundleUnknown, BundleWatcher, KeyRing, PeerHead
from papayapick.clients import HostList, HttpPool, ObjectStore, Table
from papayapick.clients.exceptions import PlatformError, TableUnavailable
from papayapick.clock import SystemClock
from papayapick.limits import PauseGuard
from papayapick.membership import LookGate, Peers
from papayapick.observability import (
    Metrics,
    Tracing,
    get_logger,
    set_process_fields,
)
from papayapick.wire import CellKeys, PeerServer
from papayapick.wire.messages import BundleBody, BundleQuery, Heartbeat, Hello

__all__ = ["Process"]

_LOG = get_logger(__name__)
# One task for each connection, peer and loop: idle ones cost stack only.
_TASKS = 512


class Process:
    """Build and run what the gateway and the placer have in common.

    Parameters
    ----------
    settings : Settings
    program : str
        Name for logs and traces.
    handler : callable
        Answers peers' messages other than bundle queries.
    heartbeat_shards : callable
        Returns the list of ShardSummary that this process tells peers.
    """

    __slots__ = (
        "_handler",
        "_head_gate",
        "_heartbeat_shards",
        "_stopping",
        "cell_key",
        "clock",
        "executor",
        "generator",
        "identity",
        "is_draining",
        "metrics",
        "objects",
        "pauses",
        "peer_server",
        "peers",
        "platform_pool",
        "settings",
        "table",
        "tracing",
        "watcher",
    )

    def __init__(
        self, settings, program, handler, heartbeat_shards, on_bundle=None, clock=None
    ):
        self.settings = settings
        self.clock = clock or SystemClock()
        self.metrics = Metrics()
        self.tracing = Tracing.from_config(settings, program)
        self.executor = ThreadPoolExecutor(_TASKS, thread_name_prefix=program)
        self.generator = random.Random(settings.seed or None)
        self.is_draining = False
        self._handler = handler
        self._heartbeat_shards = heartbeat_shards
        self._stopping = threading.Event()
        self.pauses = PauseGuard(self.clock, settings.pause_seconds)
        self.platform_pool = HttpPool(settings.platform_timeout_seconds)
        self.table = Table(settings.table_url, self.platform_pool, self._count_table)
        self.objects = ObjectStore(settings.objects_url, self.platform_pool)
        self.watcher = BundleWatcher(
            self.table,
            self.objects,
            KeyRing.from_config(settings),
            settings.host_name,
            settings.cell,
            on_bundle,
            self.pauses,
        )
        self._open_peers()

    @property
    def stop_event(self):
        """Return the event that ends every loop."""
        return self._stopping

    def start(self):
        """Start listening to peers and the loops."""
        self.peer_server.start()
        self.loop(self._refresh, self.settings.poll_seconds)
        self.loop(self.pauses.count, self.pauses.tick_seconds)

    def loop(self, step, seconds):
        """Run a step again and again as a task of its own until the process stops.

        Parameters
        ----------
        step : callable
        seconds : float
            Between the end of a step and the next.
        """
        self.executor.submit(self._loop, step, seconds)

    def close(self):
        """End every loop, connection and task."""
        self._stopping.set()
        self.peers.close()
        self.peer_server.close()
        self.platform_pool.close()
        self.executor.shutdown(wait=False, cancel_futures=True)
        self.tracing.close()

    def heartbeat(self):
        """Return what this process says of itself."""
        return Heartbeat(
            host=self.settings.host_name,
            bundle_sequence=self.watcher.sequence,
            bundle_digest=self.watcher.digest,
            shards=self._heartbeat_shards(),
            draining=self.is_draining,
            confirmed=self.watcher.is_confirmed,
            head_version=max(self.watcher.head_version, self.peers.newest_head),
            list_tag=self.peers.list_tag,
        )

    def _open_peers(self):
        settings = self.settings
        self.cell_key = CellKeys.from_file(settings.cell_key)
        self.identity = Hello(
            host=settings.host_name,
            region=settings.region,
            zone=settings.availability_zone,
        )
        self.peer_server = PeerServer(
            settings.listen_peer,
            self.cell_key,
            self.identity,
            self._answer,
            self.executor,
            self._count_bytes,
        )
        self.peers = Peers.from_config(
            settings,
            HostList(settings.hosts_url, self.platform_pool),
            self.cell_key,
            self.identity,
            self.clock,
            self.executor,
            self._count_bytes,
            (self.heartbeat, self.watcher.handle_peer_head, self.watcher.count_pauses),
        )
        self.peers.use_store_region(self._store_region)
        self._head_gate = LookGate(self.clock, self.has_store_contact)

    def has_store_contact(self):
        """Return whether the store is far and a live placer near it is known."""
        return self.peers.hears(self._store_region())

    def _store_region(self):
        if not self.watcher.sequence:
            return ""
        return self.watcher.bundle.store_region

    def _answer(self, payload, peer, traceparent):
        if isinstance(payload, Heartbeat):
            self._hear_asker(payload)
            answer = self.heartbeat()
            self.peers.add_summary(answer, payload.known or 0, peer.region)
            return answer
        if isinstance(payload, BundleQuery):
            return BundleBody(envelope=self.watcher.envelope_bytes(payload.digest))
        return self._handler(payload, peer, traceparent)

    def _hear_asker(self, heartbeat):
        head = PeerHead(
            heartbeat.host,
            heartbeat.bundle_sequence,
            heartbeat.bundle_digest,
            is_confirmed=False,
            pauses=0,
            placers=0,
        )

        def fetch():
            # The asker's envelope can't be fetched over its own connection;
            # what was not verified before is fetched at the next heartbeat.
            raise BundleUnknown(digest=heartbeat.bundle_digest)

        before = self.watcher.sequence
        self.watcher.handle_peer_head(head, fetch)
        is_news = self.peers.note_head(heartbeat.head_version or 0)
        if is_news or self.watcher.sequence != before:
            # Once for each piece of news: a proposal is verified, and what was
            # put in force acknowledged, without waiting for the next look.
            self.executor.submit(self._look_at_head)

    def _refresh(self):
        self.peers.refresh()
        if self._head_gate.is_due(self._head_has_changed()):
            self._look_at_head()
        self.metrics.bundle_sequence.set(self.watcher.sequence)
        set_process_fields(bundle_sequence=self.watcher.sequence)

    def _head_has_changed(self):
        watcher = self.watcher
        is_behind = self.peers.newest_head > watcher.head_version
        return is_behind or watcher.needs_acknowledgement or not watcher.is_confirmed

    def _look_at_head(self):
        try:
            self.watcher.refresh()
        except TableUnavailable:
            _LOG.debug("table down, bundle from peers only")

    def _loop(self, step, seconds):
        while not self._stopping.is_set():
            try:
                step()
            except PlatformError as error:
                _LOG.info("step put off", extra={"error": str(error)})
            except Exception:
                # One bad step must not end the loop that others depend on.
                _LOG.exception("step failed")
            self.clock.wait(self._stopping, seconds)

    def _count_table(self, operation):
        self.metrics.table_operations.labels(operation).inc()

    def _count_bytes(self, purpose, distance, direction, size):
        self.metrics.peer_bytes.labels(purpose, distance, direction).inc(size)
