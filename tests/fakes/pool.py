"""Call the platform stand-ins in the same process instead of over HTTP."""

import http.client
import io
import urllib.parse

from papayapick.clients.http import HttpAnswer


def message(lines):
    """Return the headers as the message object that http.client parses."""
    headers = http.client.HTTPMessage()
    for name, value in lines:
        headers[name] = value
    return headers


class InProcessPool:
    """Replace the HTTP pool and call the platform's WSGI application directly."""

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
        min_bytes_per_second=None,
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
        response = HttpAnswer(int(status.split()[0]), message(lines), b"".join(answer))
        if check is not None:
            check(response)
        return response

    def close(self):
        """Do nothing, as there are no connections to close."""
