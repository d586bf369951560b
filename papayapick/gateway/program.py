"""Run papayapick-gateway."""

from papayapick.conf import Settings
from papayapick.conf.setting import GATEWAY
from papayapick.daemon import run_program
from papayapick.gateway.process import Gateway

__all__ = ["USAGE", "main"]

USAGE = f"""Serve callers: validate and admit requests and return complete answers.

Usage:
  papayapick-gateway [options]
  papayapick-gateway --help
  papayapick-gateway --version

Options:
  --help
      Show this page.
  --version
      Show the version.
{Settings.usage(GATEWAY)}
"""


def main():
    """Run the gateway until it is stopped."""
    run_program(USAGE, GATEWAY, Gateway.from_config)


if __name__ == "__main__":
    main()
