"""Check the settings in the environment."""

import difflib

from papayapick.checks.findings import Finding
from papayapick.checks.queries import register
from papayapick.conf import SETTINGS, Settings
from papayapick.conf.exceptions import SettingsError
from papayapick.conf.queries import read_sources
from papayapick.conf.setting import OPERATOR

__all__ = ["check_intervals", "check_settings", "check_variables"]

_PREFIX = "PAPAYAPICK_"
_HEARTBEATS_BEFORE_DEATH = 3
_SETTINGS_HINT = "see docs/ref/settings.md"


@register
def check_settings(context):
    """Find settings that are missing or invalid."""
    if not context.is_deployed:
        return
    try:
        Settings.from_config(OPERATOR, environment=context.environment)
    except SettingsError as error:
        yield Finding("settings.E001", str(error), _SETTINGS_HINT)
    for setting in SETTINGS:
        text = context.environment.get(setting.variable)
        if text is not None and OPERATOR not in setting.programs:
            try:
                setting.parse(text)
            except SettingsError as error:
                yield Finding("settings.E002", str(error), _SETTINGS_HINT)


@register
def check_variables(context):
    """Find variables that no program reads, which are usually misspelt."""
    if not context.is_deployed:
        return
    known = {setting.variable for setting in SETTINGS}
    for name in sorted(context.environment):
        if name.startswith(_PREFIX) and name not in known:
            matches = difflib.get_close_matches(name, known, 1)
            hint = f"did you mean {matches[0]}" if matches else _SETTINGS_HINT
            yield Finding("settings.W001", f"no program reads {name}", hint)


@register
def check_intervals(context):
    """Find intervals that contradict each other."""
    if not context.is_deployed:
        return
    sources = read_sources(context.environment)
    # check_settings reports an invalid value; its default is used here.
    found = {one.setting.name: one.value_or_default for one in sources}
    min_seconds = _HEARTBEATS_BEFORE_DEATH * found["heartbeat_seconds"]
    if found["dead_after_seconds"] < min_seconds:
        yield Finding(
            "settings.E003",
            f"dead_after_seconds is under {_HEARTBEATS_BEFORE_DEATH} heartbeats",
            "a single lost heartbeat would cause takeovers; raise it",
        )
    if found["grant_seconds"] >= found["dead_after_seconds"]:
        yield Finding(
            "settings.W002",
            "grant_seconds reaches dead_after_seconds",
            "a grant should end before its shard can change owners; lower it",
        )
    if found["platform_timeout_seconds"] >= found["task_lease_seconds"]:
        yield Finding(
            "settings.W003",
            "one slow answer of the platform may take longer than task_lease_seconds",
            "leases of tasks would expire while it is slow; raise task_lease_seconds",
        )
