"""Backend server with little processor time per request, for benchmarks.

Run as ``python -m benchmarks.echo``. Prints its address as a JSON line and serves until
the process is terminated. The stand-in of the tests needs more processor time per
request than a gateway, and would limit the measured throughput.
"""

import json
import socket
import sys
import threading

_HEAD = "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nContent-Length: {}\r\n\r\n"
_BODY = b'{"count": ' + b"7" * 2000 + b"}"
_FENCED = b'{"running": []}'


def main():
    listener = socket.create_server(("127.0.0.1", 0), backlog=256)
    host, port = listener.getsockname()
    sys.stdout.write(json.dumps({"url": f"http://{host}:{port}"}) + "\n")
    sys.stdout.flush()
    while True:
        connection, _ = listener.accept()
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=serve, args=(connection,), daemon=True).start()


def serve(connection):
    """Answer the requests of one connection."""
    data = b""
    with connection:
        while True:
            while b"\r\n\r\n" not in data:
                part = connection.recv(65536)
                if not part:
                    return
                data += part
            head, _, data = data.partition(b"\r\n\r\n")
            first, *lines = head.decode().split("\r\n")
            headers = {
                name.lower(): value.strip()
                for name, _, value in (line.partition(":") for line in lines)
            }
            size = int(headers.get("content-length", 0))
            while len(data) < size:
                data += connection.recv(65536)
            data = data[size:]
            body = _FENCED if "/fence" in first else _BODY
            answer = _HEAD.format(headers.get("request-id", ""), len(body)).encode()
            connection.sendall(answer + body)


if __name__ == "__main__":
    main()
