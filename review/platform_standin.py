"""Stand-ins of the platform and entry hosts as processes, for the scripts of cases.

Built on the project's own stand-in of the platform, ``tests/standins/cluster.py``.
Added are several services, the limit of a row, labels that a worker's entry names, ends
that are taken note of, a listener of its own for each entry host, by which the store
turns one host away, and a record of all that is sent, answered and run.
"""

import base64
import http.client
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
from pathlib import Path

from papayapick.listening import create_listener
from tests.standins.cluster import OK, UNAVAILABLE, Cluster, Rows, WorkerStandin
from tests.standins.machines import MachinesStandin, machine_of

ROOT = Path(__file__).resolve().parent.parent
READY_SECONDS = 20.0
LISTENER_THREADS = 64
BAD = "400 Bad Request"
# ``row_bytes`` of the settings: the most that the value of a row may have.
ROW_BYTES = 65536
ENDS_PER_ANSWER = 500

# Bounds of the site ffct-pick.
SETTINGS = """
node = "{name}"
role = "entry"
machine_class = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "hobart-a"
region = "south-tas"
port_range = [{peer}, {peer}]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","platform","advice",
 "upkeep","sharing"]
commands = "rpc"
advice = "{platform}"
[zones]
hobart-a = "south-tas"
[listen]
frontend = "{ip}:{front}"
readiness = "{ip}:{ready}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4100
bandwidth_mbps = 1000.0
disk_mb = 0
[bounds]
contact_ms = 4000
ack_ms = 5000
sync_s = 4
drain_ms = 2500
grace_s = 6
config_apply_ms = 2500
recovery_s = 12
hold_max_ms = 6000
kill_grace_ms = 200
gang_timeout_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
checkpoint_s = 1
restore_ms = 250
notice_ms = 5500
move_s = 1.5
upkeep_s = 2
require_fence = true
lease_ms = 3000
pace_ms = 100
harm_ms = 4000
[platform]
address = "{platform}"
form = "table"
writes_per_s = 800
reads_per_s = 2000
tx_ms = 3.0
row_bytes = 65536
across = true
history_s = 20
[cloud_api]
address = "{platform}"
rate_per_s = 60.0
duties = []
duty_per_s = 60.0
"""


def deploy_command():
    """Return the command of the entry role in the deploy file."""
    with open(ROOT / "deploy" / "system.toml", "rb") as file:
        return tomllib.load(file)["roles"]["entry"]["run"].split()


class Record:
    """Write what happens, with the seconds since the script began."""

    def __init__(self, path):
        self._began = time.monotonic()
        self._path = Path(path)
        self._path.write_text("")
        self._lock = threading.Lock()

    def write(self, text):
        """Append a line."""
        with self._lock:
            seconds = time.monotonic() - self._began
            with self._path.open("a", encoding="utf-8") as file:
                file.write(f"{seconds:8.3f} {text}\n")

    def at(self, moment):
        """Return a monotonic time in seconds since the script began."""
        return round(moment - self._began, 3)


class LimitedRows(Rows):
    """Rows of at most ``row_bytes``: a transaction with a larger one is refused."""

    def __init__(self):
        super().__init__()
        self.refused = 0
        self.largest = 0

    def transact(self, body):
        """Apply a transaction, unless one of its rows is too large."""
        sizes = [len(base64.b64decode(one["value"])) for one in body["writes"]]
        self.largest = max([self.largest, *sizes])
        if any(size > ROW_BYTES for size in sizes):
            self.refused += 1
            return BAD, {}
        return super().transact(body)


class Worker(WorkerStandin):
    """A worker that remembers which ends were taken note of."""

    def __init__(self, name, service, labels, **settings):
        super().__init__(name, **settings)
        self.service = service
        self.labels = labels
        self.is_lasting = False
        # (task, attempt, how) of the ends up to ``ack_cursor``.
        self.noted_ends = set()

    def _hold(self, body):
        seen = body.get("ack_cursor", 0)
        self.noted_ends |= {
            (task, attempt, how)
            for number, task, attempt, how, _ in self.finished
            if number <= seen
        }
        status, found = super()._hold(body)
        # PROTOCOL: "The others are returned again (500 at a time)."
        return status, {**found, "finished": found["finished"][:ENDS_PER_ANSWER]}

    def _percent(self, name):
        return 100 if self.is_lasting else super()._percent(name)


