"""Run a daemon from its command line until it is told to stop."""

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
    """Read a program's settings; end with exit code 2 where one is wrong.

    Parameters
    ----------
    usage : str
        Text for docopt.
    program : str
    arguments : list of str, optional

    Returns
    -------
    options : dict
        As docopt gives them.
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
    """Run a daemon until SIGTERM or SIGINT.

    Parameters
    ----------
    usage : str
    program : str
    build : callable
        Takes the settings and returns an object with ``start``, ``addresses``
        and ``stop``; ``stop`` takes True where the operator insists.
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

    def note(number, frame):
        signals.append(number)
        wakeup.set()

    signal.signal(signal.SIGTERM, note)
    signal.signal(signal.SIGINT, note)
    daemon.start()
    _LOG.info("listening", extra=daemon.addresses())
    _wait(signals, wakeup)
    _LOG.info("draining")
    stopper = threading.Thread(target=daemon.stop, daemon=True)
    stopper.start()
    while stopper.is_alive() and len(signals) < 2:
        stopper.join(0.05)
    _LOG.info("stopped", extra={"at_once": len(signals) > 1})
    # Tasks blocked on a peer would hold the interpreter open.
    sys.stderr.flush()
    os._exit(0)


def _wait(signals, wakeup):
    while not signals:
        wakeup.wait(1.0)
