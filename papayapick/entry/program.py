"""Run papayapick-entry."""

import gc
import os
import signal
import sys
import threading

from docopt import DocoptExit, docopt

from papayapick import VERSION
from papayapick.clock import BootClock
from papayapick.entry.events import (
    PROCESS_STARTED,
    PROCESS_STOPPED,
    PROCESS_STOPPING,
    SETTINGS_KEPT,
    SETTINGS_READ,
)
from papayapick.entry.metrics import LINES_LEFT_OUT
from papayapick.entry.process import EntryHost
from papayapick.observability.events import EventLog
from papayapick.platform.exceptions import PlatformSettingsInvalid
from papayapick.platform.settings import PlatformSettings

__all__ = ["USAGE", "main"]

EXIT_SETTINGS = 2
# A small stack: each worker and peer has a task, and memory is paid for.
_STACK_BYTES = 256 << 10
# Lines that were left out are counted up so often.
_LEFT_OUT_SECONDS = 5.0
_PORT_LIMIT = 65535

USAGE = """Run an entry host on the users' platform.

The settings file of the platform is named by its own variable.

Usage:
  papayapick-entry [--log-level=LEVEL] [--metrics-port=PORT]
  papayapick-entry --help
  papayapick-entry --version

Options:
  --log-level=LEVEL
      Least level of the lines that are written [default: INFO].
  --metrics-port=PORT
      Serve metrics at /metrics there; 0 for not at all [default: 0].
  --help
      Show this page.
  --version
      Show the version.
"""


def main(arguments=None):
    """Run the entry host until it is told to stop."""
    try:
        options = docopt(USAGE, argv=arguments, version=f"papayapick {VERSION}")
        settings = PlatformSettings.from_config(metrics_port=_port(options))
    except DocoptExit as error:
        sys.stderr.write(f"command.usage: {error}\n")
        sys.exit(EXIT_SETTINGS)
    except PlatformSettingsInvalid as error:
        sys.stderr.write(f"{error.code}: {error}\n")
        sys.exit(EXIT_SETTINGS)
    threading.stack_size(_STACK_BYTES)
    clock = BootClock()
    static = {"host": settings.host_name, "zone": settings.zone}
    level = options["--log-level"]
    log = EventLog(clock, level, static, on_left_out=LINES_LEFT_OUT.inc)
    log.start()
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
    host = EntryHost(settings, clock)
    # What is loaded by now stays; looking through it again finds nothing.
    gc.collect()
    gc.freeze()
    host.start()
    PROCESS_STARTED.write(
        version=VERSION,
        role_address="{}:{}".format(*settings.frontend_address),
        peer_address="{}:{}".format(*settings.peer_address),
        store_address=settings.store_address,
        log_level=level,
        metrics_port=settings.metrics_port,
    )
    while not stops:
        wakeup.wait(_LEFT_OUT_SECONDS)
        log.tell_left_out()
        if wakeup.is_set() and not stops:
            wakeup.clear()
            _reload()
    stopped_at = clock.monotonic()
    PROCESS_STOPPING.write(
        owned_pools=host.owned_pools(), grace_seconds=settings.grace_seconds
    )
    host.stop()
    PROCESS_STOPPED.write(seconds=round(clock.monotonic() - stopped_at, 3))
    log.close()
    # Tasks that wait for a peer would hold the interpreter open.
    os._exit(0)


def _port(options):
    text = options["--metrics-port"]
    if not text.isdecimal() or int(text) > _PORT_LIMIT:
        raise DocoptExit(f"--metrics-port: {text!r} is no port")
    return int(text)


def _reload():
    try:
        PlatformSettings.from_config()
    except PlatformSettingsInvalid as error:
        SETTINGS_KEPT.write(error=str(error))
        return
    SETTINGS_READ.write()


if __name__ == "__main__":
    main()
