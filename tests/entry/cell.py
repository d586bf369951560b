"""Run entry hosts as processes beside a stand-in of their platform."""

import http.client
import itertools
import json
import os
import random
import signal
import socket
import subprocess
import sys
import time

from demo.cells import ROOT, json_lines

POLL_SECONDS = 0.02
READY_SECONDS = 20.0

SETTINGS = """
node = "{name}"
zone = "{zone}"
region = "{region}"
ip = "127.0.0.1"
port_range = [{peer}, {peer}]
advice = "{platform}"
unknown_field = "ignored"
[listen]
frontend = "127.0.0.1:{front}"
readiness = "127.0.0.1:{ready}"
[platform]
address = "{platform}"
[cloud_api]
address = "{platform}"
[bounds]
grace_s = 3
status_s = 120
hold_max_ms = 6000
kill_grace_ms = 200
gang_timeout_ms = 3000
cancel_ms = 3000
checkpoint_s = 1
"""


def settings_text(zone="z1", region="south", **fields):
    """Return the text of a settings file."""
    return SETTINGS.format(zone=zone, region=region, **fields)


# Below the range of ephemeral ports: an outgoing connection could otherwise take a port
# between its selection and its use.
_PORTS = itertools.count(random.Random(os.getpid()).randrange(20_000, 30_000))


def free_ports(count):
    """Return free ports; no port is returned twice in this process."""
    ports = []
    while len(ports) < count:
        port = next(_PORTS)
        try:
            socket.create_server(("127.0.0.1", port)).close()
        except OSError:
            continue
        ports.append(port)
    return ports


class EntryProcess:
    """Run one entry host as a process."""

    def __init__(
        self,
        name,
        platform,
        folder,
        has_teams=False,
        zone="z1",
        region="south",
        bandwidth_mbps=1000,
    ):
        self.name = name
        peer, front, ready, self.metrics = free_ports(4)
        self.front, self.ready = front, ready
        self.path = folder / f"{name}.toml"
        self.log = folder / f"{name}.log"
        contracts = 'contracts = ["tenants"]\n' if has_teams else ""
        text = settings_text(
            name=name,
            platform=platform,
            peer=peer,
            front=front,
            ready=ready,
            zone=zone,
            region=region,
        )
        limits = f"[limits]\nbandwidth_mbps = {bandwidth_mbps}\n"
        self.path.write_text(contracts + text + limits)
        self.process = None

    def start(self):
        environment = {
            **os.environ,
            "PAPAYAPICK_CONFIG": str(self.path),
            "PYTHONPATH": str(ROOT),
        }
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "papayapick.entry.program",
                    f"--metrics-port={self.metrics}",
                ],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def signal(self, number):
        self.process.send_signal(number)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def call(self, method, path, body=None, host="jobs.example", timeout=4.0, key=None):
        connection = http.client.HTTPConnection("127.0.0.1", self.front, timeout)
        connection.timeout = timeout
        try:
            headers = {"Host": host} if key is None else {"Host": host, "Api-Key": key}
            connection.request(method, path, body, headers)
            answer = connection.getresponse()
            return answer.status, json.loads(answer.read() or b"{}")
        finally:
            connection.close()

    def metrics_page(self):
        connection = http.client.HTTPConnection("127.0.0.1", self.metrics, timeout=1)
        try:
            connection.request("GET", "/metrics")
            return connection.getresponse().read().decode()
        finally:
            connection.close()

    def is_ready(self):
        connection = http.client.HTTPConnection("127.0.0.1", self.ready, timeout=1)
        try:
            connection.request("GET", "/readyz")
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()

    def events(self):
        """Return the log lines that it has written, decoded."""
        return json_lines(self.log)


class EntryCell:
    """Run several entry hosts of one platform."""

    def __init__(self, cluster, folder, hosts=3, has_teams=False, remote=0, link=None):
        self.cluster = cluster
        self.hosts = [
            EntryProcess(f"host-{number}", cluster.address, folder, has_teams)
            for number in range(1, hosts + 1)
        ]
        # Hosts of another region, which reach the platform through a shared link.
        self.remote_hosts = [
            EntryProcess(f"remote-{number}", link, folder, has_teams, "z2", "north", 5)
            for number in range(1, remote + 1)
        ]
        self.hosts += self.remote_hosts

    def __enter__(self):
        for host in self.hosts:
            host.start()
        try:
            wait_for(self._is_ready, READY_SECONDS)
            wait_for(self.owner, READY_SECONDS)
        except BaseException:
            self.__exit__()
            raise
        return self

    def _is_ready(self):
        return all(host.is_ready() for host in self.hosts)

    def __exit__(self, *exception):
        for host in self.hosts:
            host.end()

    def owner(self):
        """Return the host that owns the pool according to the store, or None."""
        import base64

        row = self.cluster.rows.rows.get(("cell", "pool-1", "owner"))
        if row is None:
            return None
        name = json.loads(base64.b64decode(row["value"]))["owner"]
        return next((host for host in self.hosts if host.name == name), None)

    def others(self, host):
        return [one for one in self.hosts if one is not host]


def wait_for(condition, seconds=10.0):
    """Wait until a condition holds and return its value."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        found = condition()
        if found:
            return found
        time.sleep(POLL_SECONDS)
    raise AssertionError("condition did not hold in time")


def job(tasks=2, **step):
    """Return the request body of a job with one step."""
    phase = {"task_count": tasks, "cpu": 500, "mem_mb": 100, "estimate_ms": 100}
    return json.dumps({"spec": "text", "phases": [{**phase, **step}]})
