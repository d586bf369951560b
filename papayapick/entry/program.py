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
# A small stack, since there is a thread for each worker and peer and memory is billed.
_STACK_BYTES = 256 << 10
# Interval at which log lines that were dropped are counted in the metrics.
_LEFT_OUT_INTERVAL_SECONDS = 5.0
_MAX_PORT = 65535
_MILLISECONDS_PER_SECOND = 1000

USAGE = """Run an entry host on the users' platform.

The settings file is read from the path in the variable PAPAYAPICK_CONFIG.

Usage:
  papayapick-entry [--log-level=LEVEL] [--metrics-port=PORT]
  papayapick-entry --help
  papayapick-entry --version

Options:
  --log-level=LEVEL
      Lowest level of the log lines that are written [default: INFO].
  --metrics-port=PORT
      Serve metrics at /metrics on this port; 0 for none [default: 0].
  --help
      Show this help.
  --version
      Show the version.
"""


def main(arguments=None):
    """Run the entry host until it receives a stop signal."""
    try:
        options = docopt(USAGE, argv=arguments, version=f"papayapick {VERSION}")
        settings = PlatformSettings.from_config(metrics_port=_parse_port(options))
    except DocoptExit as error:
        sys.stderr.write(f"command.usage: {error}\n")
        sys.exit(EXIT_SETTINGS)
    except PlatformSettingsInvalid as error:
        sys.stderr.write(f"{error.code}: {error}\n")
        sys.exit(EXIT_SETTINGS)
    threading.stack_size(_STACK_BYTES)
    clock = BootClock()
    # A process that is started again has the same host name.
    process_started = round(clock.time() * _MILLISECONDS_PER_SECOND)
    static = {
        "host": settings.host_name,
        "zone": settings.zone,
        "process_started": process_started,
    }
    level = options["--log-level"]
    log = EventLog(clock, level, static, on_dropped_lines=LINES_LEFT_OUT.inc)
    log.start()
    wakeup = threading.Event()
    stop_signals = []

    def request_stop(signal_number, frame):
        stop_signals.append(signal_number)
        wakeup.set()

    def request_reload(signal_number, frame):
        wakeup.set()

    signal.signal(signal.SIGTERM, request_stop)
    signal.signal(signal.SIGINT, request_stop)
    signal.signal(signal.SIGHUP, request_reload)
    host = EntryHost(settings, clock, log.close)
    # The objects loaded so far live as long as the process. Freezing them keeps the
    # garbage collector from traversing them again.
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
    while not stop_signals:
        wakeup.wait(_LEFT_OUT_INTERVAL_SECONDS)
        log.report_dropped_lines()
        if wakeup.is_set() and not stop_signals:
            wakeup.clear()
            _reread_settings()
    stopped_at = clock.monotonic()
    PROCESS_STOPPING.write(
        owned_pools=host.owned_pools(), grace_seconds=settings.grace_seconds
    )
    host.stop()
    PROCESS_STOPPED.write(seconds=round(clock.monotonic() - stopped_at, 3))
    log.close()
    # Threads that wait for a peer would keep the interpreter from exiting.
    os._exit(0)


def _parse_port(options):
    text = options["--metrics-port"]
    if not text.isdecimal() or int(text) > _MAX_PORT:
        raise DocoptExit(f"--metrics-port: {text!r} is not a valid port")
    return int(text)


def _reread_settings():
    """Read the settings file and log whether it is valid; change nothing."""
    try:
        PlatformSettings.from_config()
    except PlatformSettingsInvalid as error:
        SETTINGS_KEPT.write(error=str(error))
        return
    SETTINGS_READ.write()


if __name__ == "__main__":
    main()
