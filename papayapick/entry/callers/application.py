"""Answer callers over HTTP: submit and cancel jobs, report states and counts."""

import json

from papayapick.entry.events import (
    CANCEL_STORED,
    JOB_ACCEPTED,
    REQUEST_FAILED,
    REQUEST_REFUSED,
)
from papayapick.entry.exceptions import (
    BodyTooLarge,
    KeyUnknown,
    NoSuchQueue,
    NotAccepted,
)
from papayapick.entry.metrics import ACCEPTANCE_SECONDS, REFUSALS, REQUESTS
from papayapick.exceptions import PapayapickError
from papayapick.observability.registry import metrics_text
from papayapick.platform.exceptions import BodyInvalid
from papayapick.platform.requests import (
    decode_job,
    encode_state,
    encode_waiting,
    is_identifier,
)
from papayapick.quotas.usage import fits_maximum

__all__ = ["Application"]

_JSON = "application/json"
_TEXT = "text/plain; version=0.0.4; charset=utf-8"
_METHODS = ("GET", "POST", "DELETE")
_OK = "200 OK"
_BAD_REQUEST = "400 Bad Request"
_NOT_FOUND = "404 Not Found"
_NOT_ALLOWED = "405 Method Not Allowed"
_FAILED = "500 Internal Server Error"
_UNAVAILABLE = "503 Service Unavailable"
# A host has its configuration 0.03 to 0.2 s after its start. A caller refused before
# that would retry after a whole second; after a restart of all hosts, most refusals
# fell into this second.
_CONFIGURATION_WAIT_SECONDS = 0.3
# Where WSGI puts the header with the key of the caller's team.
_KEY_VARIABLE = "HTTP_API_KEY"
# How long the caller waits for an answer, in milliseconds.
_DEADLINE_VARIABLE = "HTTP_X_DEADLINE_MS"
# Longest part of a path or host name that is written to log events.
_LOGGED_CHARACTERS = 128


class _Reply:
    """Hold the answer to one request.

    Parameters
    ----------
    status : str
    body : bytes
    content_type : str
        Media type of the body.
    retry_after : int or None
        Seconds after which the caller may retry.
    """

    __slots__ = ("_content_type", "_retry_after", "body", "status")

    def __init__(self, status, body=b"{}", content_type=_JSON, retry_after=None):
        self._content_type = content_type
        self._retry_after = retry_after
        self.body = body
        self.status = status

    @property
    def headers(self):
        """Return the header fields as a list of pairs, for WSGI."""
        fields = [
            ("Content-Type", self._content_type),
            ("Content-Length", str(len(self.body))),
        ]
        if self._retry_after is not None:
            fields.append(("Retry-After", str(self._retry_after)))
        return fields


