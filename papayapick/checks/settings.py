"""Check the settings of the environment."""

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
_PAGE = "see docs/ref/settings.md"


@register
def check_settings(context):
    """Find a setting that is missing or not allowed."""
    if not context.is_deployed:
        return
    try:
        Settings.from_config(OPERATOR, environment=context.environment)
    except SettingsError as error:
        yield Finding("settings.E001", str(error), _PAGE)
    for setting in SETTINGS:
        given = context.environment.get(setting.variable)
        if given is not None and OPERATOR not in setting.programs:
            try:
                setting.parse(given)
            except SettingsError as error:
                yield Finding("settings.E002", str(error), _PAGE)


@register
def check_variables(context):
    """Find variables that no program reads: most often a slip of the pen."""
    if not context.is_deployed:
        return
    known = {setting.variable for setting in SETTINGS}
    for name in sorted(context.environment):
        if name.startswith(_PREFIX) and name not in known:
            near = difflib.get_close_matches(name, known, 1)
            hint = f"did you mean {near[0]}" if near else _PAGE
            yield Finding("settings.W001", f"no program reads {name}", hint)


@register
def check_intervals(context):
    """Find intervals that contradict each other."""
    if not context.is_deployed:
        return
    sources = read_sources(context.environment)
    # A wrong value is told by check_settings; here its default stands for it.
    found = {one.setting.name: one.value_or_default for one in sources}
    least = _HEARTBEATS_BEFORE_DEATH * found["heartbeat_seconds"]
    if found["dead_after_seconds"] < least:
        yield Finding(
            "settings.E003",
            f"dead_after_seconds is under {_HEARTBEATS_BEFORE_DEATH} heartbeats",
            "a single lost heartbeat would move shards; raise it",
        )
    if found["grant_seconds"] >= found["dead_after_seconds"]:
        yield Finding(
            "settings.W002",
            "grant_seconds reaches dead_after_seconds",
            "a grant should end before its shard can move; lower it",
        )
    if found["platform_timeout_seconds"] >= found["task_lease_seconds"]:
        yield Finding(
            "settings.W003",
            "one slow answer of the platform outlasts task_lease_seconds",
            "tasks would lapse in a slow spell; raise the lease",
        )
