"""``logs waits`` sums up the waits of steps by queue and reason."""

import json

import pytest

from papayapick.management.exit_codes import EXIT_FAILED, EXIT_OK
from tests.management.commands import run_command

JOB = "5c0e7a21d94b36f8"


def _line(second, event, **fields):
    return _line_at(f"2026-03-11 10:49:{second:06.3f}", event, **fields)


def _line_at(time, event, **fields):
    time = time.replace(".", ",")
    return json.dumps({"time": time, "event": event, "request_id": JOB, **fields})


def _step(number=0, **fields):
    return {"occurrence": 0, "step": number, **fields}


_PLACED = _step(left=0, waited_seconds=0.5)
_REVERSED = [
    _line(1.0, "job taken in", queue="reports"),
    _line(1.3, "job accepted"),
]

LINES = [
    _line(1.0, "job accepted"),
    _line(3.0, "job taken in", queue="reports"),
    _line(3.6, "step waits", **_step(reason="advice", waited_seconds=0.6)),
    _line(4.0, "step waits", **_step(reason="room", waited_seconds=1.0)),
    _line(6.0, "step placed", **_step(left=0, waited_seconds=3.0)),
    # A run fails two seconds later; the step waits again from then on.
    _line(8.0, "run ended", **_step(outcome="failed")),
    _line(8.5, "step placed", **_step(left=0, waited_seconds=5.5)),
    _line(9.0, "step placed", **_step(1, left=1, waited_seconds=0.2)),
    _line(11.0, "job ended", status="cancelled"),
]


def _waits(tmp_path, lines, *options):
    path = tmp_path / "host.log"
    path.write_text("\n".join(lines))
    result = run_command("logs", "waits", path, *options)
    return result.code, result.out, result.err


def _found(tmp_path, lines, *options):
    code, output, _ = _waits(tmp_path, lines, "--json", *options)
    return code, [json.loads(line) for line in output.splitlines()]


def _sums(found):
    return {one["reason"]: one["seconds"] for one in found if one["span"] == "in all"}


def _spans(found, reason):
    return [
        (one["span"], one["seconds"])
        for one in found
        if one["span"] != "in all" and one["reason"] == reason
    ]


def test_seconds_are_summed_by_queue_and_reason(tmp_path):
    code, found = _found(tmp_path, LINES)
    assert code == EXIT_OK
    assert {one["queue"] for one in found} == {"reports"}
    assert _sums(found) == {"owner": 2.0, "advice": 1.0, "room": 4.0, "brief": 0.7}


def test_spans_add_up_to_the_whole(tmp_path):
    _, found = _found(tmp_path, LINES, "--every=3")
    spans = [one for one in found if one["span"] != "in all"]
    whole = sum(one["seconds"] for one in found if one["span"] == "in all")
    assert sum(one["seconds"] for one in spans) == pytest.approx(whole)
    assert [one["span"] for one in spans][:2] == [
        "2026-03-11 10:49:00",
        "2026-03-11 10:49:03",
    ]


def test_open_wait_at_the_end_of_the_logs_counts(tmp_path):
    lines = [
        _line(1.0, "step waits", **_step(reason="turn", waited_seconds=0.5)),
        _line(3.0, "step waits", **_step(1, reason="room", waited_seconds=0.5)),
    ]
    _, output, _ = _waits(tmp_path, lines)
    assert "in all  unknown  turn: 2.50 s, 1 steps" in output


def test_wait_over_midnight_has_its_length(tmp_path):
    """A wait that ends on the next day must not be dropped as a negative one."""
    lines = [
        _line_at("2026-03-11 23:59:58.000", "job accepted"),
        _line_at("2026-03-12 00:00:01.500", "job taken in", queue="reports"),
        _line_at("2026-03-12 00:00:02.000", "step placed", **_PLACED),
    ]
    code, found = _found(tmp_path, lines, "--every=2")
    assert code == EXIT_OK
    assert _sums(found) == {"owner": 3.5, "brief": 0.5}
    assert _spans(found, "owner") == [
        ("2026-03-11 23:59:58", 2.0),
        ("2026-03-12 00:00:00", 1.5),
    ]


def test_wait_over_several_days_has_its_length(tmp_path):
    """Whole days within a wait must count in its length."""
    lines = [
        _line_at("2026-02-27 18:00:00.000", "job accepted"),
        _line_at("2026-03-01 06:00:00.000", "job taken in", queue="reports"),
    ]
    _, found = _found(tmp_path, lines, "--every=86400")
    assert _sums(found) == {"owner": 36 * 3600.0}
    assert _spans(found, "owner") == [
        ("2026-02-27 00:00:00", 6 * 3600.0),
        ("2026-02-28 00:00:00", 24 * 3600.0),
        ("2026-03-01 00:00:00", 6 * 3600.0),
    ]


