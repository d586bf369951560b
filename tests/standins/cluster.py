"""Stand-in for the users' platform: store, workers and advice over HTTP.

Rows and runs are kept in memory, and tests inject faults by setting attributes.
The path of a worker's address contains its name, so one server serves all workers.
"""

import base64
import json
import threading
import time
import urllib.parse
from random import Random

from papayapick.listening import create_listener
from tests.standins.machines import MachinesStandin, machine_of
from tests.standins.platform_rows import Rows
from tests.standins.platform_worker import WorkerStandin
from tests.standins.statuses import MISDIRECTED, OK, UNAVAILABLE

__all__ = ["OK", "UNAVAILABLE", "Cluster", "Rows", "WorkerStandin"]

THREADS = 96
CLOSE_SECONDS = 10.0


def _other_routes(queue, count):
    """Return routes of other queues, whose names hardly compress."""
    random = Random(count)
    names = [f"{random.randrange(16**8):08x}" for _ in range(count)]
    return [
        {**queue, "name": name, "host": f"{name}.example", "path_prefix": f"/{name}/"}
        for name in names
    ]


class Cluster:
    """Serve the store, the workers, the machines and the advice on one port."""

    def __init__(self):
        self.rows = Rows()
        self.workers = {}
        # Names of the workers whose machine is down.
        self.down = set()
        self.machines = MachinesStandin(self)
        self.advice_seconds = 0.0
        self.advice_calls = 0
        self._server = create_listener(
            self, host="127.0.0.1", port=0, threads=THREADS, connection_limit=500
        )
        self._is_closed = threading.Event()
        self._thread = threading.Thread(target=self._server.run, daemon=True)
        self._thread.start()

    @property
    def address(self):
        return f"127.0.0.1:{self._server.effective_port}"

    def reset(self):
        """Remove all rows, workers and machines and cancel pending returns."""
        self.machines.close()
        self.rows.__init__()
        self.workers.clear()
        self.down.clear()
        self.machines = MachinesStandin(self)

    def close(self):
        """Stop listening; open connections are still served."""
        self.machines.close()
        # Closed from another thread, the socket could be in a running select() call,
        # so the server's own thread closes it.
        self._server.trigger.pull_trigger(self._stop_listening)
        assert self._is_closed.wait(CLOSE_SECONDS), "the server did not close"

    def _stop_listening(self):
        self._server.close()
        self._is_closed.set()

    def add_worker(self, name, service="pool-1", **settings):
        worker = WorkerStandin(name, **settings)
        worker.service = service
        self.workers[name] = worker
        self.register(name)
        return worker

    def register(self, name, state="ready"):
        worker = self.workers[name]
        self.rows.write(
            "servers",
            "",
            name,
            {
                "service": worker.service,
                "address": f"{self.address}/workers/{worker.slot}",
                "zone": "z1",
                "state": state,
                "capacity": worker.capacity,
                "labels": ["a", "r1-1"],
                "born": worker.born,
            },
        )

    def configure(self, version=1, teams=(), more_routes=0, **route):
        queue = {
            "name": "quick",
            "host": "jobs.example",
            "path_prefix": "/quick/",
            "service": "pool-1",
            "priority": 0,
            "attempts": 2,
            "timeout_ms": 3000,
            "slo_ms": 500,
            "stretch": 1.5,
            **route,
        }
        value = {
            "version": version,
            "routes": [queue, *_other_routes(queue, more_routes)],
            "services": [{"name": "pool-1"}],
            "limits": {"max_body_bytes": 262144},
            "tenants": list(teams),
        }
        self.rows.write("op", "", "config", value)

    def starts(self):
        """Return the (worker, attempt) pairs of all starts so far, by task."""
        found = {}
        for worker in self.workers.values():
            for task, attempt in worker.starts:
                found.setdefault(task, []).append((worker.name, attempt))
        return found

    def most_running(self, identifier):
        """Return how many tasks of a job ran at the same time at most."""
        changes = [one for worker in self.workers.values() for one in worker.changes]
        running = most = 0
        for _, change, task in sorted(changes):
            if task.startswith(identifier):
                running += change
                most = max(most, running)
        return most

    def __call__(self, environ, start_response):
        path = environ["PATH_INFO"]
        size = int(environ.get("CONTENT_LENGTH") or 0)
        body = json.loads(environ["wsgi.input"].read(size)) if size else {}
        query = dict(urllib.parse.parse_qsl(environ.get("QUERY_STRING", "")))
        query.setdefault("part", "")
        answer = self._answer(path, body, query, environ)
        if answer is None:
            # Waitress closes the connection when the body is shorter than its
            # Content-Length, so the client gets no complete answer.
            start_response(OK, [("Content-Length", "10")])
            return [b""]
        status, found = answer
        data = json.dumps(found).encode()
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(data))),
        ]
        start_response(status, headers)
        return [data]

    def request_wave(self, number, names, seconds=30.0, at_once=1):
        """Write the operator's request for the upkeep of the workers' machines."""
        machines = [machine_of(name) for name in names]
        self.machines.waves[number] = set(machines)
        value = {
            "wave": number,
            "machines": machines,
            "duration_s": seconds,
            "maximum": at_once,
        }
        self.rows.write("op", "", f"wave/{number}", value)

    def wave_state(self, number):
        """Return the published state of a wave, or None if there is none."""
        row = self.rows.rows.get(("status", "", f"wave/{number}"))
        return row and json.loads(base64.b64decode(row["value"]))["state"]

    def crash(self, name):
        """Crash a worker: it stops answering and its machine is listed as down."""
        worker = self.workers[name]
        with worker.changed:
            worker.is_silent = True
            worker.lose_runs()
        self.down.add(name)

    def _worker_at(self, slot):
        workers = list(self.workers.values())
        return next((one for one in workers if one.slot == slot), None)

    def _answer(self, path, body, query, environ):
        if path.startswith("/workers/"):
            _, _, slot, call = path.split("/")
            worker = self._worker_at(slot)
            expected = environ.get("HTTP_X_EXPECT_INSTANCE")
            if worker is None or expected not in (None, worker.name):
                return MISDIRECTED, {}
            answer = None if worker.is_silent else worker.call(call, body)
            # A call that waits in a worker that crashes gets no answer either.
            return None if worker.is_silent else answer
        if path == "/machines":
            return self.machines.list(query)
        if path == "/machine-upkeep":
            return self.machines.begin_upkeep(body, environ)
        if path == "/advise":
            self.advice_calls += 1
            time.sleep(self.advice_seconds)
            return OK, {"good": [[one, "t-" + one] for one in body["workers"]]}
        if self.rows.is_down:
            return UNAVAILABLE, {}
        if path == "/rows-tx":
            found = self.rows.transact(body)
            if self.rows.answers_to_lose:
                self.rows.answers_to_lose -= 1
                return None
            return found
        if path == "/rows-parts":
            return self.rows.parts(query)
        return self.rows.get(query) if path == "/rows-get" else self.rows.feed(query)
