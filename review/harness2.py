"""Start entry hosts as the deploy file says, beside stand-ins of their platform.

Shared by the scripts of cases 4 to 8. Every address is a loopback address.
"""

import base64
import contextlib
import http.client
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from tests.standins.cluster import Cluster  # noqa: E402

HELD, BROKEN, NOT_RUN = 0, 1, 2
POLL_SECONDS = 0.02
START_SECONDS = 25.0
# A case that takes longer is given up, and its hosts are ended.
LIMIT_SECONDS = 110
ROUTE_HOST = "jobs.example"
ROUTE_PREFIX = "/quick/"
CONTRACTS = [
    "base",
    "drain",
    "config",
    "cost",
    "recover",
    "sched",
    "platform",
    "advice",
    "upkeep",
    "sharing",
]
# The example of DEPLOY.md, with the bounds of the site ffct-pick.
SETTINGS = """
node = "{name}"
role = "entry"
machine_class = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "z1"
region = "south"
port_range = [7720, 7735]
seeds = []
bootstrap = true
in_tolerance = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = {contracts}
commands = "rpc"
advice = "{platform}"
[zones]
z1 = "south"
[listen]
frontend = "{ip}:8161"
readiness = "{ip}:8167"
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
loss_slack_ms = 200
config_apply_ms = 2500
rollback_slack_ms = 250
max_skew_ms = 6000
recovery_s = 12
hold_max_ms = 6000
kill_grace_ms = 200
gang_timeout_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
far_x = 2
checkpoint_s = 1
restore_ms = 250
notice_ms = 5500
move_s = 1.5
upkeep_s = 2
require_fence = true
lease_ms = 3000
thaw_ms = 300
pace_ms = 100
harm_ms = 4000
quota_window_s = 5
quota_burst = 0.1
quota_slack = 20
[platform]
address = "{store}"
form = "table"
writes_per_s = 800
reads_per_s = 2000
tx_ms = 3.0
part_writes_per_s = 300
row_bytes = 65536
across = true
history_s = 20
[cloud_api]
address = "{platform}"
rate_per_s = 60.0
duties = []
duty_per_s = 60.0
"""


class CannotRunError(Exception):
    """The case can't be judged."""