def test_same_time_of_two_days_is_two_spans(tmp_path):
    """Waits on two days must not be added up by their time of day."""
    lines = [
        _line_at("2026-03-11 10:49:01.000", "step placed", **_PLACED),
        _line_at("2026-03-12 10:49:01.000", "step placed", **_PLACED),
    ]
    _, found = _found(tmp_path, lines, "--every=60")
    assert _spans(found, "brief") == [
        ("2026-03-11 10:49:00", 0.5),
        ("2026-03-12 10:49:00", 0.5),
    ]


def test_quiet_year_between_two_waits_is_skipped(tmp_path):
    """Spans without a wait must be skipped, as logs may cover several days."""
    lines = [
        _line_at("2025-03-11 10:49:01.000", "step placed", **_PLACED),
        _line_at("2026-03-11 10:49:01.000", "step placed", **_PLACED),
    ]
    _, found = _found(tmp_path, lines)
    assert _spans(found, "brief") == [
        ("2025-03-11 10:49:00", 0.5),
        ("2026-03-11 10:49:00", 0.5),
    ]


def test_job_taken_in_before_its_acceptance_is_reported(tmp_path):
    """A negative wait, due to a clock that is behind, must be reported."""
    lines = [*_REVERSED, _line(2.0, "step placed", **_PLACED)]
    _, found = _found(tmp_path, lines)
    assert found[-1] == {"reversed_jobs": 1, "longest_reversed_seconds": 0.3}
    assert _sums(found[:-1]) == {"brief": 0.5}
    _, output, _ = _waits(tmp_path, lines)
    assert "lines of 1 jobs are in reverse order, by up to 0.30 s" in output


def test_logs_with_only_reversed_waits_are_summed(tmp_path):
    """Logs with only reversed waits must not be reported as logs without waits."""
    code, found = _found(tmp_path, _REVERSED)
    assert code == EXIT_OK
    assert found == [{"reversed_jobs": 1, "longest_reversed_seconds": 0.3}]


def test_lines_of_the_same_millisecond_are_not_reversed(tmp_path):
    """The order of the named files must not be reported as a reversal."""
    lines = [
        _line(1.0, "job taken in", queue="reports"),
        _line(1.0, "job accepted"),
        _line(2.0, "step placed", **_PLACED),
    ]
    _, found = _found(tmp_path, lines)
    assert {one["span"] for one in found} == {"in all", "2026-03-11 10:49:01"}


def test_late_acceptance_begins_no_wait_for_a_later_owner(tmp_path):
    """A job that an owner has read must not wait for one until the next takeover."""
    lines = [
        *_REVERSED,
        _line(9.0, "job taken in", queue="reports"),
        _line(9.5, "step placed", **_PLACED),
    ]
    _, found = _found(tmp_path, lines)
    assert _sums(found[:-1]) == {"brief": 0.5}


def test_late_lines_of_a_job_that_ended_open_no_wait(tmp_path):
    """A line of a clock that is ahead must not begin a wait after the job's end."""
    lines = [
        *LINES,
        _line(11.2, "step waits", **_step(1, reason="room", waited_seconds=2.0)),
        _line(30.0, "step placed", **_PLACED).replace(JOB, "0" * 16),
    ]
    _, found = _found(tmp_path, lines)
    assert found[-1] == {"reversed_jobs": 1, "longest_reversed_seconds": 0.2}
    assert _sums(found[:-1])["room"] == 4.0


def test_lines_out_of_order_give_the_same_sums(tmp_path):
    """The order of lines in a file must not change the sums."""
    in_order = _found(tmp_path, LINES, "--every=3")
    assert _found(tmp_path, LINES[::-1], "--every=3") == in_order


def test_logs_without_a_wait_are_reported(tmp_path):
    code, _, problem = _waits(tmp_path, LINES[:1])
    assert code == EXIT_FAILED
    assert "command.no-wait-logged" in problem


@pytest.mark.parametrize("given", ["0", "-1", "half"])
def test_invalid_span_is_refused(tmp_path, given):
    code, _, problem = _waits(tmp_path, LINES, f"--every={given}")
    assert code == EXIT_FAILED
    assert "command.span-invalid" in problem