class Application:
    """Serve the frontend, readiness and metrics addresses.

    Parameters
    ----------
    host : EntryHost
    """

    __slots__ = ("_host", "_metrics_port", "_readiness_port")

    def __init__(self, host):
        self._host = host
        self._readiness_port = str(host.settings.readiness_address[1])
        self._metrics_port = str(host.settings.metrics_port)

    def __call__(self, environ, start_response):
        """Answer one WSGI request."""
        port = environ["SERVER_PORT"]
        if port == self._metrics_port:
            reply = self._metrics(environ)
        elif port == self._readiness_port:
            reply = self._health(environ)
        else:
            reply = self._answer_or_refuse(environ, self._host.clock.monotonic())
            REQUESTS.labels(_method_label(environ), reply.status[:3]).inc()
        start_response(reply.status, reply.headers)
        return [reply.body]

    def _health(self, environ):
        if environ["PATH_INFO"] != "/readyz":
            return _Reply(_NOT_FOUND)
        return _Reply(_OK) if self._host.is_ready() else _Reply(_UNAVAILABLE)

    def _metrics(self, environ):
        if environ["PATH_INFO"] != "/metrics":
            return _Reply(_NOT_FOUND, b"", _TEXT)
        self._host.refresh_metrics()
        return _Reply(_OK, metrics_text(), _TEXT)

    def _answer_or_refuse(self, environ, arrived_at):
        try:
            return self._answer(environ, arrived_at)
        except BodyInvalid as error:
            return self._refuse(environ, arrived_at, _BAD_REQUEST, error)
        except PapayapickError as error:
            status = getattr(error, "status", _FAILED)
            if status == _FAILED:
                REQUEST_FAILED.write_failure(**_request_fields(environ))
            return self._refuse(environ, arrived_at, status, error)

    def _refuse(self, environ, arrived_at, status, error):
        REFUSALS.labels(error.code).inc()
        retry_after = getattr(error, "retry_after", None)
        REQUEST_REFUSED.write(
            **_request_fields(environ),
            status=int(status.split()[0]),
            code=error.code,
            detail=str(error),
            seconds=self._seconds_since(arrived_at),
            store_age_seconds=self._host.store_health.logged_age(),
            configuration_version=self._host.configuration.version,
            retry_after_seconds=retry_after,
            caller_waits_ms=environ.get(_DEADLINE_VARIABLE, "")[:_LOGGED_CHARACTERS],
        )
        return _Reply(status, _error_body(error), retry_after=retry_after)

    def _seconds_since(self, arrived_at):
        return round(self._host.clock.monotonic() - arrived_at, 4)

    def _answer(self, environ, arrived_at):
        host = self._host
        configuration = host.configuration.wait_for_first(_CONFIGURATION_WAIT_SECONDS)
        if configuration is None:
            raise NotAccepted(reason="no configuration yet")
        host_name, path = environ.get("HTTP_HOST", ""), environ["PATH_INFO"]
        queue = configuration.find(host_name, path)
        if queue is None:
            raise NoSuchQueue(host=host_name, path=path)
        team = _identify_team(environ, queue, configuration.teams)
        identifier = path[len(queue.path_prefix) :]
        method = environ["REQUEST_METHOD"]
        if not identifier:
            if method != "GET":
                return _Reply(_NOT_ALLOWED)
            former = host.watched_pools.former_pools(queue)
            return _Reply(_OK, encode_waiting(host.job_states.waiting(queue, former)))
        if not is_identifier(identifier):
            return _Reply(_NOT_FOUND)
        if method == "POST":
            body = _read_body(environ, configuration.body_limit_bytes)
            document = decode_job(identifier, queue, body, host.clock.time(), team)
            unfit_step = _find_unfit_step(document, configuration.teams)
            if host.acceptance.submit(document, unfit_step, configuration.version):
                self._note_accepted(document, queue, arrived_at)
            return _Reply(_OK)
        if method == "GET":
            status = host.acceptance.status(queue, identifier, team)
            return _Reply(_OK, encode_state(status))
        if method == "DELETE":
            if host.acceptance.cancel(queue, identifier, team):
                CANCEL_STORED.write(
                    request_id=identifier,
                    queue=queue.name,
                    seconds=self._seconds_since(arrived_at),
                )
            return _Reply(_OK)
        return _Reply(_NOT_ALLOWED)

    def _note_accepted(self, document, queue, arrived_at):
        ACCEPTANCE_SECONDS.observe(self._seconds_since(arrived_at))
        JOB_ACCEPTED.write(
            request_id=document.identifier,
            queue=queue.name,
            team=document.team,
            pool=queue.pool,
            priority=queue.priority,
            steps=len(document.steps),
            tasks=sum(step.tasks for step in document.steps),
            seconds=self._seconds_since(arrived_at),
            configuration_version=self._host.configuration.version,
        )


def _identify_team(environ, queue, teams):
    """Return the name of the team that calls, or an empty string if there is none.

    Raises
    ------
    KeyUnknown
        The queue is not public and the request has no key of a team. Neither the error
        nor a log event contains the key.
    """
    key = environ.get(_KEY_VARIABLE, "")
    team = teams.find_by_key(key) if key else None
    if team is None and not queue.is_public:
        found = "the key is of no team" if key else "there is no key"
        raise KeyUnknown(queue=queue.name, found=found)
    return "" if team is None else team.name


def _find_unfit_step(document, teams):
    """Return the number of a step that its team could never start, or None."""
    team = teams.get(document.team)
    if team is None:
        return None
    unfit = (
        number
        for number, step in enumerate(document.steps)
        if not fits_maximum(step, team.maximum)
    )
    return next(unfit, None)


def _method_label(environ):
    """Return the method as a label of a metric; methods not served are "other"."""
    method = environ["REQUEST_METHOD"]
    return method if method in _METHODS else "other"


def _read_body(environ, limit):
    size = int(environ.get("CONTENT_LENGTH") or 0)
    if size > limit:
        raise BodyTooLarge(size=size, limit=limit)
    return environ["wsgi.input"].read()


def _error_body(error):
    return json.dumps({"error": error.code, "detail": str(error)}).encode()


def _request_fields(environ):
    """Return the fields that identify a request in log events."""
    path = environ["PATH_INFO"][:_LOGGED_CHARACTERS]
    return {
        "request_id": path.rpartition("/")[2],
        "method": environ["REQUEST_METHOD"],
        "asked_host": environ.get("HTTP_HOST", "")[:_LOGGED_CHARACTERS],
        "path": path,
    }
