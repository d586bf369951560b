"""Determine the source of each setting's value and render the reference page."""

from papayapick.conf.defaults import SETTINGS
from papayapick.conf.exceptions import SettingInvalid

__all__ = ["SettingSource", "read_sources", "reference_page"]

_DEFAULT = "default"
_ENVIRONMENT = "environment"
_MISSING = "missing"
_WRONG = "wrong"

_PAGE_HEAD = """# Settings

Every setting is a flag of the programs that read it, and an environment
variable; the flag takes precedence over the variable.
`papayapick check --settings` shows the values of an environment and the source
of each. An invalid value ends a program with exit code 2 and one line that names
the setting, the given value, the allowed values and a hint.

Keys are given as files only; their content is never a setting and never logged.

This page is generated from `papayapick/conf/defaults.py` by
`python -m papayapick.conf.reference > docs/ref/settings.md`.

| Flag | Variable | Default | Allowed | Programs | Reason |
| --- | --- | --- | --- | --- | --- |
"""


class SettingSource:
    """Hold the value of one setting in an environment, with its source.

    Parameters
    ----------
    setting : Setting
    value : object
        None if the setting is missing, the given text if it is invalid.
    source : {"default", "environment", "missing", "wrong"}
    """

    __slots__ = ("setting", "source", "value")

    def __init__(self, setting, value, source):
        self.setting = setting
        self.value = value
        self.source = source

    @property
    def value_or_default(self):
        """Return the value, or the default if the given value is invalid."""
        return self.setting.default if self.source == _WRONG else self.value


def read_sources(environment):
    """Return each setting of an environment with its source.

    Parameters
    ----------
    environment : dict of str to str

    Returns
    -------
    list of SettingSource

    Examples
    --------
    >>> sources = read_sources({"PAPAYAPICK_POLL_SECONDS": "2"})
    >>> [(s.value, s.source) for s in sources if s.setting.name == "poll_seconds"]
    [(2.0, 'environment')]
    """
    return [_source_of(setting, environment) for setting in SETTINGS]


def _source_of(setting, environment):
    given = environment.get(setting.variable)
    if given is None:
        source = _MISSING if setting.default is None else _DEFAULT
        return SettingSource(setting, setting.default, source)
    try:
        return SettingSource(setting, setting.parse(given), _ENVIRONMENT)
    except SettingInvalid:
        return SettingSource(setting, given, _WRONG)


def reference_page():
    """Return the page of all settings as Markdown."""
    return _PAGE_HEAD + "".join(_table_row(setting) + "\n" for setting in SETTINGS)


def _table_row(setting):
    default = "required" if setting.default is None else f"`{_format(setting.default)}`"
    cells = (
        f"`{setting.flag}`",
        f"`{setting.variable}`",
        f"{default} {setting.unit}".strip(),
        setting.allowed,
        ", ".join(setting.programs),
        setting.reason,
    )
    return "| " + " | ".join(cells) + " |"


def _format(value):
    return f"{value[0]}:{value[1]}" if isinstance(value, tuple) else value
