"""Roll out bundles to real processes and time them from accept to in force.

Run as ``python -m benchmarks.rolls [--json]``. Each row is one way to distribute an
accepted bundle, with the table up, or down immediately after the accept.
"""

import threading
import time
from datetime import datetime
from pathlib import Path

from benchmarks.tables import percentile, print_rows
from demo.cells import Cell
from papayapick.bundle import Bundle, Envelope, sign
from papayapick.bundle.commands import accept, propose
from papayapick.bundle.queries import read_acknowledgements
from papayapick.clients import HostList, HttpPool, ObjectStore, Table
from papayapick.membership.commands import announce_head
from papayapick.wire import CellKeys
from papayapick.wire.messages import Hello

TIME_LIMIT_SECONDS = 6.0
POLL_INTERVAL = 0.005
IDENTITY = Hello(host="benchmark", region="", zone="")


class Roller:
    """Roll out one bundle after another to a running cell."""

    def __init__(self, cell):
        self.cell = cell
        pool = HttpPool(5.0)
        self.table = Table(f"{cell.url}/table", pool)
        self.objects = ObjectStore(f"{cell.url}/objects", pool)
        self.entries = HostList(f"{cell.url}/hosts", pool).fetch()
        folder = Path(cell.folder.name)
        self.cell_keys = CellKeys.from_file(folder / "cell.key")
        self.keys = {n: (folder / f"{n}.pem").read_bytes() for n in ("ana", "ben")}
        self.number = 0

    def roll(self, is_announced, is_down):
        """Return the seconds from the accept by process, None after the time limit."""
        proposal = self._propose()
        head = accept(self.table, proposal)
        accepted = time.time()
        if is_announced:
            announce_head(self.entries, head, self.cell_keys, IDENTITY, 1.0)
        if is_down:
            self.cell.control("faults", target="table", kind="down")
        found = self._wait(head.sequence, accepted)
        self.cell.control("clear")
        return found

    def _propose(self):
        self.number += 1
        document = {**self.cell.bundle, "label": f"roll {self.number}"}
        envelope = Envelope(Bundle.from_document(document), {})
        for name, key in self.keys.items():
            sign(envelope, name, key)
        proposal = propose(self.table, self.objects, envelope, "ana", time.time())
        names = set(self.cell.daemons)

        def verified():
            seen = read_acknowledgements(self.table)
            return {
                name
                for name, found in seen.items()
                if found["sequence"] == proposal.sequence
            }

        while not names <= verified():
            threading.Event().wait(0.05)
        return proposal

    def _wait(self, sequence, accepted):
        found = dict.fromkeys(self.cell.daemons)
        while None in found.values():
            if time.time() - accepted > TIME_LIMIT_SECONDS:
                break
            for name, daemon in self.cell.daemons.items():
                if found[name] is None:
                    found[name] = _in_force(daemon, sequence, accepted)
            threading.Event().wait(POLL_INTERVAL)
        return found


def _in_force(daemon, sequence, accepted):
    for line in daemon.lines():
        is_it = line.get("message") == "bundle in force"
        if is_it and line["bundle_sequence"] == sequence:
            moment = datetime.strptime(line["time"], "%Y-%m-%d %H:%M:%S,%f")
            return max(0.0, moment.timestamp() - accepted)
    return None


def measure(roller, way, is_announced, is_down, rolls):
    seconds, timed_out = [], 0
    for _ in range(rolls):
        for found in roller.roll(is_announced, is_down).values():
            if found is None:
                timed_out += 1
            else:
                seconds.append(found)
    return {
        "way": way,
        "table": "down after the accept" if is_down else "up",
        "rolls": rolls,
        "processes": len(roller.cell.daemons),
        "median_s": percentile(seconds, 0.5) if seconds else "none",
        "longest_s": max(seconds) if seconds else "none",
        "not_within_6_s": timed_out,
    }


def main():
    with Cell("footfall") as cell:
        roller = Roller(cell)
        rows = [
            measure(roller, "table polled (baseline)", False, False, 10),
            measure(roller, "told by the operator", True, False, 10),
            measure(roller, "table polled (baseline)", False, True, 3),
            measure(roller, "told by the operator", True, True, 10),
        ]
    print_rows(rows)


if __name__ == "__main__":
    main()
