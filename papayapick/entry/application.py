"""Answer callers over HTTP: hand in, ask, cancel, count."""

import json

from papayapick.entry.exceptions import BodyTooLarge, NoSuchQueue, NotAccepted
from papayapick.exceptions import PapayapickError
from papayapick.observability.logs import get_logger
from papayapick.platform.exceptions import BodyInvalid
from papayapick.platform.requests import (
    decode_job,
    encode_state,
    encode_waiting,
    is_identifier,
)

__all__ = ["Application"]

_LOG = get_logger(__name__)
_JSON = "application/json"
_OK = "200 OK"
_BAD_REQUEST = "400 Bad Request"
_NOT_FOUND = "404 Not Found"
_NOT_ALLOWED = "405 Method Not Allowed"
_FAILED = "500 Internal Server Error"
_AWAY = "503 Service Unavailable"
# When to come back: outages of the store last seconds, and a host that has no
# configuration yet reads it within one.
_RETRY_AFTER_SECONDS = 1


class Application:
    """Serve the front address and the readiness address.

    Parameters
    ----------
    host : EntryHost
    """

    __slots__ = ("_host", "_readiness_port")

    def __init__(self, host):
        self._host = host
        self._readiness_port = str(host.settings.readiness_address[1])

    def __call__(self, environ, start_response):
        """Answer one WSGI request."""
        if environ["SERVER_PORT"] == self._readiness_port:
            status, body = self._health(environ)
        else:
            status, body = self._guarded(environ)
        headers = [("Content-Type", _JSON), ("Content-Length", str(len(body)))]
        if status == _AWAY:
            headers.append(("Retry-After", str(_RETRY_AFTER_SECONDS)))
        start_response(status, headers)
        return [body]

    def _health(self, environ):
        if environ["PATH_INFO"] != "/readyz":
            return _NOT_FOUND, b"{}"
        return (_OK if self._host.is_ready() else _AWAY), b"{}"

    def _guarded(self, environ):
        try:
            return self._answer(environ)
        except BodyInvalid as error:
            return _BAD_REQUEST, _problem(error)
        except PapayapickError as error:
            status = getattr(error, "status", _FAILED)
            if status == _FAILED:
                _LOG.exception("request failed")
            return status, _problem(error)

    def _answer(self, environ):
        host = self._host
        configuration = host.configuration.current
        if configuration is None:
            raise NotAccepted(reason="no configuration yet")
        name, path = environ.get("HTTP_HOST", ""), environ["PATH_INFO"]
        queue = configuration.find(name, path)
        if queue is None:
            raise NoSuchQueue(host=name, path=path)
        identifier = path[len(queue.path_prefix) :]
        method = environ["REQUEST_METHOD"]
        if not identifier:
            if method != "GET":
                return _NOT_ALLOWED, b"{}"
            return _OK, encode_waiting(host.board.waiting(queue))
        if not is_identifier(identifier):
            return _NOT_FOUND, b"{}"
        if method == "POST":
            body = _body(environ, configuration.body_limit_bytes)
            document = decode_job(identifier, queue, body, host.clock.time())
            host.acceptance.submit(document)
            return _OK, b"{}"
        if method == "GET":
            return _OK, encode_state(host.acceptance.status(queue, identifier))
        if method == "DELETE":
            host.acceptance.cancel(queue, identifier)
            return _OK, b"{}"
        return _NOT_ALLOWED, b"{}"


def _body(environ, limit):
    size = int(environ.get("CONTENT_LENGTH") or 0)
    if size > limit:
        raise BodyTooLarge(size=size, limit=limit)
    return environ["wsgi.input"].read()


def _problem(error):
    return json.dumps({"error": error.code, "detail": str(error)}).encode()
