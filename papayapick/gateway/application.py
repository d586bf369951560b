"""Serve callers over HTTP as a WSGI application."""

import http.client
import threading
import uuid

from papayapick.bundle import BundleMissing
from papayapick.daemon.health import health_response
from papayapick.exceptions import PapayapickError
from papayapick.gateway.admission import admit
from papayapick.gateway.dispatcher import arrived_at, is_refused
from papayapick.gateway.exceptions import DeadlinePast, GatewayFull, PathUnknown
from papayapick.gateway.problems import Answer, problem
from papayapick.observability import AccessLog, get_logger, log_fields, note_fields
from papayapick.wire import PeerDisconnected, PeerTimeout

__all__ = ["Application"]

_LOG = get_logger(__name__)
_REQUESTS = "/v1/requests"
_UNKNOWN = "unknown"
_FULL_RETRY_SECONDS = 0.5


class Application:
    """Route, trace, count and answer callers' requests.

    Parameters
    ----------
    process : Process
    urgent : UrgentCalls
    durable : DurableWork
    caller_limits : CallerLimits
    """

    __slots__ = (
        "_access",
        "_durable",
        "_in_flight",
        "_limits",
        "_lock",
        "_process",
        "_urgent",
    )

    def __init__(self, process, urgent, durable, caller_limits):
        self._process = process
        self._urgent = urgent
        self._durable = durable
        self._limits = caller_limits
        self._access = AccessLog(process.settings.access_log, process.clock)
        self._in_flight = 0
        self._lock = threading.Lock()

    @property
    def in_flight(self):
        """Return the number of requests that are being served."""
        return self._in_flight

    def is_ready(self):
        """Return whether the load balancer may send requests to this gateway."""
        return bool(self._process.watcher.sequence) and not self._process.is_draining

    def __call__(self, environ, start_response):
        """Answer one WSGI request."""
        health = health_response(environ["PATH_INFO"], self._process, self.is_ready)
        if health is not None:
            status, kind, body = health
            return self._send(start_response, status, Answer(200, kind, body))
        if is_refused(environ):
            return self._refuse(start_response)
        with self._lock:
            self._in_flight += 1
        try:
            answer = self._answer_traced(environ)
        finally:
            with self._lock:
                self._in_flight -= 1
        return self._send(start_response, _status_line(answer), answer)

    def _refuse(self, start_response):
        # No span and no access log entry: refusing excess requests must be cheap.
        spread = 1 + self._process.generator.random()
        error = GatewayFull(retry_after=_FULL_RETRY_SECONDS * spread)
        self._process.metrics.refusals.labels(error.code).inc()
        answer = problem(error, uuid.uuid4().hex)
        return self._send(start_response, _status_line(answer), answer)

    def _answer_traced(self, environ):
        process = self._process
        traceparent = environ.get("HTTP_TRACEPARENT", "")
        request_id = uuid.uuid4().hex
        started_at = self._access.start()
        with (
            process.tracing.span("gateway.request", traceparent) as request_span,
            log_fields(request_id=request_id, bundle_sequence=process.watcher.sequence),
        ):
            answer = self._answer(environ, request_id, request_span)
            answer.headers.append(("Trace-Id", process.tracing.trace_id()))
            method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
            self._access.write(started_at, method, path, answer.status, answer.outcome)
            return answer

    def _answer(self, environ, request_id, request_span):
        try:
            return self._route(environ)
        except PapayapickError as error:
            answer = problem(error, request_id, _fallback_outcome(error))
            self._process.metrics.refusals.labels(error.code).inc()
            request_span.fail(error.code, answer.outcome)
        except Exception:
            _LOG.exception("request failed")
            error = PapayapickError()
            answer = problem(error, request_id, _UNKNOWN)
            request_span.fail(error.code, answer.outcome)
        return answer

    def _route(self, environ):
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        if path == _REQUESTS and method == "POST":
            return self._post(environ)
        request_id = path.removeprefix(_REQUESTS + "/")
        if request_id != path and request_id and "/" not in request_id:
            if method == "GET":
                return self._durable.query(request_id)
            if method == "DELETE":
                return self._durable.cancel(request_id)
        raise PathUnknown(method=method[:16], path=path[:64])

    def _post(self, environ):
        self._confirm_bundle()
        process = self._process
        bundle = process.watcher.bundle
        admitted = admit(environ, bundle, process.settings.body_limit_bytes)
        note_fields(request_id=admitted.request_id, service=admitted.name)
        if admitted.shard:
            note_fields(shard=admitted.shard)
        self._limits.admit(admitted.caller)
        self._deduct_queue_time(environ, admitted)
        if admitted.is_durable:
            is_keyed = bool(environ.get("HTTP_IDEMPOTENCY_KEY"))
            answer = self._durable.submit(admitted, is_keyed)
        else:
            answer = self._urgent.serve(admitted)
        answer.headers.append(("Request-Id", admitted.request_id))
        process.metrics.requests.labels(admitted.name, answer.outcome).inc()
        return answer

    def _deduct_queue_time(self, environ, admitted):
        """Subtract the wait for a thread from the request's timeout."""
        now = self._process.clock.monotonic()
        admitted.timeout -= now - arrived_at(environ, now)
        if admitted.timeout <= 0:
            raise DeadlinePast()

    def _confirm_bundle(self):
        """Read the bundle's head again after a pause of the process.

        A process that was paused during a roll would otherwise admit work under
        the replaced bundle.
        """
        watcher = self._process.watcher
        if not watcher.is_confirmed:
            watcher.confirm()
        if not watcher.sequence:
            raise BundleMissing()

    def _send(self, start_response, status, answer):
        headers = [
            ("Content-Type", answer.content_type),
            ("Content-Length", str(len(answer.body))),
            *answer.headers,
        ]
        start_response(status, headers)
        return [answer.body]


def _status_line(answer):
    reason = http.client.responses.get(answer.status, "Unknown")
    return f"{answer.status} {reason}"


def _fallback_outcome(error):
    """Return the outcome of work whose error does not state it.

    After a lost connection or a timeout the placer may have accepted the work.
    """
    if isinstance(error, (PeerDisconnected, PeerTimeout)):
        return _UNKNOWN
    return "not_run"
