"""Run papayapick-placer."""

from papayapick.conf import Settings
from papayapick.conf.setting import PLACER
from papayapick.daemon import run_program
from papayapick.placer.process import Placer

__all__ = ["USAGE", "main"]

USAGE = f"""Own shards of hosts and place work on them.

Usage:
  papayapick-placer [options]
  papayapick-placer --help
  papayapick-placer --version

Options:
  --help
      Show this page.
  --version
      Show the version.
{Settings.usage(PLACER)}
"""


def main():
    """Run the placer until it is asked to stop."""
    run_program(USAGE, PLACER, Placer.from_config)


if __name__ == "__main__":
    main()
