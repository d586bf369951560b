"""Reach the stand-ins in the same process, in place of HTTP."""

import io
import urllib.parse

from papayapick.platforms.http import HttpAnswer


class InProcessPool:
    """Hand requests to the platform's application, without a socket."""

    def __init__(self, platform):
        self._platform = platform

    def request(self, method, url, body=None, headers=None, timeout=None, fresh=False):
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
        return HttpAnswer(int(status.split()[0]), dict(lines), b"".join(answer))

    def close(self):
        """Hold nothing open."""
