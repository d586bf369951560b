"""Describe the findings of checks."""

__all__ = ["ERROR", "WARNING", "Finding"]

ERROR = "error"
WARNING = "warning"


class Finding:
    """Hold one finding.

    Parameters
    ----------
    identifier : str
        Stable id, such as ``bundle.E001``; E marks an error, W a warning.
    message : str
    hint : str

    Examples
    --------
    >>> Finding("keys.W001", "others can read it", "chmod 600").is_error
    False
    """

    __slots__ = ("hint", "identifier", "message")

    def __init__(self, identifier, message, hint):
        self.identifier = identifier
        self.message = message
        self.hint = hint

    @property
    def level(self):
        """Return ``error`` or ``warning``."""
        letter = self.identifier.rpartition(".")[2][0]
        return ERROR if letter == "E" else WARNING

    @property
    def is_error(self):
        """Return whether the finding is an error, which must be fixed."""
        return self.level == ERROR

    def as_mapping(self):
        """Return its fields as a dict for JSON."""
        return {
            "id": self.identifier,
            "level": self.level,
            "message": self.message,
            "hint": self.hint,
        }

    def __str__(self):
        return f"{self.identifier} ({self.level}): {self.message} (hint: {self.hint})"
