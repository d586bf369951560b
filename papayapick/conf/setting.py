"""Describe one setting and parse the values given for it."""

from papayapick.conf.exceptions import SettingInvalid

__all__ = ["GATEWAY", "OPERATOR", "PLACER", "Setting"]

GATEWAY = "gateway"
PLACER = "placer"
OPERATOR = "operator"


class Setting:
    """Describe one setting: its name, kind, default and allowed values.

    Parameters
    ----------
    name : str
        Lower case with underscores; flag and variable are derived from it.
    kind : {"text", "integer", "number", "address", "file", "url", "choice"}
    default : object
        ``None`` if a value is required.
    unit : str
    reason : str
        Purpose of the setting or reason for its default, for help and hints.
    programs : tuple of str
        Programs that read the setting.
    minimum, maximum : float, optional
    choices : tuple of str, optional
    """

    __slots__ = (
        "choices",
        "default",
        "kind",
        "maximum",
        "minimum",
        "name",
        "programs",
        "reason",
        "unit",
    )

    def __init__(
        self,
        name,
        kind,
        default,
        unit,
        reason,
        programs=(GATEWAY, PLACER, OPERATOR),
        minimum=None,
        maximum=None,
        choices=(),
    ):
        self.name = name
        self.kind = kind
        self.default = default
        self.unit = unit
        self.reason = reason
        self.programs = programs
        self.minimum = minimum
        self.maximum = maximum
        self.choices = choices

    @property
    def flag(self):
        """Return the command-line flag."""
        return "--" + self.name.replace("_", "-")

    @property
    def variable(self):
        """Return the environment variable."""
        return "PAPAYAPICK_" + self.name.upper()

    @property
    def allowed(self):
        """Return a description of the allowed values."""
        if self.kind == "choice":
            return "one of " + ", ".join(self.choices)
        if self.kind in ("integer", "number"):
            return f"{self.kind} from {self.minimum} to {self.maximum} {self.unit}"
        return {
            "address": "IP:PORT, port 0 for any free port",
            "file": "the path of a readable file",
            "url": "http://HOST:PORT with an optional path",
            "text": "non-empty text",
        }[self.kind]

    def parse(self, given):
        """Parse and validate a given text.

        Parameters
        ----------
        given : str

        Returns
        -------
        object

        Raises
        ------
        SettingInvalid
        """
        parser = getattr(self, "_parse_" + self.kind)
        try:
            return parser(given)
        except (ValueError, OSError) as error:
            raise SettingInvalid(
                flag=self.flag, given=given, allowed=self.allowed, hint=self.reason
            ) from error

    def _parse_text(self, given):
        if not given:
            raise ValueError
        return given

    def _parse_integer(self, given):
        return self._check_range(int(given))

    def _parse_number(self, given):
        return self._check_range(float(given))

    def _parse_address(self, given):
        host, separator, port = given.rpartition(":")
        if not separator or not host or not 0 <= int(port) <= 65535:
            raise ValueError
        return host, int(port)

    def _parse_file(self, given):
        with open(given, "rb"):
            return given

    def _parse_url(self, given):
        if not given.startswith("http://"):
            raise ValueError
        return given.rstrip("/")

    def _parse_choice(self, given):
        if given not in self.choices:
            raise ValueError
        return given

    def _check_range(self, value):
        # NaN compares false with both bounds and is rejected too.
        if not self.minimum <= value <= self.maximum:
            raise ValueError
        return value
