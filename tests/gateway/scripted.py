"""A backend server on a real socket with scripted answers."""

import queue
import socket
import threading


class ScriptedServer:
    """Answer each request with the next script, a sequence of parts.

    A part is bytes to send, an Event to wait for, or ``CLOSE``. In the bytes,
    ``{id}`` is replaced by the id of the request.
    """

    CLOSE = object()

    def __init__(self):
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._scripts = queue.Queue()
        self._threads = []
        self._open = []
        self.requests = []
        self.connections = 0
        self._start(self._accept)

    @property
    def url(self):
        host, port = self._listener.getsockname()
        return f"http://{host}:{port}"

    def answer(self, *parts):
        self._scripts.put(parts)

    def close(self):
        self._listener.close()
        for sock in self._open:
            sock.close()

    def _start(self, target, *arguments):
        thread = threading.Thread(target=target, args=arguments, daemon=True)
        thread.start()
        self._threads.append(thread)

    def _accept(self):
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            self._open.append(sock)
            self.connections += 1
            self._start(self._serve, sock)

    def _serve(self, sock):
        try:
            with sock, sock.makefile("rb") as reader:
                while (request_id := self._read(reader)) is not None:
                    self.requests.append(request_id)
                    for part in self._scripts.get():
                        if part is self.CLOSE:
                            sock.shutdown(socket.SHUT_RDWR)
                            return
                        if isinstance(part, threading.Event):
                            part.wait(10)
                        else:
                            sock.sendall(part.replace(b"{id}", request_id.encode()))
        except OSError:
            return

    @staticmethod
    def _read(reader):
        """Return the id of the next request, or None at the end of the stream."""
        if not reader.readline():
            return None
        headers = {}
        while (line := reader.readline().strip()) != b"":
            name, _, value = line.partition(b":")
            headers[name.lower()] = value.strip()
        reader.read(int(headers.get(b"content-length", 0)))
        return headers.get(b"request-id", b"").decode()
