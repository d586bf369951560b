"""Serve all stand-ins of one platform over HTTP.

Run as ``python -m tests.standins.server DEPLOYMENT``. Prints its address as a JSON
line and serves until the process is terminated.
"""

import json
import sys
import urllib.parse

from waitress.server import create_server

from papayapick.clients import (
    Condition,
    ObjectMissing,
    ObjectsUnavailable,
    TableUnavailable,
    TransactionConflict,
    Write,
)
from papayapick.clock import SystemClock
from tests.standins.board import FaultBoard
from tests.standins.hosts import HOSTS, HostsStandin
from tests.standins.instances import InstancesStandin
from tests.standins.store import MemoryObjects, MemoryTable
from tests.standins.workers import WorkersStandin

THREADS = 96
CONNECTIONS = 1000
WORKERS_PER_ZONE = 8


class Platform:
    """Route requests to the stand-ins.

    Requests to ``/control`` set faults, edit the host list and return counts.
    """

    def __init__(self, clock=None, service_seconds=0.002):
        self.clock = clock or SystemClock()
        self.board = FaultBoard()
        self.table = MemoryTable(self.board)
        self.objects = MemoryObjects(self.board)
        self.hosts = HostsStandin(self.clock)
        self.workers = WorkersStandin(self.clock)
        self.instances = InstancesStandin(self.board, service_seconds)

    def fill(self, bundle, url):
        """Add 8 workers to each zone, with one instance of each service per worker."""
        for zone, region in bundle.zones().items():
            for number in range(1, WORKERS_PER_ZONE + 1):
                worker = f"worker-{zone}-{number:02d}"
                place = {"region": region, "zone": zone, "rack": f"rack-{zone}"}
                self._add_worker(worker, url, place)
                for service in bundle.services:
                    self._add_instance(service, worker, url, place)

    def _add_worker(self, name, url, place):
        capacity = {"processors": 16000, "memory": 65536, "accelerators": 0}
        self.workers.add(name, capacity)
        self.hosts.put(
            {
                "name": name,
                "kind": "worker",
                "state": "live",
                "url": f"{url}/workers/{name}",
                "capacity": capacity,
                **place,
            }
        )

    def _add_instance(self, service, worker, url, place):
        name = f"{service}-{worker}"
        self.instances.add(name, service)
        self.hosts.put(
            {
                "name": name,
                "kind": "instance",
                "state": "live",
                "url": f"{url}/instances/{name}",
                "capacity": {"slots": 8, "connections": 64},
                "service": service,
                "worker": worker,
                **place,
            }
        )

    def __call__(self, environ, start_response):
        area, _, rest = environ["PATH_INFO"].lstrip("/").partition("/")
        size = int(environ.get("CONTENT_LENGTH") or 0)
        data = environ["wsgi.input"].read(size) if size else b""
        try:
            status, body, headers = getattr(self, "_" + area)(environ, rest, data)
        except (TableUnavailable, ObjectsUnavailable):
            status, body, headers = 503, b"{}", {}
        if not isinstance(body, bytes):
            body = json.dumps(body).encode()
        headers = {"Content-Type": "application/json", **headers}
        headers["Content-Length"] = str(len(body))
        start_response(f"{status} {status}", list(headers.items()))
        return [body]

    def _table(self, environ, rest, data):
        if rest == "transactions":
            return self._transact(json.loads(data))
        query = urllib.parse.parse_qs(environ.get("QUERY_STRING", ""))
        if rest == "rows" and "prefix" in query:
            rows = self.table.scan(query["prefix"][0])
            return 200, {"rows": [_line(row) for row in rows]}, {}
        row = self.table.read(urllib.parse.unquote(rest.removeprefix("rows/")))
        return (404, {}, {}) if row is None else (200, _line(row), {})

    def _transact(self, found):
        conditions = [Condition(**one) for one in found["conditions"]]
        writes = [Write(**one) for one in found["writes"]]
        try:
            self.table.transact(conditions, writes)
        except TransactionConflict as error:
            return 409, {"key": error.details["key"]}, {}
        return 200, {}, {}

    def _objects(self, environ, rest, data):
        if environ["REQUEST_METHOD"] == "PUT":
            self.objects.put(rest, data)
            is_lost = self.board.take("objects", "lose_answers")
            return (503 if is_lost else 200), {}, {}
        try:
            return 200, self.objects.get(rest), {}
        except ObjectMissing:
            return 404, {}, {}

    def _hosts(self, environ, rest, data):
        self.board.delay(HOSTS)
        if self.board.get(HOSTS, "down") or self.board.get(HOSTS, "fail"):
            return 503, {}, {}
        tag, body = self.hosts.answer()
        if environ.get("HTTP_IF_NONE_MATCH") == tag:
            return 304, b"", {"ETag": tag}
        return 200, body, {"ETag": tag}

    def _workers(self, environ, rest, data):
        name, _, path = rest.partition("/")
        self.board.delay(name)
        if self.board.get(name, "down") or self.board.get(name, "fail"):
            return 503, {}, {}
        status, body = self.workers.call(name, path, json.loads(data))
        if self.board.take(name, "lose_answers"):
            return 503, {}, {}
        return status, body, {}

    def _instances(self, environ, rest, data):
        name, _, path = rest.partition("/")
        if self.board.get(name, "down"):
            return 503, {}, {}
        status, body, headers = self._instance(environ, name, path, data)
        if self.board.get(name, "leave"):
            headers = {**headers, "Leaving": "1"}
        return status, body, headers

    def _instance(self, environ, name, path, data):
        if path == "fence":
            return (*self.instances.fence(name, json.loads(data)["epoch"]), {})
        if path.startswith("requests/"):
            request_id = path.removeprefix("requests/")
            return (*self.instances.state(name, request_id), {})
        request_id = environ.get("HTTP_REQUEST_ID", "")
        epoch = int(environ.get("HTTP_SHARD_EPOCH") or 0)
        status, body, headers = self.instances.call(
            name, request_id, epoch, json.loads(data)
        )
        if self.board.take(name, "lose_answers"):
            return 503, {}, {}
        return status, body, {"Request-Id": request_id, **headers}

    def _control(self, environ, rest, data):
        found = json.loads(data) if data else {}
        if rest == "faults":
            self.board.set(found["target"], found["kind"], found.get("value", True))
        elif rest == "clear":
            self.board.clear(found.get("target"))
        elif rest == "hosts":
            self.hosts.put(found)
        elif rest == "remove":
            self.hosts.remove(found["name"])
        elif rest == "mark":
            self.hosts.mark(found["name"], found["state"])
        return 200, self._counts(), {}

    def _counts(self):
        return {
            "reads": self.table.reads,
            "writes": self.table.writes,
            "runs": self.instances.runs(),
            "most": self.instances.most(),
            "overfilled": self.workers.overfilled(),
            "running": self.workers.running(),
        }


def _line(row):
    return {"key": row.key, "value": row.value, "version": row.version}


def main():
    from papayapick.bundle import Bundle

    with open(f"deploy/{sys.argv[1]}/bundle.json", encoding="utf-8") as file:
        bundle = Bundle.from_document(json.load(file))
    platform = Platform()
    server = create_server(
        platform,
        host="127.0.0.1",
        port=0,
        threads=THREADS,
        connection_limit=CONNECTIONS,
    )
    url = f"http://127.0.0.1:{server.effective_port}"
    platform.fill(bundle, url)
    sys.stdout.write(json.dumps({"url": url}) + "\n")
    sys.stdout.flush()
    server.run()


if __name__ == "__main__":
    main()