class _Listener:
    """Serve the platform to one entry host; the store may turn that host away."""

    def __init__(self, platform):
        self._platform = platform
        self.is_turned_away = False
        self._server = create_listener(
            self,
            host="127.0.0.1",
            port=0,
            threads=LISTENER_THREADS,
            connection_limit=500,
        )
        threading.Thread(target=self._server.run, daemon=True).start()

    @property
    def address(self):
        return f"127.0.0.1:{self._server.effective_port}"

    def __call__(self, environ, start_response):
        if self.is_turned_away and environ["PATH_INFO"].startswith("/rows-"):
            headers = [("Content-Type", "application/json"), ("Content-Length", "2")]
            start_response(UNAVAILABLE, headers)
            return [b"{}"]
        return self._platform(environ, start_response)


class Machines(MachinesStandin):
    """The list of machines, with the labels of each machine's worker."""

    def _entry(self, name):
        entry = super()._entry(name)
        worker = self._cluster.workers.get(name)
        if worker is not None:
            entry["labels"] = worker.labels
        return entry


class Platform(Cluster):
    """Store, workers, machines and advice, with several services."""

    def __init__(self, record):
        super().__init__()
        self.rows = LimitedRows()
        self.machines = Machines(self)
        self.record = record

    def restart(self, name, labels):
        """Start a worker that crashed again, under its id, as another kind."""
        worker = self.workers[name]
        with worker.changed:
            worker.restart()
            worker.labels = list(labels)
            worker.is_silent = False
        self.down.discard(name)
        self.register(name)
        self.record.write(f"{name} starts again, labels {worker.labels}")

    def crash(self, name):
        """Crash a worker; its machine is listed as down."""
        super().crash(name)
        self.record.write(f"{name} crashed")

    def add(self, name, service="pool-1", labels=("a", "r1-1"), **settings):
        """Add a worker and its entry in the list of workers."""
        worker = Worker(name, service, list(labels), **settings)
        self.workers[name] = worker
        self.register(name)
        return worker

    def register(self, name, state="ready"):
        """Write the entry of a worker, as the worker does."""
        worker = self.workers[name]
        entry = {
            "service": worker.service,
            "address": f"{self.address}/workers/{worker.slot}",
            "zone": "hobart-a",
            "version": "1",
            "slots": 8,
            "state": state,
            "cold_left_ms": 0,
            "seq": 1,
            "capacity": worker.capacity,
            "labels": worker.labels,
            "born": worker.born,
        }
        self.rows.write("servers", "", name, entry)

    def write_config(self, version, routes, services):
        """Write a config, as the operator does; the store's answer is its ack."""
        value = {
            "version": version,
            "routes": routes,
            "services": [
                {"name": name, "enforces_capacity": False} for name in services
            ],
            "limits": {"max_body_bytes": 262144},
        }
        self.rows.write("op", "", "config", value)
        shown = {route["path_prefix"]: route["service"] for route in routes}
        self.record.write(f"operator: config {version} acked, routes {shown}")

    def write_runs(self):
        """Write all runs, as their workers saw them, to the record."""
        workers = list(self.workers.values())
        for run in sorted(
            (one for worker in workers for one in worker.all_records()),
            key=lambda one: one.began,
        ):
            ended = (
                "running" if run.ended == float("inf") else self.record.at(run.ended)
            )
            self.record.write(
                f"run {run.task} attempt {run.attempt} on {run.worker} fence "
                f"{run.token}: {self.record.at(run.began)} to {ended} {run.how}"
            )


def route(prefix, service, **fields):
    """Return a route of the operator's config."""
    return {
        "name": prefix.strip("/"),
        "host": "jobs.example",
        "path_prefix": prefix,
        "service": service,
        "priority": 0,
        "attempts": 4,
        "timeout_ms": 3000,
        "slo_ms": 500,
        "stretch": 1.5,
        **fields,
    }


_PORTS = iter(random.Random(os.getpid()).sample(range(20_000, 30_000), 4_000))


