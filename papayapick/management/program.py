"""Run papayapick, the operators' command line."""

import sys

from docopt import docopt

from papayapick import VERSION
from papayapick.conf.exceptions import SettingsError
from papayapick.exceptions import PapayapickError
from papayapick.management.base import Output
from papayapick.management.commands import COMMANDS
from papayapick.management.exceptions import CommandUnknown

__all__ = ["EXIT_FAILED", "EXIT_OK", "EXIT_SETTINGS", "USAGE", "main", "run"]

EXIT_OK, EXIT_FAILED, EXIT_SETTINGS = 0, 1, 2

USAGE = """Steer a cell of papayapick.

Usage:
  papayapick <command> [<arguments>...]
  papayapick --help
  papayapick --version

Commands:
  bundle   Check, compare, sign, roll and step back bundles.
  check    Look for mistakes in settings, bundle and surroundings.
  key      Make keys for operators and for the cell.

Each command has its own --help. Exit codes: 0 done, 1 refused or failed,
2 wrong settings or arguments.
"""


def run(arguments, stdout, stderr):
    """Run one command line.

    Parameters
    ----------
    arguments : list of str
    stdout, stderr : file

    Returns
    -------
    int
        The exit code.
    """
    found = docopt(
        USAGE, argv=arguments, version=f"papayapick {VERSION}", options_first=True
    )
    name = found["<command>"]
    try:
        if name not in COMMANDS:
            raise CommandUnknown(name=name, known=", ".join(sorted(COMMANDS)))
        command = COMMANDS[name]
        options = docopt(command.usage, argv=[name, *found["<arguments>"]])
        output = Output(stdout, bool(options.get("--json")))
        return command(options, output).handle()
    except (SettingsError, CommandUnknown) as error:
        stderr.write(f"{error.code}: {error}\n")
        return EXIT_SETTINGS
    except PapayapickError as error:
        stderr.write(f"{error.code}: {error}\n")
        return EXIT_FAILED


def main():
    """Run the command line of this process."""
    sys.exit(run(sys.argv[1:], sys.stdout, sys.stderr))


if __name__ == "__main__":
    main()
