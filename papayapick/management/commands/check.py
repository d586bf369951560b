"""Run the system checks."""

from papayapick.checks import run_checks
from papayapick.management.base import Command

__all__ = ["CheckCommand"]


class CheckCommand(Command):
    """Run the checks and report what they find."""

    name = "check"
    usage = """Look for mistakes in settings, bundle and surroundings.

Usage:
  papayapick check [<bundle>...] [--deploy] [--json]
  papayapick check --help

Without --deploy only the package and the named bundle files are looked at.

Options:
  --deploy  Look at the settings and reach the platform too.
  --json    Write for programs.
  --help    Show this page.
"""

    def handle(self):
        """Print each finding; return 1 where one is an error."""
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
        return 1 if errors else 0
