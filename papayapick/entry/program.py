"""Run papayapick-entry."""

import gc
import os
import signal
import sys
import threading

from docopt import DocoptExit, docopt

from papayapick import VERSION
from papayapick.entry.logs import configure_entry_logs
from papayapick.entry.process import EntryHost
from papayapick.observability.logs import get_logger
from papayapick.platform.exceptions import PlatformSettingsInvalid
from papayapick.platform.settings import PlatformSettings

__all__ = ["USAGE", "main"]

# By name: run as a program, the module is called otherwise.
_LOG = get_logger("papayapick.entry.program")

EXIT_SETTINGS = 2
# A small stack: each worker and peer has a task, and memory is paid for.
_STACK_BYTES = 256 << 10

USAGE = """Run an entry host on the users' platform.

The settings file of the platform is named by its own variable.

Usage:
  papayapick-entry [--log-level=LEVEL]
  papayapick-entry --help
  papayapick-entry --version

Options:
  --log-level=LEVEL
      Least level of the lines that are written [default: INFO].
  --help
      Show this page.
  --version
      Show the version.
"""


def main(arguments=None):
    """Run the entry host until it is told to stop."""
    try:
        options = docopt(USAGE, argv=arguments, version=f"papayapick {VERSION}")
        settings = PlatformSettings.from_config()
    except DocoptExit as error:
        sys.stderr.write(f"command.usage: {error}\n")
        sys.exit(EXIT_SETTINGS)
    except PlatformSettingsInvalid as error:
        sys.stderr.write(f"{error.code}: {error}\n")
        sys.exit(EXIT_SETTINGS)
    threading.stack_size(_STACK_BYTES)
    configure_entry_logs(settings, options["--log-level"])
    wakeup = threading.Event()
    stops = []

    def note_stop(number, frame):
        stops.append(number)
        wakeup.set()

    def note_reload(number, frame):
        wakeup.set()

    signal.signal(signal.SIGTERM, note_stop)
    signal.signal(signal.SIGINT, note_stop)
    signal.signal(signal.SIGHUP, note_reload)
    host = EntryHost(settings)
    # What is loaded by now stays; looking through it again finds nothing.
    gc.collect()
    gc.freeze()
    host.start()
    _LOG.info("started", extra={"peer_port": settings.peer_address[1]})
    while not stops:
        wakeup.wait(5.0)
        if wakeup.is_set() and not stops:
            wakeup.clear()
            _reload()
    _LOG.info("stopping")
    host.stop()
    _LOG.info("stopped")
    sys.stdout.flush()
    # Tasks that wait for a peer would hold the interpreter open.
    os._exit(0)


def _reload():
    try:
        PlatformSettings.from_config()
    except PlatformSettingsInvalid as error:
        _LOG.error("settings not read again", extra={"error": str(error)})
        return
    _LOG.info("settings read again")


if __name__ == "__main__":
    main()
