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
from tests.standins.runs import RunRecord

THREADS = 96
GONE = "410 Gone"
OK = "200 OK"
CONFLICT = "409 Conflict"
FAILED = "412 Precondition Failed"
UNAVAILABLE = "503 Service Unavailable"
MISDIRECTED = "421 Misdirected Request"
ROWS_PER_PAGE = 500
PARTS_PER_PAGE = 1000
LEASE_LIMIT_MS = 6000
CLOSE_SECONDS = 10.0
# What the clock of a worker shows when it begins.
CLOCK_OFFSET_MS = 5_000_000


class Rows:
    """Store rows in memory with a common version counter and a change history."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.history = []
        self.oldest = 0
        self.is_down = False
        # Number of transactions that are applied but whose answer is lost.
        self.answers_to_lose = 0
        self.transactions = 0
        self.changed = threading.Condition()

    def transact(self, body):
        with self.changed:
            self.transactions += 1
            failed = [
                one for one in body["expected_rev"] if self._version(one) != one["ver"]
            ]
            if failed:
                rows = [self.rows.get(_key(one)) for one in body["expected_rev"]]
                return FAILED, {"rows": [row for row in rows if row]}
            self.version += 1
            for one in body["writes"]:
                self._put({**one, "ver": self.version})
            for one in body["remove"]:
                if self.rows.pop(_key(one), None):
                    gone = {"value": "", "deleted": True, "ver": self.version}
                    self.history.append({**one, **gone})
            self.changed.notify_all()
            return OK, {"ver": self.version, "now_ms": 0}

    def _put(self, row):
        self.rows[_key(row)] = row
        self.history.append(row)

    def _version(self, one):
        row = self.rows.get(_key(one))
        return row["ver"] if row else 0

    def get(self, query):
        limit = min(int(query.get("limit", ROWS_PER_PAGE)), ROWS_PER_PAGE)
        with self.changed:
            found = [
                row
                for (table, part, key), row in self.rows.items()
                if table == query["table"]
                and part == query["part"]
                and key >= query.get("from", "")
                and ("to" not in query or key < query["to"])
            ]
            found.sort(key=lambda row: row["key"])
            body = {"rows": found[:limit], "more_pages": len(found) > limit}
            return OK, {**body, "ver": self.version, "now_ms": 0}

    def parts(self, query):
        with self.changed:
            found = {part for table, part, _ in self.rows if table == query["table"]}
        found = sorted(part for part in found if part > query.get("after", ""))
        return OK, {"parts": found[:PARTS_PER_PAGE]}

    def feed(self, query):
        after, table = int(query["after"]), query["table"]
        deadline = time.monotonic() + int(query["wait_ms"]) / 1000
        with self.changed:
            while not self.is_down:
                if after < self.oldest:
                    return GONE, {}
                rows = [
                    row
                    for row in self.history
                    if row["table"] == table and row["ver"] > after
                ]
                rest = deadline - time.monotonic()
                if rows or rest <= 0:
                    return OK, {"rows": rows, "ver": self.version, "now_ms": 0}
                self.changed.wait(rest)
        return UNAVAILABLE, {}

    def discard_history(self):
        with self.changed:
            self.history = []
            self.oldest = self.version

    def write(self, table, part, key, value):
        """Write a row without conditions, as the operator or a worker does."""
        encoded = base64.b64encode(json.dumps(value).encode()).decode()
        row = {"table": table, "part": part, "key": key, "value": encoded}
        self.transact({"expected_rev": [], "writes": [row], "remove": []})

    def remove(self, table, part, key):
        row = {"table": table, "part": part, "key": key}
        self.transact({"expected_rev": [], "writes": [], "remove": [row]})


def _key(one):
    return (one["table"], one["part"], one["key"])


def _other_routes(queue, count):
    """Return routes of other queues, whose names hardly compress."""
    random = Random(count)
    names = [f"{random.randrange(16**8):08x}" for _ in range(count)]
    return [
        {**queue, "name": name, "host": f"{name}.example", "path_prefix": f"/{name}/"}
        for name in names
    ]


class WorkerStandin:
    """Run tasks for ``task_seconds`` under a lease; refuse lower fencing tokens."""

    service = "pool-1"

    def __init__(self, name, cpu=16000, mem_mb=65536, task_seconds=0.1):
        self.name = name
        # Last part of its address; another worker may take it later.
        self.slot = name
        self.capacity = {"cpu": cpu, "mem_mb": mem_mb, "gpu": 0}
        self.task_seconds = task_seconds
        # In Unix milliseconds; an hour ago, as most workers have run for long.
        self.born = int(time.time() * 1000) - 3_600_000
        self.token = 0
        self.until = 0.0
        self.running = {}
        self.finished = []
        self.last_attempts = {}
        self.starts = []
        # All runs so far, and the active ones by name.
        self.records = []
        self._active = {}
        # Monotonic seconds at which its clock began, and its speed.
        self._clock_began = 0.0
        self.clock_rate = 1.0
        # Time, 1 for a start or -1 for an end, and task.
        self.changes = []
        self.overlaps = []
        self.number = 0
        self.failing = set()
        self.is_silent = False
        self.starts_to_lose = 0
        # Start orders that got no answer; ``run_late`` executes them.
        self.late = []
        self.starts_to_delay = 0
        self.changed = threading.Condition()

    def call(self, path, body):
        with self.changed:
            if body.get("fencing_token", 0) < self.token:
                return CONFLICT, self._body(reason="fence")
            self.token = body.get("fencing_token", 0)
            self._advance()
            return getattr(self, "_" + path.replace("-", "_"))(body)

    def _run_start(self, body):
        if self.starts_to_delay:
            self.starts_to_delay -= 1
            self.late.append(body)
            return None
        return self._start(body)

    def _start(self, body):
        task, attempt = body["task"], body["attempt"]
        if (task, attempt) in self.running:
            return OK, self._body()
        if attempt <= self.last_attempts.get(task, 0):
            return CONFLICT, self._body(reason="old")
        if body["expires_ms"] < self._clock():
            return CONFLICT, self._body(reason="late")
        self._extend(body)
        now = time.monotonic()
        self.running[(task, attempt)] = now + self.task_seconds
        self.starts.append((task, attempt))
        self.changes.append((now, 1, task))
        record = RunRecord(self.name, task, attempt, self.token, now)
        self.records.append(record)
        self._active[(task, attempt)] = record
        self.changed.notify_all()
        if self.starts_to_lose:
            self.starts_to_lose -= 1
            return None
        return OK, self._body()

    def execute_delayed_starts(self):
        """Execute the delayed start orders and return their answers."""
        with self.changed:
            late, self.late = self.late, []
            return [
                (CONFLICT, {"reason": "fence"})
                if body["fencing_token"] < self.token
                else self._start(body)
                for body in late
            ]

    def _run_stop(self, body):
        name = (body["task"], body["attempt"])
        if name in self.running:
            self._end(name, "stopped")
        task, attempt = name
        self.last_attempts[task] = max(attempt, self.last_attempts.get(task, 0))
        return OK, self._body()

    def _pace(self, body):
        return OK, self._body()

    def _hold(self, body):
        self._extend(body)
        seen = body.get("ack_cursor", 0)
        self.finished = [end for end in self.finished if end[0] > seen]
        deadline = time.monotonic() + body.get("wait_ms", 0) / 1000
        while not self.finished and time.monotonic() < deadline:
            self.changed.wait(0.01)
            self._advance()
        running = [
            [*name, self._saved(name), self._percent(name), 0] for name in self.running
        ]
        return OK, self._body(running=running, finished=list(self.finished))

    def _saved(self, name):
        """Return the last checkpoint of an active run; empty, as none are made."""
        return ""

    def _percent(self, name):
        rest = self.running[name] - time.monotonic()
        return max(0, min(99, int(100 * (1 - rest / self.task_seconds))))

    def _extend(self, body):
        if "expires_ms" in body:
            limit = self._clock() + LEASE_LIMIT_MS
            self.until = max(self.until, min(body["expires_ms"], limit))

    def _advance(self):
        now = time.monotonic()
        lapse = self._clock_began + self._to_seconds(self.until)
        for name, end in list(self.running.items()):
            if min(now, lapse) >= end:
                how = "failed" if name[0] in self.failing else "done"
                self._end(name, how, end)
        if now > lapse:
            for name in list(self.running):
                self._end(name, "lapsed", lapse)

    def all_records(self):
        """Return the records of all runs so far, up to the present."""
        with self.changed:
            self._advance()
            return list(self.records)

    def lose_runs(self):
        """End all runs without a trace, as a crash does; the caller holds the lock."""
        self._advance()
        for name in list(self.running):
            self._close(name, "lost", time.monotonic())

    def restart(self):
        """Begin another life under the same id; the caller holds the lock."""
        self.lose_runs()
        self.born = int(time.time() * 1000)
        self.token = self.number = 0
        self.until = 0.0
        self._clock_began = time.monotonic()
        self.finished = []
        self.last_attempts = {}

    def _end(self, name, how, at=None):
        saved = self._saved(name)
        self._close(name, how, time.monotonic() if at is None else at)
        self.number += 1
        task, attempt = name
        self.last_attempts[task] = max(attempt, self.last_attempts.get(task, 0))
        self.finished.append([self.number, task, attempt, how, saved])
        self.changed.notify_all()

    def _close(self, name, how, at):
        self.running.pop(name)
        record = self._active.pop(name)
        record.ended, record.how = at, how
        self.changes.append((at, -1, name[0]))

    def _clock(self):
        seconds = time.monotonic() - self._clock_began
        return int(seconds * self.clock_rate * 1000) + CLOCK_OFFSET_MS

    def _to_seconds(self, milliseconds):
        return (milliseconds - CLOCK_OFFSET_MS) / 1000 / self.clock_rate

    def _body(self, **fields):
        return {"clock_ms": self._clock(), "born": self.born, **fields}


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
