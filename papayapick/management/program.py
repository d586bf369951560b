"""Run papayapick, the operators' command line."""

import os
import sys

from docopt import DocoptExit, docopt

from papayapick import VERSION
from papayapick.conf.exceptions import SettingsError
from papayapick.exceptions import PapayapickError
from papayapick.management.base import Output
from papayapick.management.commands import COMMANDS
from papayapick.management.exceptions import (
    ArgumentInvalid,
    CommandUnknown,
    RollUnsettled,
)
from papayapick.management.exit_codes import EXIT_FAILED, EXIT_SETTINGS, EXIT_UNKNOWN
from papayapick.platform.exceptions import PlatformSettingsInvalid
from papayapick.wire import PeerRefused

__all__ = ["USAGE", "main", "run"]

USAGE = """Operate a cell of papayapick.

Usage:
  papayapick <command> [<arguments>...]
  papayapick --help
  papayapick --version

Commands:
  bundle   Check, compare, sign and roll bundles.
  cell     Show processes, owners of shards and running bundles.
  check    Check settings, bundles, keys and the platform for mistakes.
  key      Generate keys for operators and for the cell.
  logs     Explain a request from the logs of several hosts.
  pool     Show pools, entry hosts and jobs of the users' platform.
  request  Show, explain and cancel durable requests.
  worker   Show the workers of the users' platform and their speeds.

Each command has its own --help. Exit codes: 0 done, 1 refused or failed,
2 wrong settings or arguments, 3 done but something did not answer, 4 not known.
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
    try:
        command, options = _parse(arguments)
        output = Output(stdout, bool(options.get("--json")))
        return command(options, output).handle()
    except DocoptExit as error:
        stderr.write(f"command.usage: {error}\n")
        return EXIT_SETTINGS
    except (
        SettingsError,
        PlatformSettingsInvalid,
        CommandUnknown,
        ArgumentInvalid,
    ) as error:
        stderr.write(f"{error.code}: {error}\n")
        return EXIT_SETTINGS
    except RollUnsettled as error:
        stderr.write(f"{error.code}: {error}\n")
        return EXIT_UNKNOWN
    except PeerRefused as error:
        # Its text begins with the code of the peer's error.
        stderr.write(f"{error}\n")
        return EXIT_FAILED
    except PapayapickError as error:
        stderr.write(f"{error.code}: {error}\n")
        return EXIT_FAILED


def _parse(arguments):
    found = docopt(
        USAGE, argv=arguments, version=f"papayapick {VERSION}", options_first=True
    )
    name = found["<command>"]
    if name not in COMMANDS:
        raise CommandUnknown(name=name, known=", ".join(sorted(COMMANDS)))
    command = COMMANDS[name]
    return command, docopt(command.usage, argv=[name, *found["<arguments>"]])


def main():
    """Run the command line of this process and exit with its code."""
    try:
        code = run(sys.argv[1:], sys.stdout, sys.stderr)
    except BrokenPipeError:
        # The reader of the output has closed it, as `head` does. Without a redirection
        # the interpreter would fail again when it flushes at exit.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        code = EXIT_FAILED
    sys.exit(code)


if __name__ == "__main__":
    main()
