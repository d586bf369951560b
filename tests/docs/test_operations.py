"""The four ways of the page for operators lead to the causes that it names."""

import io
import json
import re

import pytest

from demo.cells import ROOT
from papayapick.management.exit_codes import EXIT_FAILED, EXIT_OK
from papayapick.management.program import run
from papayapick.observability.events import EVENTS
from papayapick.observability.queries import events_page

PAGE = ROOT.joinpath("docs", "OPERATIONS.md").read_text()
BLOCKS = re.findall(r"```json\n(.*?)```", PAGE, re.S)
IDS = re.findall(r"Its id is\s+`([0-9a-f]{16})`", PAGE)


def explain(tmp_path, identifier, lines, *options):
    path = tmp_path / "host.log"
    path.write_text(lines)
    stdout, stderr = io.StringIO(), io.StringIO()
    code = run(["logs", "explain", identifier, str(path), *options], stdout, stderr)
    return code, stdout.getvalue(), stderr.getvalue()


@pytest.mark.parametrize(
    ("number", "status", "event", "told"),
    [
        (0, "refused", "request refused", {"code": "entry.queue-full"}),
        (1, "refused", "request refused", {"code": "entry.not-accepted"}),
        (
            2,
            "completed",
            "runs lost with their worker",
            {"worker": "i-5d6e546e11", "reason": "lease over"},
        ),
        (
            3,
            "failed",
            "run ended",
            {"outcome": "failed", "failures": 2, "failure_limit": 2},
        ),
        (4, "refused", "job refused", {"reason": "beyond-rate"}),
    ],
    ids=["full", "refused", "late", "failed", "beyond rate"],
)
def test_page_leads_from_an_id_to_its_cause(tmp_path, number, status, event, told):
    code, output, _ = explain(tmp_path, IDS[number], BLOCKS[number], "--json")
    *lines, last = [json.loads(line) for line in output.splitlines()]
    assert code == EXIT_OK
    assert (last["status"], last["deciding"]["event"]) == (status, event)
    assert told.items() <= last["deciding"].items()
    assert len(lines) == len(BLOCKS[number].splitlines())
    assert sum(line["is_deciding"] for line in lines) == 1


def test_lines_of_the_page_are_of_events_that_exist():
    assert events_page()
    for block in BLOCKS:
        for line in block.splitlines():
            fields = json.loads(line)
            event = EVENTS[fields["event"]]
            own = fields.keys() - {"time", "event", "host"}
            assert own <= set(event.fields), event.name


def test_lines_of_others_and_broken_ones_are_left_out(tmp_path):
    lines = 'no json\n{"event": "cut o\n{"n": 1}\n[1]\n' + BLOCKS[2]
    code, output, _ = explain(tmp_path, IDS[2], lines)
    assert code == EXIT_OK
    assert len(output.splitlines()) == len(BLOCKS[2].splitlines()) + 1


def test_name_of_a_host_may_stand_before_a_line(tmp_path):
    lines = "".join(f"12.5 h1 {line}\n" for line in BLOCKS[0].splitlines())
    code, output, _ = explain(tmp_path, IDS[0], lines)
    assert code == EXIT_OK
    assert "decided by: request refused" in output


def test_owner_that_was_lost_is_shown_around(tmp_path):
    taken = {"time": "2026-03-11 10:49:10,000", "event": "pool taken", "host": "h2"}
    lines = BLOCKS[2] + json.dumps(taken)
    _, output, _ = explain(tmp_path, IDS[2], lines, "--around")
    assert "pool taken" in output
    _, output, _ = explain(tmp_path, IDS[2], lines)
    assert "pool taken" not in output


@pytest.mark.parametrize("lines", ["", BLOCKS[0]])
def test_request_that_no_line_names_is_told(tmp_path, lines):
    code, _, problem = explain(tmp_path, "0" * 16, lines)
    assert code == EXIT_FAILED
    assert "command.request-not-logged" in problem


def test_file_that_is_not_there_is_told(tmp_path):
    stderr = io.StringIO()
    arguments = ["logs", "explain", "0" * 16, str(tmp_path / "none")]
    assert run(arguments, io.StringIO(), stderr) == EXIT_FAILED
    assert "command.file-unreadable" in stderr.getvalue()
