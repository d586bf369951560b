"""Run the system checks."""

import os

from papayapick.checks import run_checks
from papayapick.conf.queries import read_sources
from papayapick.management.base import Command
from papayapick.management.exit_codes import EXIT_FAILED, EXIT_OK

__all__ = ["CheckCommand"]


class CheckCommand(Command):
    """Run the checks and report their findings."""

    name = "check"
    usage = """Check settings, bundles, keys and the platform for mistakes.

Usage:
  papayapick check [<bundle>...] [--deploy] [--json]
  papayapick check --settings [--json]
  papayapick check --help

Without --deploy only the package, its deploy files and the named bundles are checked.

Options:
  --deploy    Check settings, keys, platform and live list too; compare the
              live list with the named bundle, or with the one in force.
  --settings  Show each setting of this environment and where it comes from.
  --json      Write JSON lines for programs.
  --help      Show this page.
"""

    def handle(self):
        """Print each finding; return 1 if one is an error."""
        if self.options["--settings"]:
            return self._show_settings()
        findings = run_checks(
            bundles=self.options["<bundle>"], is_deployed=self.options["--deploy"]
        )
        for found in findings:
            self.output.write(str(found), **found.as_mapping())
        errors = [found for found in findings if found.is_error]
        self.output.write(
            f"{len(findings)} findings, {len(errors)} errors",
            findings=len(findings),
            errors=len(errors),
        )
        return EXIT_FAILED if errors else EXIT_OK

    def _show_settings(self):
        for found in read_sources(os.environ):
            self.output.write(
                f"{found.setting.name} = {found.value} ({found.source})",
                name=found.setting.name,
                value=found.value,
                unit=found.setting.unit,
                source=found.source,
            )
        return EXIT_OK
