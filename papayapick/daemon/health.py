"""Serve health checks and metrics of a process over HTTP."""

from papayapick.listening import create_listener

__all__ = ["HealthServer", "health_response"]

_TEXT = "text/plain; charset=utf-8"


def health_response(path, process, is_ready):
    """Return status line, content type and body, or None for any other path.

    Parameters
    ----------
    path : str
    process : Process
    is_ready : callable
    """
    if path == "/healthz":
        return "200 OK", _TEXT, b"ok\n"
    if path == "/readyz":
        if is_ready():
            return "200 OK", _TEXT, b"ready\n"
        return "503 Service Unavailable", _TEXT, b"not ready\n"
    if path == "/metrics":
        return "200 OK", _TEXT, process.metrics.text()
    return None


class HealthServer:
    """Serve health checks and metrics on the HTTP address of the settings.

    Parameters
    ----------
    process : Process
    is_ready : callable
    """

    __slots__ = ("_is_ready", "_process", "_server")

    def __init__(self, process, is_ready):
        self._process = process
        self._is_ready = is_ready
        host, port = process.settings.listen_http
        self._server = create_listener(self._respond, host=host, port=port, threads=1)

    @property
    def address(self):
        """Return the listening address as ``IP:PORT``."""
        return f"{self._server.effective_host}:{self._server.effective_port}"

    def start(self):
        """Serve in a thread of the process's executor."""
        self._process.executor.submit(self._server.run)

    def close(self):
        """Stop listening."""
        self._server.close()

    def _respond(self, environ, start_response):
        response = health_response(environ["PATH_INFO"], self._process, self._is_ready)
        status, kind, body = response or ("404 Not Found", _TEXT, b"")
        headers = [("Content-Type", kind), ("Content-Length", str(len(body)))]
        start_response(status, headers)
        return [body]
