"""A roll shows who acknowledged, and tells truthfully who did not."""

import base64
import io
import json

import pytest

from demo.cells import ROOT
from papayapick.bundle import KeyRing, RollConflict, RollUnderWay, generate_key, sign
from papayapick.bundle.commands import accept, acknowledge, propose
from papayapick.bundle.documents import Bundle
from papayapick.bundle.heads import HEAD_KEY, IN_FORCE, VERIFIED
from papayapick.bundle.queries import read_head
from papayapick.bundle.signing import Envelope
from papayapick.clients import HostEntry, TableUnavailable
from papayapick.clock import ManualClock
from papayapick.conf import Settings
from papayapick.management.base import Output
from papayapick.management.commands.bundle import BundleCommand
from papayapick.management.exceptions import (
    NotAcknowledged,
    RollInterrupted,
    RollUnsettled,
)
from tests.standins.board import FaultBoard
from tests.standins.store import MemoryObjects, MemoryTable

NAMES = ("gateway-a", "placer-a")


class Processes:
    """Acknowledge what the head names, as far as each still listens."""

    def __init__(self, table):
        self.table = table
        self.silent = set()
        self.deaf_once_accepted = set()

    def fetch(self):
        return [
            HostEntry(name, name.partition("-")[0], "live", "127.0.0.1:1", "r", "z")
            for name in NAMES
        ]

    def look(self):
        head = read_head(self.table)
        for name in NAMES:
            if name in self.silent:
                continue
            if head.proposal:
                found = head.proposal
                acknowledge(self.table, name, found.sequence, found.digest, VERIFIED)
            elif head.sequence and name not in self.deaf_once_accepted:
                acknowledge(self.table, name, head.sequence, head.digest, IN_FORCE)


class StepClock(ManualClock):
    """Advance when waited for, and let the processes look meanwhile."""

    def __init__(self, step):
        super().__init__(1000.0)
        self.step = step

    def wait(self, event, seconds):
        self.advance(seconds)
        self.step()
        return event.is_set()


class Desk:
    """Hold a cell of fakes and run the command against it."""

    def __init__(self, folder):
        board = FaultBoard()
        self.table, self.objects = MemoryTable(board), MemoryObjects(board)
        self.processes = Processes(self.table)
        self.clock = StepClock(self.processes.look)
        self.path = folder / "signed.json"
        text = (ROOT / "deploy" / "footfall" / "bundle.json").read_text()
        self.envelope = Envelope(Bundle.from_document(json.loads(text)), {})
        private, public = generate_key()
        sign(self.envelope, "ana", private)
        self.path.write_bytes(self.envelope.to_bytes())
        keys = folder / "keys.json"
        keys.write_text(json.dumps({"ana": public}))
        cell_key = keys.with_name("cell.key")
        cell_key.write_text(base64.b64encode(bytes(32)).decode())
        self.settings = Settings(
            {
                "cell": "footfall",
                "cell_key": str(cell_key),
                "operator_keys": str(keys),
                "required_signatures": 1,
            }
        )
        assert KeyRing.from_config(self.settings)

    def roll(self, force=False):
        options = {
            step: step == "roll"
            for step in ("check", "diff", "sign", "roll", "step-back", "status")
        }
        options |= {"<file>": str(self.path), "--operator": "ana", "--wait": "10"}
        options |= {"--force": force, "--dry-run": False}
        stream = io.StringIO()
        command = BundleCommand(options, Output(stream, True), self.clock)
        command.settings = lambda: self.settings
        command.platform = lambda settings: (self.table, self.objects, self.processes)
        try:
            code = command.handle()
        finally:
            self.lines = [json.loads(line) for line in stream.getvalue().splitlines()]
        return code


@pytest.fixture
def desk(tmp_path):
    return Desk(tmp_path)


def test_roll_shows_each_process_and_state(desk):
    assert desk.roll() == 0
    shown = [(one["host"], one["state"]) for one in desk.lines if "host" in one]
    assert shown == [(name, state) for state in (VERIFIED, IN_FORCE) for name in NAMES]
    assert desk.lines[-1]["in_force"] == list(NAMES)
    assert desk.lines[-1]["not_heard_from"] == []


