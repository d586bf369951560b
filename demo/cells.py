"""Run a complete cell as processes on loopback, for tests, demo and benchmarks."""

import http.client
import json
import os
import signal
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
START_SECONDS = 30
_PROGRAMS = {
    "gateway": "papayapick.gateway.program",
    "placer": "papayapick.placer.program",
}


def json_lines(path):
    """Return the decoded JSON lines of a log, without incomplete lines."""
    found = []
    for line in path.read_text().splitlines():
        try:
            found.append(json.loads(line))
        except ValueError:
            continue
    return found


class Daemon:
    """A gateway or placer process with its log and addresses."""

    def __init__(self, name, kind, place, process, log):
        self.name = name
        self.kind = kind
        self.place = place
        self.process = process
        self.log = log
        self.addresses = {}

    def wait_for_line(self, message):
        """Wait for a log line with this message and return it."""
        deadline = time.monotonic() + START_SECONDS
        while time.monotonic() < deadline:
            for line in self.lines():
                if line.get("message") == message:
                    return line
            if self.process.poll() is not None:
                raise AssertionError(self.log.read_text())
            threading.Event().wait(0.02)
        raise AssertionError(f"{self.name}: no {message!r}: {self.log.read_text()}")

    def lines(self):
        """Return the decoded JSON lines logged so far."""
        return json_lines(self.log)

    def signal(self, number):
        self.process.send_signal(number)