class Record:
    """Write what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self._began = time.monotonic()
        self._file = open(folder / "record.txt", "w")  # noqa: SIM115
        self._lock = threading.Lock()

    def write(self, text):
        """Write one line."""
        with self._lock:
            self._file.write(f"{time.monotonic() - self._began:8.3f}  {text}\n")
            self._file.flush()


class Gate:
    """Pass the connections of one host on to the store, until it is shut.

    Shut, it passes no byte on and accepts no connection, as a partition does.
    """

    def __init__(self, target):
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._open = threading.Event()
        self._open.set()
        self._server = socket.create_server(("127.0.0.1", 0), backlog=256)
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self):
        """Return the address of the gate."""
        return f"127.0.0.1:{self._server.getsockname()[1]}"

    def shut(self):
        """Pass nothing on from now on."""
        self._open.clear()

    def reopen(self):
        """Pass bytes and connections on again."""
        self._open.set()

    def _accept(self):
        while True:
            near, _ = self._server.accept()
            threading.Thread(target=self._serve, args=(near,), daemon=True).start()

    def _serve(self, near):
        self._open.wait()
        with contextlib.suppress(OSError):
            far = socket.create_connection(self._target)
            for one, other in ((near, far), (far, near)):
                for sock in (one, other):
                    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                threading.Thread(
                    target=self._copy, args=(one, other), daemon=True
                ).start()
            return
        near.close()

    def _copy(self, source, sink):
        with contextlib.suppress(OSError):
            while data := source.recv(65536):
                self._open.wait()
                sink.sendall(data)
        for sock in (source, sink):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)


class Platform(Cluster):
    """The stand-in of the platform, with an address of its own for each worker.

    A host has a limited number of connections to one address, which the workers would
    have to share.
    """

    def __init__(self):
        super().__init__()
        self._gates = {}

    def register(self, name, state="ready"):
        """Write the entry of a worker to the list of workers."""
        worker = self.workers[name]
        gate = self._gates.get(worker.slot)
        if gate is None:
            gate = self._gates[worker.slot] = Gate(self.address)
        self.rows.write(
            "servers",
            "",
            name,
            {
                "service": worker.service,
                "address": f"{gate.address}/workers/{worker.slot}",
                "zone": "z1",
                "version": "1",
                "slots": 8,
                "state": state,
                "cold_left_ms": 0,
                "seq": 1,
                "capacity": worker.capacity,
                "labels": ["a", "r1-1"],
                "born": worker.born,
            },
        )


def loopback_address():
    """Return a loopback address at which nothing listens on the ports of a host."""
    while True:
        ip = "127." + ".".join(str(random.randrange(2, 250)) for _ in range(3))
        with contextlib.suppress(OSError):
            for port in (7720, 8161, 8167, 9464):
                socket.create_server((ip, port)).close()
            return ip


class Host:
    """An entry host: one process, with the command of the deploy file."""

    def __init__(self, name, platform, store, folder, contracts=CONTRACTS):
        self.name, self.ip = name, loopback_address()
        self.path = folder / f"{name}.toml"
        self.log = folder / f"{name}.log"
        self.path.write_text(
            SETTINGS.format(
                name=name,
                ip=self.ip,
                platform=platform,
                store=store,
                contracts=json.dumps(list(contracts)),
            )
        )
        self.process = None

    def start(self):
        """Start the process, or another one after it has ended."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = shlex.split(deploy["roles"]["entry"]["run"])
        kept = {key: os.environ[key] for key in ("PATH", "HOME") if key in os.environ}
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env={
                    **kept,
                    "LANG": "C.UTF-8",
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PAPAYAPICK_CONFIG": str(self.path),
                },
                stdout=log,
                stderr=log,
            )

    def end(self):
        """Kill the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def call(self, method, path, body=None, timeout=4.0, key=None):
        """Return status and body of an answer; (None, error) without one."""
        client = http.client.HTTPConnection(self.ip, 8161, timeout=timeout)
        headers = {"Host": ROUTE_HOST}
        if key is not None:
            headers["Api-Key"] = key
        try:
            client.request(method, path, body, headers)
            answer = client.getresponse()
            return answer.status, answer.read().decode()
        except OSError as error:
            return None, type(error).__name__
        finally:
            client.close()

    def is_ready(self):
        """Return whether the host calls itself ready."""
        client = http.client.HTTPConnection(self.ip, 8167, timeout=1)
        try:
            client.request("GET", "/readyz")
            return client.getresponse().status == 200
        except OSError:
            return False
        finally:
            client.close()

    def log_lines(self, text):
        """Return the log lines that contain a text."""
        lines = self.log.read_text(errors="replace").splitlines()
        return [line for line in lines if text in line]


class Cell:
    """Some entry hosts beside one platform, ended with the block."""

    def __init__(
        self, record, hosts=3, cluster=None, gated=(), key=None, contracts=CONTRACTS
    ):
        self.record = record
        self._key = key
        self.cluster = cluster or Platform()
        self.gates = {name: Gate(self.cluster.address) for name in gated}
        self._folder = tempfile.TemporaryDirectory()
        folder = pathlib.Path(self._folder.name)
        self.hosts = {}
        for number in range(1, hosts + 1):
            name = f"host-{number}"
            gate = self.gates.get(name)
            store = gate.address if gate else self.cluster.address
            self.hosts[name] = Host(
                name, self.cluster.address, store, folder, contracts
            )

    def __enter__(self):
        try:
            for host in self.hosts.values():
                host.start()
            wait_for(lambda: all(one.is_ready() for one in self.hosts.values()))
            wait_for(lambda: self.owner())
        except BaseException:
            self.__exit__(None, None, None)
            raise
        self.record.write(f"hosts are ready, {self.owner()} owns the pool")
        return self

    def __exit__(self, *_):
        for host in self.hosts.values():
            host.end()
        self._folder.cleanup()

    def owner(self, pool="pool-1"):
        """Return the name of the host that owns a pool, or None."""
        row = self.cluster.rows.rows.get(("cell", pool, "owner"))
        if row is None:
            return None
        return json.loads(base64.b64decode(row["value"]))["owner"] or None

    def call(self, name, method, identifier, body=None, timeout=4.0):
        """Send a request of a client to a host, and record both."""
        self.record.write(f"client -> {name}: {method} {identifier} {body or ''}")
        found = self.hosts[name].call(
            method, ROUTE_PREFIX + identifier, body, timeout, self._key
        )
        self.record.write(f"{name} -> client: {method} {identifier}: {found}")
        return found


def wait_for(condition, seconds=START_SECONDS):
    """Wait until a condition holds; return its value."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if found := condition():
            return found
        time.sleep(POLL_SECONDS)
    raise CannotRunError("a condition did not hold in time")


def new_identifier():
    """Return the id of a new job."""
    return f"{random.getrandbits(64):016x}"


def job(*phases):
    """Return the body of a job; each phase completes the usual one."""
    usual = {"task_count": 1, "cpu": 500, "mem_mb": 100, "estimate_ms": 500}
    return json.dumps({"spec": "text", "phases": [{**usual, **one} for one in phases]})


def main(folder, case):
    """Run a case, which returns whether the rule held; exit with its outcome."""
    record = Record(pathlib.Path(folder).resolve())
    has_trouble = os.environ.get("TROUBLE") != "0"
    record.write("with the disruption" if has_trouble else "without the disruption")
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
        signal.signal(number, _give_up)
    signal.alarm(LIMIT_SECONDS)
    try:
        held = case(record, has_trouble)
    except BaseException as error:
        # The hosts have ended with the block of their cell. An error of the case itself
        # must not look like a broken rule.
        record.write(f"the case could not run: {error!r}")
        code = NOT_RUN
    else:
        code = HELD if held else BROKEN
        record.write("the rule held" if held else "THE RULE WAS BROKEN")
    sys.stdout.flush()
    os._exit(code)


def _give_up(number, frame):
    raise CannotRunError(f"ended by signal {number}")