def test_process_that_does_not_acknowledge_stops_the_roll(desk):
    """
    A bundle is in force on some hosts only, and the operator believes it is
    everywhere. Order: one process is frozen; the others acknowledge.
    Cause: acceptance without every live process's word.
    """
    desk.processes.silent = {"placer-a"}
    with pytest.raises(NotAcknowledged, match="placer-a"):
        desk.roll()
    head = read_head(desk.table)
    assert (head.sequence, head.proposal) == (0, None)
    assert [one["host"] for one in desk.lines] == ["gateway-a"]


def test_forced_roll_names_who_was_not_heard_from(desk):
    desk.processes.silent = {"placer-a"}
    assert desk.roll(force=True) == 3
    assert desk.lines[-1]["not_heard_from"] == ["placer-a"]
    assert read_head(desk.table).sequence == 1


def test_process_lost_after_acceptance_is_named(desk):
    desk.processes.deaf_once_accepted = {"gateway-a"}
    assert desk.roll() == 3
    assert desk.lines[-1]["not_heard_from"] == ["gateway-a"]


def test_roll_beside_an_open_one_names_its_operator(desk):
    propose(desk.table, desk.objects, desk.envelope, "ben", desk.clock.time())
    with pytest.raises(RollUnderWay, match="ben is rolling"):
        desk.roll()


def test_roll_that_lost_the_race_names_the_winner(desk):
    """
    Two operators believe that their bundle is in force.
    Order: ana proposes and stalls past the patience with an open proposal; ben
    proposes and accepts meanwhile; ana goes on.
    Cause: an acceptance that does not look whose proposal stands.
    """
    look = desk.clock.step

    def ben_goes_first():
        desk.clock.step = look
        desk.clock.advance(31)
        now = desk.clock.time()
        accept(desk.table, propose(desk.table, desk.objects, desk.envelope, "ben", now))

    desk.clock.step = ben_goes_first
    with pytest.raises(RollConflict, match="ben won"):
        desk.roll(force=True)
    assert read_head(desk.table).operator == "ben"


def test_interrupted_roll_leaves_no_open_proposal(desk):
    """
    Another operator's urgent roll is refused for half a minute.
    Order: ana's roll waits for a silent process; she ends it at the keyboard.
    Cause: her proposal stays open until it lapses.
    """

    def interrupt():
        raise KeyboardInterrupt

    desk.clock.step = interrupt
    with pytest.raises(RollInterrupted):
        desk.roll()
    assert read_head(desk.table).proposal is None


def test_outage_after_the_acceptance_is_not_told_as_a_failure(desk):
    """
    An operator is told that a roll failed, and it is in force.
    Order: the bundle is accepted; the table goes down while words come in.
    Cause: an error of the look in place of "not heard from".
    """
    look = desk.clock.step

    def look_until_accepted():
        look()
        if read_head(desk.table).sequence:
            desk.table.board.set("table", "down")
            desk.clock.step = lambda: None

    desk.processes.deaf_once_accepted = set(NAMES)
    desk.clock.step = look_until_accepted
    assert desk.roll() == 3
    assert desk.lines[-1]["not_heard_from"] == list(NAMES)
    desk.table.board.clear()
    assert read_head(desk.table).sequence == 1


def test_acceptance_without_an_answer_is_told_as_unknown(desk):
    """
    An operator repeats a roll that took effect, or believes one that did not.
    Order: all acknowledge; the table takes the acceptance and answers no more.
    Cause: a lost answer told as a refusal.
    """
    transact, read = desk.table.transact, desk.table.read

    def answer_no_more(*ignored):
        raise TableUnavailable()

    def lose_the_acceptance(conditions, writes):
        transact(conditions, writes)
        if writes[0].key == HEAD_KEY and not writes[0].value["proposal"]:
            desk.table.read = desk.table.transact = answer_no_more
            answer_no_more()

    desk.table.transact = lose_the_acceptance
    with pytest.raises(RollUnsettled, match="not known"):
        desk.roll()
    desk.table.read, desk.table.transact = read, transact
    assert read_head(desk.table).sequence == 1
