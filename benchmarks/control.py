"""Measure the control traffic over the paid link, idle and under local load.

Run as ``python -m benchmarks.control [--json]``. A cell of 9 gateways and 9 placers
runs as processes, six of each in the store's region, three in the other. Requests of
the other region's processes to the platform pass through a relay that counts bytes. The
baseline is computed from the sizes of the same cell's messages: each process sends a
heartbeat to each remote placer every 2 s and polls the store every second.
"""

import re
import socket
import threading
import time
import urllib.parse
from concurrent.futures import ThreadPoolExecutor

from benchmarks.tables import print_rows
from demo.cells import Cell, http_call
from papayapick.bundle.queries import read_head
from papayapick.clients import HostList, HttpPool, Table
from papayapick.ownership import read_shards
from papayapick.wire import CellKeys, PeerClient
from papayapick.wire.codec import encode
from papayapick.wire.messages import Heartbeat, Hello

SETTLE_SECONDS = 40
IDLE_SECONDS = 45
EACH_PER_ZONE = 3
REQUESTS = 6000
SENDERS = 8
FRAME_BYTES = 20
BASELINE_HEARTBEAT_SECONDS = 2.0
BASELINE_POLL_SECONDS = 1.0
_LINE = re.compile(
    r'papayapick_peer_bytes_total\{direction="sent",distance="link",'
    r'purpose="(\w+)"\} ([0-9.e+]+)'
)


class CountingRelay:
    """Forward connections to an address and count the bytes in both directions."""

    def __init__(self, url):
        parts = urllib.parse.urlsplit(url)
        self._target = (parts.hostname, parts.port)
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.url = f"http://127.0.0.1:{self._listener.getsockname()[1]}"
        self.bytes = 0
        self._lock = threading.Lock()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            far = socket.create_connection(self._target)
            for pair in ((near, far), (far, near)):
                threading.Thread(target=self._pass, args=pair, daemon=True).start()

    def _pass(self, source, sink):
        try:
            while data := source.recv(65536):
                with self._lock:
                    self.bytes += len(data)
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            sink.close()

    def close(self):
        """Stop accepting connections."""
        self._listener.close()


class WideCell(Cell):
    """A cell with three gateways and three placers in each zone."""

    relay = None

    @property
    def store_region(self):
        """Return the region of the platform's store."""
        return self.bundle["topology"]["store_region"]

    def add(self, kind, name, region, zone):
        """Start a process; outside the store's region it uses the relay."""
        if self.relay is None:
            self.relay = CountingRelay(self.url)
        self.environment = {}
        if region != self.store_region:
            self.environment = {
                f"PAPAYAPICK_{area.upper()}_URL": f"{self.relay.url}/{area}"
                for area in ("table", "objects", "hosts")
            }
        return super().add(kind, name, region, zone)

    def widen(self):
        """Start two more gateways and placers in each zone."""
        added = []
        for zone, region in self.zones.items():
            for number in range(2, EACH_PER_ZONE + 1):
                for kind in ("placer", "gateway"):
                    added.append(
                        self.add(kind, f"{kind}-{zone}-{number}", region, zone)
                    )
        for daemon in added:
            self.announce(daemon)
        self.wait_ready()

    def link_bytes(self):
        """Return the bytes sent over the link so far, by purpose."""
        found = {"table and list": self.relay.bytes}
        for daemon in self.daemons.values():
            text = http_call(daemon.addresses["http"], "GET", "/metrics")[2].decode()
            for purpose, size in _LINE.findall(text):
                found[purpose] = found.get(purpose, 0) + float(size)
        return found


def difference(before, after, seconds):
    return {name: (after[name] - before.get(name, 0)) / seconds for name in after}


