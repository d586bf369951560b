"""Describe what a check found."""

__all__ = ["ERROR", "WARNING", "Finding"]

ERROR = "error"
WARNING = "warning"


class Finding:
    """Hold one finding.

    Parameters
    ----------
    identifier : str
        Stable, such as ``bundle.E001``.
    level : {"error", "warning"}
    message : str
    hint : str
    """

    __slots__ = ("hint", "identifier", "level", "message")

    def __init__(self, identifier, level, message, hint):
        self.identifier = identifier
        self.level = level
        self.message = message
        self.hint = hint

    @property
    def is_error(self):
        """Return whether the finding must be mended."""
        return self.level == ERROR

    def as_mapping(self):
        """Return the finding for programs."""
        return {
            "id": self.identifier,
            "level": self.level,
            "message": self.message,
            "hint": self.hint,
        }

    def __str__(self):
        return f"{self.identifier} ({self.level}): {self.message} (hint: {self.hint})"
