"""Run a daemon from its command line until a signal stops it."""

import os
import signal
import sys
import threading

from docopt import DocoptExit, docopt

from papayapick import VERSION
from papayapick.conf import Settings
from papayapick.conf.exceptions import SettingsError
from papayapick.exceptions import PapayapickError
from papayapick.observability import configure_logs, get_logger

__all__ = ["EXIT_FAILED", "EXIT_SETTINGS", "read_settings", "run_program"]

EXIT_FAILED = 1
EXIT_SETTINGS = 2
_LOG = get_logger(__name__)


def read_settings(usage, program, arguments=None):
    """Read a program's settings; exit with code 2 if they are invalid.

    Parameters
    ----------
    usage : str
        Usage text for docopt.
    program : str
    arguments : list of str, optional

    Returns
    -------
    options : dict
        Options as parsed by docopt.
    settings : Settings
    """
    try:
        options = docopt(usage, argv=arguments, version=f"papayapick {VERSION}")
    except DocoptExit as error:
        sys.stderr.write(f"command.usage: {error}\n")
        sys.exit(EXIT_SETTINGS)
    try:
        return options, Settings.from_config(program, options)
    except SettingsError as error:
        sys.stderr.write(f"{error.code}: {error}\n")
        sys.exit(EXIT_SETTINGS)


def run_program(usage, program, build):
    """Run a daemon until SIGTERM or SIGINT; a second signal ends it without draining.

    Parameters
    ----------
    usage : str
    program : str
    build : callable
        Takes the settings and returns an object with ``start``, ``addresses``
        and ``stop``; ``stop`` returns once the daemon has drained.
    """
    _, settings = read_settings(usage, program)
    configure_logs(settings, program)
    try:
        daemon = build(settings)
    except (PapayapickError, OSError) as error:
        code = getattr(error, "code", "papayapick.start")
        sys.stderr.write(f"{code}: {error}\n")
        sys.exit(EXIT_FAILED)
    signals = []
    wakeup = threading.Event()

    def on_signal(number, frame):
        signals.append(number)
        wakeup.set()

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    daemon.start()
    _LOG.info("listening", extra=daemon.addresses())
    _wait_for_signal(signals, wakeup)
    _LOG.info("draining")
    stopper = threading.Thread(target=daemon.stop, daemon=True)
    stopper.start()
    while stopper.is_alive() and len(signals) < 2:
        stopper.join(0.05)
    _LOG.info("stopped", extra={"at_once": len(signals) > 1})
    # Threads that block on a peer would keep the interpreter from exiting.
    sys.stderr.flush()
    os._exit(0)


def _wait_for_signal(signals, wakeup):
    while not signals:
        wakeup.wait(1.0)