def baseline(cell):
    """Return the baseline in bytes per second, by purpose."""
    far = [d for d in cell.daemons.values() if d.place["region"] != cell.store_region]
    near = [d for d in cell.daemons.values() if d not in far]
    sizes = {
        daemon.name: heartbeat_size(cell, daemon) for daemon in cell.daemons.values()
    }
    exchanged = 0
    for askers, asked in ((near, far), (far, near)):
        for asker in askers:
            for placer in asked:
                if placer.kind == "placer":
                    exchanged += sizes[asker.name] + sizes[placer.name]
    look, scan, listed = poll_sizes(cell)
    placers = sum(daemon.kind == "placer" for daemon in far)
    polled = len(far) * (look + listed) + placers * scan
    return {
        "Heartbeat": exchanged / BASELINE_HEARTBEAT_SECONDS,
        "table and list": polled / BASELINE_POLL_SECONDS,
    }


def heartbeat_size(cell, daemon):
    """Return the size in bytes of a process's heartbeat with all its shards."""
    keys = CellKeys.from_file(f"{cell.folder.name}/cell.key")
    host, _, port = daemon.addresses["peer"].rpartition(":")
    identity = Hello(host="benchmark", **daemon.place)
    with ThreadPoolExecutor(1) as reader:
        client = PeerClient((host, int(port)), keys, identity, reader)
        found = client.ask(Heartbeat(host="benchmark"), 5)
        client.close()
    whole = Heartbeat(
        host=found.host,
        bundle_sequence=found.bundle_sequence,
        bundle_digest=found.bundle_digest,
        shards=found.shards,
        draining=found.draining,
    )
    return len(encode(1, whole)) + FRAME_BYTES


def poll_sizes(cell):
    """Return the bytes of a poll of the head, a scan, and an unchanged host list."""
    relay = CountingRelay(cell.url)
    pool = HttpPool(5.0)
    table, hosts = (
        Table(f"{relay.url}/table", pool),
        HostList(f"{relay.url}/hosts", pool),
    )
    hosts.fetch()
    sizes = []
    for look in (lambda: read_head(table), lambda: read_shards(table), hosts.fetch):
        before = relay.bytes
        look()
        sizes.append(relay.bytes - before)
    pool.close()
    relay.close()
    return sizes


def send_load(cell):
    """Send urgent requests to every gateway; return the number of successful ones."""
    service = next(s for s in cell.bundle["services"] if s["repeatable"])["name"]
    addresses = [found.addresses["http"] for found in cell.gateways]
    body = {"service": service, "payload": 1}

    def send(number):
        address = addresses[number % len(addresses)]
        return http_call(address, "POST", "/v1/requests", body)[0] == 200

    with ThreadPoolExecutor(SENDERS) as executor:
        return sum(executor.map(send, range(REQUESTS)))


def main():
    with WideCell("footfall") as cell:
        cell.widen()
        threading.Event().wait(SETTLE_SECONDS)
        began, before = time.monotonic(), cell.link_bytes()
        threading.Event().wait(IDLE_SECONDS)
        idle = difference(before, cell.link_bytes(), time.monotonic() - began)
        base = baseline(cell)
        began, before = time.monotonic(), cell.link_bytes()
        placed = send_load(cell)
        seconds = time.monotonic() - began
        loaded = difference(before, cell.link_bytes(), seconds)
        cell.relay.close()
    rows = [
        row(name, base.get(name, 0), idle[name], loaded[name], seconds, placed)
        for name in sorted(idle)
    ]
    # Polls are rare and may not fall into the short load; the missing ones must not
    # offset other traffic, so the extra bytes are summed by purpose.
    totals = [sum(found.values()) for found in (base, idle, loaded)]
    extra = sum(found["extra_bytes_per_1000"] for found in rows)
    rows.append(row("all", *totals, seconds, placed) | {"extra_bytes_per_1000": extra})
    print_rows(rows)


def row(name, base, idle, loaded, seconds, placed):
    extra = max(0.0, (loaded - idle) * seconds)
    return {
        "purpose": name,
        "baseline_bytes_per_s": base,
        "idle_bytes_per_s": idle,
        "ratio": idle / base if base else "none",
        "loaded_bytes_per_s": loaded,
        "placements_per_s": placed / seconds,
        "extra_bytes_per_1000": extra * 1000 / placed,
    }


if __name__ == "__main__":
    main()
