"""Define the table row that holds the bundle in force and the open proposal."""

from papayapick.bundle.exceptions import RollUnderWay

__all__ = ["HEAD_KEY", "Head", "Proposal", "accepted_key"]

HEAD_KEY = "bundle/head"
ACKNOWLEDGEMENT_PREFIX = "bundle/seen/"
ACCEPTED_PREFIX = "bundle/accepted/"
VERIFIED = "verified"
IN_FORCE = "in_force"


def accepted_key(sequence):
    """Return the key of the row that records the accepted proposal of a sequence."""
    return f"{ACCEPTED_PREFIX}{sequence:010d}"


class Proposal:
    """Hold an operator's proposal to put a bundle in force."""

    __slots__ = ("digest", "operator", "sequence", "time")

    def __init__(self, sequence, digest, operator, time):
        self.sequence = sequence
        self.digest = digest
        self.operator = operator
        self.time = time

    def as_mapping(self):
        """Return the stored form."""
        return {
            "sequence": self.sequence,
            "digest": self.digest,
            "operator": self.operator,
            "time": self.time,
        }

    def refuse_if_open(self, now, open_seconds):
        """Raise RollUnderWay while the proposal is younger than ``open_seconds``."""
        if now - self.time < open_seconds:
            raise RollUnderWay(
                operator=self.operator, digest=self.digest[:12], sequence=self.sequence
            )


class Head:
    """Hold one version of the row; sequence 0 means that no bundle is in force."""

    __slots__ = ("digest", "operator", "proposal", "sequence", "version")

    def __init__(self, sequence, digest, operator, proposal, version):
        self.sequence = sequence
        self.digest = digest
        self.operator = operator
        self.proposal = proposal
        self.version = version

    @classmethod
    def from_row(cls, row):
        """Return the head that a row holds, or an empty head for None."""
        if row is None:
            return cls(0, "", "", None, 0)
        value = row.value
        proposal = Proposal(**value["proposal"]) if value.get("proposal") else None
        return cls(
            value["sequence"], value["digest"], value["operator"], proposal, row.version
        )

    def as_mapping(self, proposal=None):
        """Return the stored form with the given proposal, replacing the current one."""
        return {
            "sequence": self.sequence,
            "digest": self.digest,
            "operator": self.operator,
            "proposal": proposal.as_mapping() if proposal else None,
        }
