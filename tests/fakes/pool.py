"""Reach the stand-ins in the same process, in place of HTTP."""

import http.client
import io
import urllib.parse

from papayapick.clients.http import HttpAnswer


def message(lines):
    """Return headers in the form in which they come over a socket."""
    headers = http.client.HTTPMessage()
    for name, value in lines:
        headers[name] = value
    return headers


class InProcessPool:
    """Hand requests to the platform's application, without a socket."""

    def __init__(self, platform):
        self._platform = platform

    def request(
        self,
        method,
        url,
        body=None,
        headers=None,
        timeout=None,
        fresh=False,
        check=None,
    ):
        parts = urllib.parse.urlsplit(url)
        data = body or b""
        environ = {
            "REQUEST_METHOD": method,
            "PATH_INFO": urllib.parse.unquote(parts.path),
            "QUERY_STRING": parts.query,
            "CONTENT_LENGTH": str(len(data)),
            "wsgi.input": io.BytesIO(data),
        }
        for name, value in (headers or {}).items():
            environ["HTTP_" + name.upper().replace("-", "_")] = value
        started = []
        answer = self._platform(environ, lambda *found: started.append(found))
        status, lines = started[0]
        found = HttpAnswer(int(status.split()[0]), message(lines), b"".join(answer))
        if check is not None:
            check(found)
        return found

    def close(self):
        """Hold nothing open."""