def _free_port(ip):
    for port in _PORTS:
        try:
            socket.create_server((ip, port)).close()
        except OSError:
            continue
        return port
    raise OSError("no free port")


class Host:
    """An entry host: the program of the deploy file, as a process."""

    def __init__(self, number, platform, folder):
        self.name = f"edge-hobart-a-{number}"
        self.ip = f"127.0.0.{10 + number}"
        self.listener = _Listener(platform)
        self.front, self.ready, peer = (_free_port(self.ip) for _ in range(3))
        self.record = platform.record
        self.path = Path(folder) / f"{self.name}.toml"
        self.path.write_text(
            SETTINGS.format(
                name=self.name,
                ip=self.ip,
                peer=peer,
                front=self.front,
                ready=self.ready,
                platform=self.listener.address,
            )
        )
        self.log = Path(folder) / f"{self.name}.log"
        self.process = None

    def start(self):
        """Start the process."""
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["PAPAYAPICK_CONFIG"] = str(self.path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                deploy_command(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.write(f"{self.name} started")

    def kill(self):
        """Send SIGKILL and wait for the end."""
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self.record.write(f"{self.name} killed")

    def terminate(self, grace_seconds=6.0):
        """Send SIGTERM, and SIGKILL after the grace period."""
        self.record.write(f"{self.name} SIGTERM")
        self.process.send_signal(signal.SIGTERM)
        try:
            self.process.wait(grace_seconds)
        except subprocess.TimeoutExpired:
            self.kill()
        self.record.write(f"{self.name} ended")

    def end(self):
        """End the process if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def call(self, method, path, body=None, timeout=4.0):
        """Send a request; return the status, or 0 without an answer, and the body."""
        connection = http.client.HTTPConnection(self.ip, self.front, timeout=timeout)
        try:
            headers = {
                "Host": "jobs.example",
                "Content-Type": "application/json",
                "X-Deadline-Ms": "3000",
            }
            connection.request(method, path, body, headers)
            answer = connection.getresponse()
            status, found = answer.status, json.loads(answer.read() or b"{}")
        except (OSError, http.client.HTTPException, ValueError) as error:
            status, found = 0, {"error": str(error)}
        finally:
            connection.close()
        self.record.write(f"{self.name} {method} {path} -> {status} {found}")
        return status, found

    def is_ready(self):
        """Return whether the host reports itself ready."""
        connection = http.client.HTTPConnection(self.ip, self.ready, timeout=1)
        try:
            connection.request("GET", "/readyz")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()


class Cell:
    """Some entry hosts of one platform; ends all of their processes."""

    def __init__(self, platform, hosts=3):
        self._folder = tempfile.TemporaryDirectory()
        self._platform = platform
        self.hosts = [
            Host(number, platform, self._folder.name) for number in range(1, hosts + 1)
        ]

    def __enter__(self):
        for host in self.hosts:
            host.start()
        return self

    def __exit__(self, *exception):
        for host in self.hosts:
            host.end()
        self._folder.cleanup()

    def wait_until_ready(self):
        """Wait until all hosts report themselves ready; return whether they do."""
        return wait_for(lambda: all(h.is_ready() for h in self.hosts), READY_SECONDS)

    def owner(self, pool="pool-1"):
        """Return the host that last wrote to the store under a condition, or None.

        It is the owner of the pool, as the store's row names it.
        """
        row = self._platform.rows.rows.get(("cell", pool, "owner"))
        if row is None:
            return None
        name = json.loads(base64.b64decode(row["value"]))["owner"]
        return next((host for host in self.hosts if host.name == name), None)


def wait_for(condition, seconds):
    """Wait until a condition holds; return whether it did in time."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(0.02)
    return False


def run_case(main):
    """Run a case and exit with its code: 1 broken, 0 held, 2 if it could not run."""
    # So that the processes are ended if the script is.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    code = 2
    try:
        code = main()
    except BaseException:
        traceback.print_exc()
    # The threads of the stand-ins still serve.
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)


__all__ = [
    "OK",
    "ROOT",
    "Cell",
    "Host",
    "Platform",
    "Record",
    "Worker",
    "deploy_command",
    "machine_of",
    "route",
    "run_case",
    "wait_for",
]
