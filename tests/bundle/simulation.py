"""Simulate a cell of bundle watchers in memory, without sockets."""

import copy
import json

from demo.cells import ROOT
from papayapick.bundle import Bundle, BundleWatcher, Envelope, KeyRing, PeerHead, sign
from papayapick.bundle.commands import accept, propose
from papayapick.bundle.signing import generate_key
from papayapick.clock import ManualClock
from papayapick.limits import PauseDetector
from tests.fakes.scripted import ScriptedTable
from tests.standins.store import MemoryObjects

OPERATORS = ("ana", "ben", "cem")
REQUIRED = 2
PAUSE_SECONDS = 1.0
DOCUMENT = json.loads((ROOT / "deploy" / "footfall" / "bundle.json").read_text())


class Cell:
    """A store, the operators' keys and any number of processes with watchers."""

    def __init__(self, placers=3):
        self.table = ScriptedTable()
        self.objects = MemoryObjects()
        self.clock = ManualClock()
        self.placers = placers
        pairs = {name: generate_key() for name in OPERATORS}
        self.keys = {name: private for name, (private, _) in pairs.items()}
        public = {name: text for name, (_, text) in pairs.items()}
        self.keyring = KeyRing.from_text(json.dumps(public), REQUIRED)

    def envelope(self, label="one", signers=("ana", "ben"), **topology):
        """Return a signed bundle."""
        document = copy.deepcopy(DOCUMENT)
        document["label"] = label
        document["topology"].update(topology)
        envelope = Envelope(Bundle.from_document(document), {})
        for name in signers:
            sign(envelope, name, self.keys[name])
        return envelope

    def propose(self, envelope, operator="ana"):
        now = self.clock.time()
        return propose(self.table, self.objects, envelope, operator, now)

    def roll(self, label="one", operator="ana", **topology):
        """Propose and accept, and return the accepted head."""
        envelope = self.envelope(label, **topology)
        return accept(self.table, self.propose(envelope, operator))

    def process(self, name):
        return WatcherProcess(self, name)


class WatcherProcess:
    """One process with its bundle watcher."""

    def __init__(self, cell, name):
        self.cell = cell
        self.name = name
        self.pauses = PauseDetector(cell.clock, PAUSE_SECONDS)
        self.watcher = BundleWatcher(
            cell.table,
            cell.objects,
            cell.keyring,
            name,
            "footfall",
            pauses=self.pauses,
        )

    @property
    def label(self):
        return self.watcher.bundle.document["label"]

    def head(self, requester):
        """Return the current answer of this process to a requester."""
        watcher = self.watcher
        return PeerHead(
            self.name,
            watcher.sequence,
            watcher.digest,
            watcher.is_confirmed,
            requester.watcher.count_pauses(),
            self.cell.placers,
        )

    def ask(self, peer):
        self.read(peer.head(self), peer)

    def read(self, head, peer):
        """Read an answer that may have been requested long ago."""
        self.watcher.handle_peer_head(
            head, lambda: peer.watcher.envelope_bytes(head.digest)
        )


def pause_all(cell):
    """Advance the clock so far that every process that does not tick has paused."""
    cell.clock.advance(PAUSE_SECONDS * 5)


def tick(processes):
    """Run the pause detectors of the processes, so that they detect no gap."""
    for process in processes:
        process.pauses.count()
