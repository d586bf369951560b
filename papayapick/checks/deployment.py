"""Check what the users' platform is given: deploy file, settings file, days."""

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
    """Return the folder that holds the package; in a checkout, the checkout."""
    return Path(__file__).resolve().parents[2]


@register
def check_deploy_file(context, root=None):
    """Find roles that the platform could not start, or would look at in vain."""
    path = (root or find_root()) / _DEPLOY_FILE
    if not path.exists():
        # An installed package has no deploy file.
        return
    try:
        found = tomllib.loads(path.read_text())
    except ValueError as error:
        yield Finding("deployment.E001", f"{path}: {error}", "mend the file")
        return
    for name, role in found.get("roles", {}).items():
        yield from _check_role(name, role)


def _check_role(name, role):
    words = shlex.split(role.get("run", ""))
    module = words[words.index("-m") + 1] if "-m" in words[:-1] else ""
    if not module or importlib.util.find_spec(module) is None:
        yield Finding(
            "deployment.E002",
            f"role {name} runs no module of this package: {role.get('run')!r}",
            "name one with `python3 -m`",
        )
    shown = str(role.get("metrics", "")).partition("/")[0]
    flags = [word for word in words if word.startswith(_METRICS_FLAG)]
    served = flags[-1].removeprefix(_METRICS_FLAG) if flags else ""
    if shown != served:
        yield Finding(
            "deployment.E003",
            f"role {name} names metrics at {shown or 'no port'} and serves them at "
            f"{served or 'no port'}",
            f"name the same port in `metrics` and in {_METRICS_FLAG}",
        )


@register
def check_days(context, root=None):
    """Find days that the bench could not play, or not under their name."""
    folder = (root or find_root()) / _DAYS_FOLDER
    for path in sorted(folder.glob("*.toml")):
        try:
            day = tomllib.loads(path.read_text())
        except ValueError as error:
            yield Finding("deployment.E004", f"{path}: {error}", "mend the file")
            continue
        if day.get("name") != path.stem:
            yield Finding(
                "deployment.E005",
                f"{path} is named {day.get('name')!r}",
                "name a day as its file",
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
    """Find a settings file of the platform that an entry host would refuse."""
    environment = context.environment if context else os.environ
    if not environment.get(SETTINGS_VARIABLE):
        return
    try:
        PlatformSettings.from_config(environment)
    except PlatformSettingsInvalid as error:
        yield Finding(
            "deployment.E007", str(error), "compare it with docs/howto/deploy.md"
        )
