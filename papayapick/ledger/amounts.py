"""Amounts of resources, as integers."""

__all__ = ["Amounts"]


class Amounts:
    """Hold amounts of processors, memory and accelerators.

    Parameters
    ----------
    processors : int
        In millicores.
    memory : int
        In MiB.
    accelerators : int

    Examples
    --------
    >>> Amounts(1000, 512).fits_in(Amounts(2000, 512, 1))
    True
    """

    __slots__ = ("accelerators", "memory", "processors")

    def __init__(self, processors=0, memory=0, accelerators=0):
        self.processors = processors
        self.memory = memory
        self.accelerators = accelerators

    @classmethod
    def from_mapping(cls, found):
        """Read the three amounts from a mapping; a missing amount is 0."""
        return cls(
            int(found.get("processors", 0)),
            int(found.get("memory", 0)),
            int(found.get("accelerators", 0)),
        )

    def as_mapping(self):
        """Return the amounts by name."""
        return {
            "processors": self.processors,
            "memory": self.memory,
            "accelerators": self.accelerators,
        }

    def fits_in(self, other):
        """Return whether no amount exceeds that of ``other``."""
        return (
            self.processors <= other.processors
            and self.memory <= other.memory
            and self.accelerators <= other.accelerators
        )

    def __add__(self, other):
        return Amounts(
            self.processors + other.processors,
            self.memory + other.memory,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other):
        return Amounts(
            self.processors - other.processors,
            self.memory - other.memory,
            self.accelerators - other.accelerators,
        )

    def __eq__(self, other):
        return isinstance(other, Amounts) and self.as_mapping() == other.as_mapping()

    def __hash__(self):
        return hash((self.processors, self.memory, self.accelerators))

    def __repr__(self):
        return (
            f"Amounts({self.processors} millicores, {self.memory} MiB, "
            f"{self.accelerators} accelerators)"
        )