class Cell:
    """A cell with a gateway and a placer in each zone, and the platform's stand-ins."""

    def __init__(self, deployment, extra_environment=None):
        self.deployment = deployment
        self.folder = tempfile.TemporaryDirectory()
        self.bundle = json.loads((self.source / "bundle.json").read_text())
        self.daemons = {}
        self.platform = None
        self.url = ""
        self.environment = dict(extra_environment or {})

    @property
    def source(self):
        return ROOT / "deploy" / self.deployment

    @property
    def zones(self):
        return {
            zone: region["name"]
            for region in self.bundle["topology"]["regions"]
            for zone in region["zones"]
        }

    @property
    def gateways(self):
        return [found for found in self.daemons.values() if found.kind == "gateway"]

    @property
    def placers(self):
        return [found for found in self.daemons.values() if found.kind == "placer"]

    def __enter__(self):
        try:
            return self.start()
        except BaseException:
            self.stop()
            raise

    def __exit__(self, *ignored):
        self.stop()

    def start(self):
        self._make_keys()
        self.platform = self._run(
            "-m", "tests.standins.server", self.deployment, stdout=subprocess.PIPE
        )
        self.url = json.loads(self.platform.stdout.readline())["url"]
        for zone, region in self.zones.items():
            for kind in ("placer", "gateway"):
                self.add(kind, f"{kind}-{zone}", region, zone)
        for daemon in list(self.daemons.values()):
            self._announce(daemon)
        self.roll(self.source / "bundle.json")
        self.wait_ready()
        return self

    def add(self, kind, name, region, zone):
        """Start one process; ``announce`` adds it to the live list."""
        log = Path(self.folder.name) / f"{name}.log"
        environment = {
            **self._environment(),
            "PAPAYAPICK_HOST_NAME": name,
            "PAPAYAPICK_REGION": region,
            "PAPAYAPICK_AVAILABILITY_ZONE": zone,
        }
        with log.open("w") as stream:
            process = self._run(
                "-m", _PROGRAMS[kind], environment=environment, stderr=stream
            )
        place = {"region": region, "zone": zone}
        self.daemons[name] = Daemon(name, kind, place, process, log)
        return self.daemons[name]

    def announce(self, daemon):
        self._announce(daemon)

    def roll(self, path, signers=("ana", "ben")):
        """Sign a bundle file and roll it out with the papayapick commands."""
        signed = Path(self.folder.name) / "signed.json"
        source = path
        for name in signers:
            key = f"--key={self.folder.name}/{name}.pem"
            self.command(
                "bundle", "sign", source, key, f"--operator={name}", f"--out={signed}"
            )
            source = signed
        return self.command("bundle", "roll", signed, "--operator=ana", "--json")

    def command(self, *arguments, check=True):
        """Run a papayapick command and return the completed process."""
        found = subprocess.run(
            [sys.executable, "-m", "papayapick.management.program"]
            + [str(argument) for argument in arguments],
            cwd=ROOT,
            env={**os.environ, **self._environment()},
            capture_output=True,
            text=True,
            timeout=60,
        )
        if check and found.returncode:
            raise AssertionError(found.stdout + found.stderr)
        return found

    def wait_ready(self):
        """Wait until all processes are ready and every shard has an owner."""
        deadline = time.monotonic() + START_SECONDS
        waiting = set(self.daemons)
        count = self.bundle["topology"]["shards_per_zone"] * len(self.zones)
        while waiting or self.owned_shards() < count:
            if time.monotonic() > deadline:
                raise AssertionError(f"not ready: {waiting or self.owned_shards()}")
            for name in list(waiting):
                if self._ready(self.daemons[name]):
                    waiting.discard(name)
            threading.Event().wait(0.05)
        self.wait_until(self._serves_all, "a gateway does not accept requests")

    def wait_until(self, condition, description):
        """Poll a condition until it holds."""
        deadline = time.monotonic() + START_SECONDS
        while not condition():
            if time.monotonic() > deadline:
                raise AssertionError(description)
            threading.Event().wait(0.05)

    def owned_shards(self):
        return sum(
            self.metric(placer, "papayapick_owned_shards")
            for placer in self.placers
            if placer.process.poll() is None
        )

    def owner_of(self, shard):
        """Return the placer that the table names as the owner of a shard."""
        netloc = urllib.parse.urlsplit(self.url).netloc
        _, _, body = http_call(netloc, "GET", f"/table/rows/shard%2F{shard}")
        return json.loads(body)["value"]["owner"]

    def metric(self, daemon, name):
        """Return the value of a metric without labels of a process, or 0."""
        _, _, body = http_call(daemon.addresses["http"], "GET", "/metrics")
        for line in body.decode().splitlines():
            if line.startswith(name + " "):
                return float(line.split()[1])
        return 0.0

    def control(self, path, **values):
        """Send a control request to the stand-ins and return their counts."""
        netloc = urllib.parse.urlsplit(self.url).netloc
        _, _, body = http_call(netloc, "POST", "/control/" + path, values)
        return json.loads(body)

    def stop(self):
        """Kill every process that was started, and remove the folder."""
        processes = [daemon.process for daemon in self.daemons.values()]
        if self.platform is not None:
            processes.append(self.platform)
            self.platform.stdout.close()
        for process in processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self.folder.cleanup()

    def _serves_all(self):
        name = next(s for s in self.bundle["services"] if s["repeatable"])["name"]
        body = {"service": name, "payload": {}}
        return all(
            http_call(found.addresses["http"], "POST", "/v1/requests", body)[0] < 300
            for found in self.gateways
        )

    def _announce(self, daemon):
        line = daemon.wait_for_line("listening")
        daemon.addresses = {"http": line["http"], "peer": line["peer"]}
        self.control(
            "hosts",
            name=daemon.name,
            kind=daemon.kind,
            state="live",
            url=line["peer"],
            **daemon.place,
        )

    def _ready(self, daemon):
        try:
            return http_call(daemon.addresses["http"], "GET", "/readyz")[0] == 200
        except OSError:
            return False

    def _make_keys(self):
        folder = self.folder.name
        public = {}
        for name in ("ana", "ben"):
            found = self.command("key", "operator", name, f"{folder}/{name}.pem")
            public.update(json.loads(found.stdout))
        Path(folder, "operators.json").write_text(json.dumps(public))
        self.command("key", "cell", f"{folder}/cell.key")

    def _environment(self):
        folder = self.folder.name
        lines = (self.source / "settings.env").read_text().splitlines()
        found = dict(
            line.split("=", 1) for line in lines if line and not line.startswith("#")
        )
        return {
            **found,
            "PAPAYAPICK_TABLE_URL": f"{self.url or 'http://127.0.0.1:1'}/table",
            "PAPAYAPICK_OBJECTS_URL": f"{self.url or 'http://127.0.0.1:1'}/objects",
            "PAPAYAPICK_HOSTS_URL": f"{self.url or 'http://127.0.0.1:1'}/hosts",
            "PAPAYAPICK_CELL_KEY": f"{folder}/cell.key",
            "PAPAYAPICK_OPERATOR_KEYS": f"{folder}/operators.json",
            **self.environment,
        }

    @staticmethod
    def _run(*arguments, environment=None, **streams):
        return subprocess.Popen(
            [sys.executable, *arguments],
            cwd=ROOT,
            env={**os.environ, **(environment or {})},
            **streams,
        )


def http_call(netloc, method, path, body=None, headers=None, timeout=60):
    """Send one HTTP request; return status, headers and body."""
    connection = http.client.HTTPConnection(netloc, timeout=timeout)
    try:
        data = None if body is None else json.dumps(body)
        connection.request(method, path, data, headers or {})
        answer = connection.getresponse()
        return answer.status, answer.headers, answer.read()
    finally:
        connection.close()
