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

_DECIDING_MARKS = {True: "*", False: " "}
_END_NOTES = {True: "", False: "; the logs end before a host took it"}
_MIN_SHOWN_SECONDS = 0.05


class LogsCommand(Command):
    """Explain requests and waits from logs of entry hosts, without a running cell."""

    name = "logs"
    usage = """Explain requests and waits from the logs of several entry hosts.

Usage:
  papayapick logs explain <id> <file>... [--around] [--json]
  papayapick logs waits <file>... [--every=<s>] [--json]
  papayapick logs --help

explain: shows the lines about the request in order of time; the one that decided its
outcome, or explains its longest wait, is marked with a star and repeated at the end.
Clocks of hosts may differ by seconds. The last lines show for how long its pool had no
working owner between its acceptance and its first placement, according to the logs.

waits: shows the seconds that ready steps waited, by queue and reason, first in all,
then for each time span. If lines of a job are in reverse order, since clocks of hosts
differ or a line was written late, the last line shows by how much.

Exit code 0 when the request or any wait was found, 1 when no line names one.

Options:
  --around     Show events of owners and store meanwhile too.
  --every=<s>  Length of a span in whole seconds [default: 1].
  --json       Write JSON lines for programs.
  --help       Show this page.
"""

    def handle(self):
        """Run the named subcommand."""
        lines = read_lines(self._read_files())
        if self.options["waits"]:
            return self._show_waits(lines)
        return self._explain(lines)

    def _show_waits(self, lines):
        span_seconds = self._span_seconds()
        waits, reversals = read_waits(lines)
        if not (waits or reversals):
            raise NoWaitLogged(lines=len(lines))
        self._show_sums("in all", sum_waits(waits))
        for begin, sums in sum_spans(waits, span_seconds):
            self._show_sums(format_utc(begin), sums)
        if reversals:
            self._show_reversals(reversals)
        return EXIT_OK

    def _span_seconds(self):
        given = self.options["--every"]
        if not given.isdecimal() or int(given) == 0:
            raise SpanInvalid(given=given)
        return int(given)

    def _show_sums(self, span, sums):
        for (queue, reason), (seconds, steps) in sorted(sums.items()):
            if seconds >= _MIN_SHOWN_SECONDS:
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
            f"lines of {len(reversals)} jobs are in reverse order, by up to "
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
            self._show_line(line, line is deciding)
        vacancies = [_vacancy_mapping(vacancy) for vacancy in timeline.vacancies()]
        self.output.write(
            f"{timeline.request_id}: {timeline.status}; decided by: "
            f"{deciding.event} at {deciding.host}, {deciding.format_fields()}"
            + _format_vacancies(vacancies),
            request=timeline.request_id,
            status=timeline.status,
            deciding=deciding.fields,
            vacancies=vacancies,
        )
        return EXIT_OK

    def _read_files(self):
        for path in self.options["<file>"]:
            try:
                with open(path, encoding="utf-8", errors="replace") as file:
                    yield from file
            except OSError as error:
                raise FileUnreadable(path=path, reason=error.strerror) from error

    def _show_line(self, line, is_deciding):
        self.output.write(
            f"{_DECIDING_MARKS[is_deciding]} {line.time} {line.host} {line.event}: "
            f"{line.format_fields()}",
            is_deciding=is_deciding,
            **line.fields,
        )


def _vacancy_mapping(vacancy):
    return {
        "pool": vacancy.pool,
        "begin": format_utc(vacancy.begin),
        "seconds": round(vacancy.seconds, 3),
        "is_over": vacancy.is_over,
    }


def _format_vacancies(vacancies):
    return "".join(
        f"\n  pool {one['pool']} had no working owner for {one['seconds']:.2f} s of "
        f"its wait, from {one['begin']}{_END_NOTES[one['is_over']]}"
        for one in vacancies
    )
