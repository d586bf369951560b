"""A roll shows which processes acknowledged the bundle, and which did not."""

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
    """Acknowledge the bundle of the head, except for unreachable processes."""

    def __init__(self, table):
        self.table = table
        self.silent = set()
        self.unreachable_after_acceptance = set()

    def fetch(self):
        return [
            HostEntry(name, name.partition("-")[0], "live", "127.0.0.1:1", "r", "z")
            for name in NAMES
        ]

    def acknowledge_head(self):
        head = read_head(self.table)
        for name in NAMES:
            if name in self.silent:
                continue
            if head.proposal:
                found = head.proposal
                acknowledge(self.table, name, found.sequence, found.digest, VERIFIED)
            elif head.sequence and name not in self.unreachable_after_acceptance:
                acknowledge(self.table, name, head.sequence, head.digest, IN_FORCE)


class SteppingClock(ManualClock):
    """Advance by each wait, and let the processes read the head meanwhile."""

    def __init__(self, step):
        super().__init__(1000.0)
        self.step = step

    def wait(self, event, seconds):
        self.advance(seconds)
        self.step()
        return event.is_set()


class RollSetup:
    """Set up a cell of fakes and run the command against it."""

    def __init__(self, folder):
        board = FaultBoard()
        self.table, self.objects = MemoryTable(board), MemoryObjects(board)
        self.processes = Processes(self.table)
        self.clock = SteppingClock(self.processes.acknowledge_head)
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
def roll_setup(tmp_path):
    return RollSetup(tmp_path)


def test_roll_shows_each_process_and_state(roll_setup):
    assert roll_setup.roll() == 0
    shown = [(one["host"], one["state"]) for one in roll_setup.lines if "host" in one]
    assert shown == [(name, state) for state in (VERIFIED, IN_FORCE) for name in NAMES]
    assert roll_setup.lines[-1]["in_force"] == list(NAMES)
    assert roll_setup.lines[-1]["not_heard_from"] == []


def test_process_that_does_not_acknowledge_stops_the_roll(roll_setup):
    """
    A bundle must not be accepted without an acknowledgement of every live process.
    Otherwise it could be in force on some hosts only, without the operator's knowledge:
    here one process is frozen while the others acknowledge.
    """
    roll_setup.processes.silent = {"placer-a"}
    with pytest.raises(NotAcknowledged, match="placer-a"):
        roll_setup.roll()
    head = read_head(roll_setup.table)
    assert (head.sequence, head.proposal) == (0, None)
    assert [one["host"] for one in roll_setup.lines] == ["gateway-a"]


def test_forced_roll_names_missing_processes(roll_setup):
    roll_setup.processes.silent = {"placer-a"}
    assert roll_setup.roll(force=True) == 3
    assert roll_setup.lines[-1]["not_heard_from"] == ["placer-a"]
    assert read_head(roll_setup.table).sequence == 1


def test_process_lost_after_acceptance_is_named(roll_setup):
    roll_setup.processes.unreachable_after_acceptance = {"gateway-a"}
    assert roll_setup.roll() == 3
    assert roll_setup.lines[-1]["not_heard_from"] == ["gateway-a"]


def test_roll_during_an_open_one_names_its_operator(roll_setup):
    propose(
        roll_setup.table,
        roll_setup.objects,
        roll_setup.envelope,
        "ben",
        roll_setup.clock.time(),
    )
    with pytest.raises(RollUnderWay, match="ben is rolling"):
        roll_setup.roll()


def test_roll_that_lost_the_race_names_the_winner(roll_setup):
    """
    An acceptance must fail if another operator's proposal has replaced its own.
    Otherwise two operators believe that their bundle is in force: ana proposes and
    stalls until her proposal lapses, ben proposes and accepts, then ana continues.
    """
    read_head_step = roll_setup.clock.step

    def accept_bens_roll():
        roll_setup.clock.step = read_head_step
        roll_setup.clock.advance(31)
        now = roll_setup.clock.time()
        accept(
            roll_setup.table,
            propose(
                roll_setup.table, roll_setup.objects, roll_setup.envelope, "ben", now
            ),
        )

    roll_setup.clock.step = accept_bens_roll
    with pytest.raises(RollConflict, match="ben won"):
        roll_setup.roll(force=True)
    assert read_head(roll_setup.table).operator == "ben"


def test_interrupted_roll_leaves_no_open_proposal(roll_setup):
    """
    An interrupted roll must withdraw its proposal. Otherwise it stays open until it
    lapses, and other operators' rolls are refused for half a minute.
    """

    def interrupt():
        raise KeyboardInterrupt

    roll_setup.clock.step = interrupt
    with pytest.raises(RollInterrupted):
        roll_setup.roll()
    assert read_head(roll_setup.table).proposal is None


def test_outage_after_the_acceptance_is_not_reported_as_a_failure(roll_setup):
    """
    A roll must not be reported as failed while its bundle is in force. If the table
    goes down after the acceptance, the processes count as not heard from.
    """
    read_head_step = roll_setup.clock.step

    def stop_table_after_acceptance():
        read_head_step()
        if read_head(roll_setup.table).sequence:
            roll_setup.table.board.set("table", "down")
            roll_setup.clock.step = lambda: None

    roll_setup.processes.unreachable_after_acceptance = set(NAMES)
    roll_setup.clock.step = stop_table_after_acceptance
    assert roll_setup.roll() == 3
    assert roll_setup.lines[-1]["not_heard_from"] == list(NAMES)
    roll_setup.table.board.clear()
    assert read_head(roll_setup.table).sequence == 1


def test_acceptance_without_an_answer_is_reported_as_unknown(roll_setup):
    """
    A lost answer to the acceptance must not be reported as a refusal. Otherwise the
    operator repeats a roll that took effect: here the table applies the acceptance and
    then stops answering.
    """
    transact, read = roll_setup.table.transact, roll_setup.table.read

    def fail_call(*ignored):
        raise TableUnavailable()

    def apply_acceptance_without_answer(conditions, writes):
        transact(conditions, writes)
        if writes[0].key == HEAD_KEY and not writes[0].value["proposal"]:
            roll_setup.table.read = roll_setup.table.transact = fail_call
            fail_call()

    roll_setup.table.transact = apply_acceptance_without_answer
    with pytest.raises(RollUnsettled, match="not known"):
        roll_setup.roll()
    roll_setup.table.read, roll_setup.table.transact = read, transact
    assert read_head(roll_setup.table).sequence == 1
