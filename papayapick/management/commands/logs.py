"""Explain requests and waits from the logs of several hosts."""

from papayapick.management.base import Command
from papayapick.management.exceptions import (
    FileUnreadable,
    NoWaitLogged,
    RequestNotLogged,
    SpanInvalid,
)
from papayapick.management.exit_codes import EXIT_OK
from papayapick.management.times import format_utc
from papayapick.observability.log_reader import read_lines
from papayapick.observability.timelines import RequestTimeline
from papayapick.observability.waits import read_waits, sum_spans, sum_waits

__all__ = ["LogsCommand"]

_MARKS = {True: "*", False: " "}
_TAKEN_THEN = {True: "", False: "; the logs end before a host took it"}
_LEAST_SECONDS = 0.05


class LogsCommand(Command):
    """Read logs of entry hosts; nothing is asked of the cell."""

    name = "logs"
    usage = """Explain requests and waits from the logs of several entry hosts.

Usage:
  papayapick logs explain <id> <file>... [--around] [--json]
  papayapick logs waits <file>... [--every=<s>] [--json]
  papayapick logs --help

explain: the lines about the request are put in order; the one that decided its
outcome, or its longest wait, is marked with a star and repeated at the end. Clocks of
hosts may differ by seconds. At the very end stands for how long its pool had no working
owner between its acceptance and its first placement, as far as the logs tell.

waits: the seconds that ready steps waited, by queue and by what they waited for, first
in all, then for each span of time. Where lines of a job stand in reverse order, since
clocks of hosts differ or a line was written late, the last line tells by how much.

Exit code 0 when the request or any wait was found, 1 when no line names one.

Options:
  --around     Show owners and store around it too.
  --every=<s>  Length of a span in whole seconds [default: 1].
  --json       Write for programs, one JSON object a line.
  --help       Show this page.
"""

    def handle(self):
        """Print what was asked for."""
        lines = read_lines(self._texts())
        if self.options["waits"]:
            return self._show_waits(lines)
        return self._explain(lines)

    def _show_waits(self, lines):
        every = self._every()
        waits, reversals = read_waits(lines)
        if not (waits or reversals):
            raise NoWaitLogged(lines=len(lines))
        self._show_sums("in all", sum_waits(waits))
        for begin, sums in sum_spans(waits, every):
            self._show_sums(format_utc(begin), sums)
        if reversals:
            self._show_reversals(reversals)
        return EXIT_OK

    def _every(self):
        given = self.options["--every"]
        if not given.isdecimal() or int(given) == 0:
            raise SpanInvalid(given=given)
        return int(given)

    def _show_sums(self, span, sums):
        for (queue, reason), (seconds, steps) in sorted(sums.items()):
            if seconds >= _LEAST_SECONDS:
                self.output.write(
                    f"{span}  {queue}  {reason}: {seconds:.2f} s, {steps} steps",
                    span=span,
                    queue=queue,
                    reason=reason,
                    seconds=round(seconds, 3),
                    steps=steps,
                )

    def _show_reversals(self, reversals):
        longest = max(reversals.values())
        self.output.write(
            f"lines of {len(reversals)} jobs stand in reverse order, by up to "
            f"{longest:.2f} s: no wait is counted between them",
            reversed_jobs=len(reversals),
            longest_reversed_seconds=round(longest, 3),
        )

    def _explain(self, lines):
        timeline = RequestTimeline(self.options["<id>"], lines)
        if not timeline.request_lines:
            raise RequestNotLogged(request_id=timeline.request_id, lines=len(lines))
        deciding = timeline.deciding()
        shown = timeline.request_lines
        if self.options["--around"]:
            shown = sorted(
                [*shown, *timeline.context_lines()], key=lambda line: line.seconds
            )
        for line in shown:
            self._show(line, line is deciding)
        vacancies = [_as_mapping(vacancy) for vacancy in timeline.vacancies()]
        self.output.write(
            f"{timeline.request_id}: {timeline.status}; decided by: "
            f"{deciding.event} at {deciding.host}, {deciding.format_fields()}"
            + _as_text(vacancies),
            request=timeline.request_id,
            status=timeline.status,
            deciding=deciding.fields,
            vacancies=vacancies,
        )
        return EXIT_OK

    def _texts(self):
        for path in self.options["<file>"]:
            try:
                with open(path, encoding="utf-8", errors="replace") as file:
                    yield from file
            except OSError as error:
                raise FileUnreadable(path=path, reason=error.strerror) from error

    def _show(self, line, is_deciding):
        self.output.write(
            f"{_MARKS[is_deciding]} {line.time} {line.host} {line.event}: "
            f"{line.format_fields()}",
            is_deciding=is_deciding,
            **line.fields,
        )


def _as_mapping(vacancy):
    return {
        "pool": vacancy.pool,
        "begin": format_utc(vacancy.begin),
        "seconds": round(vacancy.seconds, 3),
        "is_over": vacancy.is_over,
    }


def _as_text(vacancies):
    return "".join(
        f"\n  pool {one['pool']} had no working owner for {one['seconds']:.2f} s of "
        f"its wait, from {one['begin']}{_TAKEN_THEN[one['is_over']]}"
        for one in vacancies
    )
