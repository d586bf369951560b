"""Read the settings of a program from flags and environment variables."""

import os

from papayapick.conf.defaults import SETTINGS
from papayapick.conf.exceptions import SettingMissing

__all__ = ["Settings"]


class Settings:
    """Hold the validated settings of one program.

    Parameters
    ----------
    values : dict
        Values by name of the setting.

    Examples
    --------
    >>> Settings({"heartbeat_seconds": 0.5}).heartbeat_seconds
    0.5
    """

    __slots__ = ("_values",)

    def __init__(self, values):
        self._values = values

    def __getattr__(self, name):
        try:
            return self._values[name]
        except KeyError:
            raise AttributeError(name) from None

    @classmethod
    def from_config(cls, program, arguments=None, environment=None):
        """Read the settings of a program.

        Parameters
        ----------
        program : str
        arguments : dict, optional
            Text by flag, as docopt returns it; takes precedence over the
            environment.
        environment : dict, optional
            Defaults to ``os.environ``.

        Returns
        -------
        Settings

        Raises
        ------
        SettingInvalid, SettingMissing
        """
        arguments = arguments or {}
        environment = os.environ if environment is None else environment
        values = {}
        for setting in SETTINGS:
            if program not in setting.programs:
                continue
            given = arguments.get(setting.flag)
            if given is None:
                given = environment.get(setting.variable)
            if given is not None:
                values[setting.name] = setting.parse(given)
            elif setting.default is not None:
                values[setting.name] = setting.default
            else:
                raise SettingMissing(
                    flag=setting.flag, variable=setting.variable, hint=setting.reason
                )
        return cls(values)

    @staticmethod
    def usage(program):
        """Return the option section of a program's docopt usage text."""
        lines = []
        for setting in SETTINGS:
            if program not in setting.programs:
                continue
            value = setting.kind.upper()
            lines.append(f"  {setting.flag}={value}")
            default = "required" if setting.default is None else setting.default
            unit = f" {setting.unit}" if setting.unit else ""
            lines.append(f"      {setting.reason} ({default}{unit}; or the variable")
            lines.append(f"      {setting.variable}).")
        return "\n".join(lines)
