"""Check the files for the users' platform: deploy file, settings file and days."""

import importlib.util
import os
import shlex
import tomllib
from pathlib import Path

from papayapick.checks.findings import Finding
from papayapick.checks.queries import register
from papayapick.platform.exceptions import PlatformSettingsInvalid
from papayapick.platform.settings import SETTINGS_VARIABLE, PlatformSettings

__all__ = [
    "check_days",
    "check_deploy_file",
    "check_platform_settings",
    "find_root",
]

_DEPLOY_FILE = Path("deploy", "system.toml")
_DAYS_FOLDER = Path("deploy", "days")
_METRICS_FLAG = "--metrics-port="


def find_root():
    """Return the folder that contains the package; the root of a checkout."""
    return Path(__file__).resolve().parents[2]


@register
def check_deploy_file(context, root=None):
    """Find roles without a module to run, or whose metrics port is not served."""
    path = (root or find_root()) / _DEPLOY_FILE
    if not path.exists():
        # An installed package has no deploy file.
        return
    try:
        found = tomllib.loads(path.read_text())
    except ValueError as error:
        yield Finding("deployment.E001", f"{path}: {error}", "fix the file")
        return
    for name, role in found.get("roles", {}).items():
        yield from _check_role(name, role)


def _check_role(name, role):
    arguments = shlex.split(role.get("run", ""))
    module = arguments[arguments.index("-m") + 1] if "-m" in arguments[:-1] else ""
    if not module or importlib.util.find_spec(module) is None:
        yield Finding(
            "deployment.E002",
            f"role {name} runs no module of this package: {role.get('run')!r}",
            "run one with `python3 -m`",
        )
    declared_port = str(role.get("metrics", "")).partition("/")[0]
    metrics_flags = [
        argument for argument in arguments if argument.startswith(_METRICS_FLAG)
    ]
    served_port = metrics_flags[-1].removeprefix(_METRICS_FLAG) if metrics_flags else ""
    if declared_port != served_port:
        yield Finding(
            "deployment.E003",
            f"role {name} declares metrics at {declared_port or 'no port'} and serves "
            f"them at {served_port or 'no port'}",
            f"set the same port in `metrics` and in {_METRICS_FLAG}",
        )


@register
def check_days(context, root=None):
    """Find days that the benchmark can't run, or whose name differs from the file's."""
    folder = (root or find_root()) / _DAYS_FOLDER
    for path in sorted(folder.glob("*.toml")):
        try:
            day = tomllib.loads(path.read_text())
        except ValueError as error:
            yield Finding("deployment.E004", f"{path}: {error}", "fix the file")
            continue
        if day.get("name") != path.stem:
            yield Finding(
                "deployment.E005",
                f"{path} is named {day.get('name')!r}",
                "give a day the name of its file",
            )
        for entry in [*day.get("plan", []), *day.get("faults", [])]:
            if "kind" not in entry or not isinstance(entry.get("at"), int | float):
                yield Finding(
                    "deployment.E006",
                    f"{path}: {entry} lacks kind or time",
                    "give `kind` and `at`, in seconds",
                )


@register
def check_platform_settings(context):
    """Find a settings file of the platform that an entry host would reject."""
    environment = context.environment if context else os.environ
    if not environment.get(SETTINGS_VARIABLE):
        return
    try:
        PlatformSettings.from_config(environment)
    except PlatformSettingsInvalid as error:
        yield Finding(
            "deployment.E007", str(error), "compare it with docs/howto/deploy.md"
        )
