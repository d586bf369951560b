"""Run the gateway process, which listens for callers and peers."""

import logging
import threading

from papayapick.clients import HttpPool, InstanceClient
from papayapick.clients.hosts import GATEWAY_KIND
from papayapick.daemon import Process
from papayapick.gateway.application import Application
from papayapick.gateway.dispatcher import BoundedDispatcher
from papayapick.gateway.durable import DurableWork
from papayapick.gateway.urgent import UrgentCalls
from papayapick.limits import AttemptTimeouts, CallerLimits, RetryBudgets
from papayapick.listening import create_listener
from papayapick.observability import get_logger
from papayapick.routing import SlotClient

__all__ = ["PROGRAM", "Gateway"]

PROGRAM = "papayapick-gateway"
_LOG = get_logger(__name__)
_CALL_SECONDS = 30.0
_HEADER_LIMIT_BYTES = 32 << 10
_CONNECTION_LIMIT = 1000
_CHANNEL_TIMEOUT_SECONDS = 30
_IDLE_BEFORE_CLOSE_SECONDS = 0.2
_POLL_SECONDS = 0.05


class Gateway:
    """Serve callers over HTTP.

    Parameters
    ----------
    settings : Settings
    """

    __slots__ = ("_application", "_limits", "_process", "_server")

    def __init__(self, settings, clock=None):
        self._process = Process(
            settings,
            PROGRAM,
            lambda payload, peer, traceparent: None,
            list,
            on_bundle=lambda bundle: self._limits.use_bundle(bundle),
            clock=clock,
        )
        process = self._process
        self._limits = CallerLimits(process.clock, self._live_gateways)
        slots = SlotClient.from_process(process)
        instances = InstanceClient(HttpPool(_CALL_SECONDS))
        urgent = UrgentCalls(
            process, slots, instances, RetryBudgets(), AttemptTimeouts()
        )
        durable = DurableWork(process)
        self._application = Application(process, urgent, durable, self._limits)
        self._server = self._create_server(settings)

    @classmethod
    def from_config(cls, settings):
        """Build a gateway from its settings."""
        return cls(settings)

    @property
    def application(self):
        """Return the WSGI application."""
        return self._application

    def addresses(self):
        """Return the addresses that the process listens on, for its log."""
        host, port = self._process.peer_server.address
        server = self._server
        return {
            "http": f"{server.effective_host}:{server.effective_port}",
            "peer": f"{host}:{port}",
        }

    def start(self):
        """Start all tasks."""
        self._process.start()
        self._process.executor.submit(self._server.run)

    def stop(self):
        """Complete the answers to all requests in flight, then close.

        ``/readyz`` fails, so the load balancer stops sending requests. Requests that
        it still sends are served.
        """
        process = self._process
        process.is_draining = True
        deadline = process.clock.monotonic() + process.settings.drain_seconds
        idle_since = None
        while process.clock.monotonic() < deadline:
            now = process.clock.monotonic()
            if not self._is_idle():
                idle_since = None
            elif idle_since is None:
                idle_since = now
            elif now - idle_since >= _IDLE_BEFORE_CLOSE_SECONDS:
                break
            process.clock.wait(threading.Event(), _POLL_SECONDS)
        self._server.close()
        process.close()

    def _live_gateways(self):
        entries = self._process.peers.entries
        return sum(entry.kind == GATEWAY_KIND and entry.is_live for entry in entries)

    def _is_idle(self):
        # The channel buffers an answer that a slow caller has not read completely.
        channels = list(self._server.active_channels.values())
        return not self._application.in_flight and all(
            not channel.requests and not channel.total_outbufs_len
            for channel in channels
        )

    def _create_server(self, settings):
        logging.getLogger("waitress").setLevel(logging.ERROR)
        host, port = settings.listen_http
        dispatcher = BoundedDispatcher(settings.http_waiting, self._process.clock)
        dispatcher.set_thread_count(settings.http_threads)
        # waitress accepts a custom dispatcher only in this private argument. Its
        # version is pinned, and tests/gateway/test_dispatcher.py fails if a new
        # version has no such argument.
        return create_listener(
            self._application,
            host=host,
            port=port,
            threads=settings.http_threads,
            _dispatcher=dispatcher,
            connection_limit=_CONNECTION_LIMIT,
            channel_timeout=_CHANNEL_TIMEOUT_SECONDS,
            max_request_header_size=_HEADER_LIMIT_BYTES,
            max_request_body_size=settings.body_limit_bytes + 1024,
            ident=None,
        )
