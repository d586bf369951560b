"""Explain a request from the logs of several hosts."""

from papayapick.management.base import Command
from papayapick.management.exceptions import FileUnreadable, RequestNotLogged
from papayapick.management.exit_codes import EXIT_OK
from papayapick.observability.stories import Story, read_lines

__all__ = ["LogsCommand"]

_MARKS = {True: "*", False: " "}


class LogsCommand(Command):
    """Read logs of entry hosts; nothing is asked of the cell."""

    name = "logs"
    usage = """Explain a request from the logs of several entry hosts.

Usage:
  papayapick logs explain <id> <file>... [--around] [--json]
  papayapick logs --help

The lines about the request are put in order; the one that decided its outcome, or
its longest wait, is marked with a star and repeated at the end. Clocks of hosts may
differ by seconds.

Exit code 0 when the request was found, 1 when no line names it.

Options:
  --around  Show owners and store around it too.
  --json    Write for programs, one JSON object a line.
  --help    Show this page.
"""

    def handle(self):
        """Print the lines in order, then what decided."""
        lines = read_lines(self._texts())
        story = Story(self.options["<id>"], lines)
        if not story.own:
            raise RequestNotLogged(request_id=story.request_id, lines=len(lines))
        deciding = story.deciding()
        shown = story.own
        if self.options["--around"]:
            shown = sorted([*shown, *story.around()], key=lambda line: line.time)
        for line in shown:
            self._show(line, line is deciding)
        self.output.write(
            f"{story.request_id}: {story.status}; decided by: {deciding.event} at "
            f"{deciding.host}, {deciding.shown()}",
            request=story.request_id,
            status=story.status,
            deciding=deciding.fields,
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
            f"{line.shown()}",
            is_deciding=is_deciding,
            **line.fields,
        )
