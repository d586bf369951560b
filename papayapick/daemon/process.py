"""Build and run the components that every process of a cell has."""

import random
import threading
from concurrent.futures import ThreadPoolExecutor

from papayapick.bundle import BundleUnknown, BundleWatcher, KeyRing, PeerHead
from papayapick.clients import HostList, HttpPool, ObjectStore, Table
from papayapick.clients.exceptions import PlatformError, TableUnavailable
from papayapick.clock import SystemClock
from papayapick.limits import PauseDetector
from papayapick.membership import Peers, PollGate
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
# Each connection, peer and loop has a thread; an idle one costs only its stack.
_MAX_THREADS = 512


class Process:
    """Build and run the common components of the gateway and the placer.

    Parameters
    ----------
    settings : Settings
    program : str
        Program name for traces and threads.
    handler : callable
        Answers peers' messages other than bundle queries.
    heartbeat_shards : callable
        Returns the list of ShardSummary that this process reports to peers.
    on_bundle : callable, optional
        Called with each new bundle once it is in force.
    clock : Clock, optional
    """

    __slots__ = (
        "_handler",
        "_head_gate",
        "_heartbeat_shards",
        "_stop_event",
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
        self.executor = ThreadPoolExecutor(_MAX_THREADS, thread_name_prefix=program)
        self.generator = random.Random(settings.seed or None)
        self.is_draining = False
        self._handler = handler
        self._heartbeat_shards = heartbeat_shards
        self._stop_event = threading.Event()
        self.pauses = PauseDetector(self.clock, settings.pause_seconds)
        self.platform_pool = HttpPool(settings.platform_timeout_seconds)
        self.table = Table(
            settings.table_url, self.platform_pool, self._count_table_operation
        )
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
        """Return the event that ends every loop of the process."""
        return self._stop_event

    def start(self):
        """Start the peer server and the periodic loops."""
        self.peer_server.start()
        self.loop(self._refresh, self.settings.poll_seconds)
        self.loop(self.pauses.count, self.pauses.tick_seconds)

    def loop(self, step, seconds):
        """Run a step repeatedly in a thread of its own until the process stops.

        Parameters
        ----------
        step : callable
        seconds : float
            Delay between the end of a step and the next step.
        """
        self.executor.submit(self._loop, step, seconds)

    def close(self):
        """Stop every loop, connection and waiting task."""
        self._stop_event.set()
        self.peers.close()
        self.peer_server.close()
        self.platform_pool.close()
        self.executor.shutdown(wait=False, cancel_futures=True)
        self.tracing.close()

    def heartbeat(self):
        """Return the heartbeat that this process sends to peers."""
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
        self._head_gate = PollGate(self.clock, self.has_store_contact)

    def has_store_contact(self):
        """Return whether the store is in another region with a known live placer."""
        return self.peers.has_live_peer_in(self._store_region())

    def _store_region(self):
        if not self.watcher.sequence:
            return ""
        return self.watcher.bundle.store_region

    def _answer(self, payload, peer, traceparent):
        if isinstance(payload, Heartbeat):
            self._handle_peer_heartbeat(payload)
            answer = self.heartbeat()
            self.peers.add_summary(answer, payload.known or 0, peer.region)
            return answer
        if isinstance(payload, BundleQuery):
            return BundleBody(envelope=self.watcher.envelope_bytes(payload.digest))
        return self._handler(payload, peer, traceparent)

    def _handle_peer_heartbeat(self, heartbeat):
        head = PeerHead(
            heartbeat.host,
            heartbeat.bundle_sequence,
            heartbeat.bundle_digest,
            is_confirmed=False,
            pauses=0,
            placers=0,
        )

        def fetch():
            # The sender's envelope can't be fetched over the sender's connection; a
            # bundle that is not verified yet is fetched at the next heartbeat.
            raise BundleUnknown(digest=heartbeat.bundle_digest)

        previous_sequence = self.watcher.sequence
        self.watcher.handle_peer_head(head, fetch)
        is_newer_head = self.peers.note_head(heartbeat.head_version or 0)
        if is_newer_head or self.watcher.sequence != previous_sequence:
            # The head is read once for each change: a proposal is verified, and a
            # bundle put in force is acknowledged, before the next regular poll.
            self.executor.submit(self._poll_head)

    def _refresh(self):
        self.peers.refresh()
        if self._head_gate.is_due(self._head_has_changed()):
            self._poll_head()
        self.metrics.bundle_sequence.set(self.watcher.sequence)
        set_process_fields(bundle_sequence=self.watcher.sequence)

    def _head_has_changed(self):
        watcher = self.watcher
        is_behind = self.peers.newest_head > watcher.head_version
        return is_behind or watcher.needs_acknowledgement or not watcher.is_confirmed

    def _poll_head(self):
        try:
            self.watcher.refresh()
        except TableUnavailable:
            _LOG.debug("table unavailable; bundles come from peers only")

    def _loop(self, step, seconds):
        while not self._stop_event.is_set():
            try:
                step()
            except PlatformError as error:
                _LOG.info(
                    "platform request failed; periodic step will be retried",
                    extra={"error": str(error)},
                )
            except Exception:
                # A failed step must not end the loop, on which other components
                # depend.
                _LOG.exception("unexpected error in a periodic step")
            self.clock.wait(self._stop_event, seconds)

    def _count_table_operation(self, operation):
        self.metrics.table_operations.labels(operation).inc()

    def _count_bytes(self, purpose, distance, direction, size):
        self.metrics.peer_bytes.labels(purpose, distance, direction).inc(size)
