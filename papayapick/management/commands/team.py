"""Show the teams of the users' platform."""

from papayapick.jobs.state import JobStatus
from papayapick.management.base import Command
from papayapick.management.commands.pool import current_configuration
from papayapick.management.exceptions import TeamMissing
from papayapick.management.exit_codes import EXIT_OK
from papayapick.management.pools import PoolsView
from papayapick.management.teams import sum_up_teams

__all__ = ["TeamCommand"]


class TeamCommand(Command):
    """Show teams from the store of the users' platform, without changes."""

    name = "team"
    usage = """Show the teams of the users' platform.

Usage:
  papayapick team list [--json]
  papayapick team status [<name>] [--json]
  papayapick team --help

list shows each team of the configuration: its rate in jobs a second, its maximum, and
how many keys it has. status shows what the tasks of each team, or of one, use of the
maximum, and how many of its jobs wait and run, as recorded in the store.

Options:
  --json  Write JSON lines for programs.
  --help  Show this page.

An environment variable of the platform names its settings file.
"""

    def handle(self):
        """Run the named subcommand."""
        view = PoolsView.from_config()
        configuration = current_configuration(view)
        if self.options["list"]:
            self._list(configuration.teams)
        else:
            self._status(view, configuration)
        return EXIT_OK

    def _list(self, teams):
        for team in teams:
            self.output.write(
                f"{team.name}: {team.jobs_per_second:g} jobs a second, at most "
                f"{_amounts(team.maximum)}; keys: {len(team.key_digests)}",
                team=team.name,
                jobs_per_second=team.jobs_per_second,
                maximum=team.maximum,
                keys=len(team.key_digests),
            )

    def _status(self, view, configuration):
        name = self.options["<name>"]
        if name is not None and configuration.teams.get(name) is None:
            raise TeamMissing(name=name)
        for team_view in sum_up_teams(configuration.teams, view.jobs(configuration)):
            if name in (None, team_view.team.name):
                self._write_status(team_view)

    def _write_status(self, view):
        used = view.used.as_mapping()
        waiting, running = (
            view.jobs[status] for status in (JobStatus.WAITING, JobStatus.RUNNING)
        )
        self.output.write(
            f"{view.team.name}: uses {_amounts(used, 'nothing')}, {view.share:.0%} of "
            f"its maximum of {_amounts(view.team.maximum)}; {waiting} jobs wait, "
            f"{running} run",
            team=view.team.name,
            used=used,
            maximum=view.team.maximum,
            share=round(view.share, 4),
            waiting=waiting,
            running=running,
        )


def _amounts(found, none="any amount"):
    """Return amounts as text; an amount that is missing or 0 is left out.

    Examples
    --------
    >>> _amounts({"processors": 4000, "memory": 512})
    '4 cores, 512 MiB'
    >>> _amounts({})
    'any amount'
    """
    units = (
        ("processors", lambda amount: f"{amount / 1000:g} cores"),
        ("memory", lambda amount: f"{amount} MiB"),
        ("accelerators", lambda amount: f"{amount} accelerators"),
    )
    texts = [text(found[name]) for name, text in units if found.get(name)]
    return ", ".join(texts) or none
