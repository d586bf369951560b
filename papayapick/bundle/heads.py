"""Describe the row that names the bundle in force and the open proposal."""

from papayapick.bundle.exceptions import RollUnderWay

__all__ = ["HEAD_KEY", "Head", "Proposal", "accepted_key"]

HEAD_KEY = "bundle/head"
SEEN_PREFIX = "bundle/seen/"
ACCEPTED_PREFIX = "bundle/accepted/"
VERIFIED = "verified"
IN_FORCE = "in_force"


def accepted_key(sequence):
    """Return the row that keeps what was accepted as a sequence."""
    return f"{ACCEPTED_PREFIX}{sequence:010d}"


class Proposal:
    """Hold a bundle that an operator wants accepted."""

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

    def refuse_if_open(self, now, patience):
        """Raise RollUnderWay while the proposal is younger than ``patience``."""
        if now - self.time < patience:
            raise RollUnderWay(
                operator=self.operator, digest=self.digest[:12], sequence=self.sequence
            )


class Head:
    """Hold the row at one version; sequence 0 means that nothing is in force."""

    __slots__ = ("digest", "operator", "proposal", "sequence", "version")

    def __init__(self, sequence, digest, operator, proposal, version):
        self.sequence = sequence
        self.digest = digest
        self.operator = operator
        self.proposal = proposal
        self.version = version

    @classmethod
    def from_row(cls, row):
        """Read the row, or None where it is absent."""
        if row is None:
            return cls(0, "", "", None, 0)
        found = row.value
        proposal = Proposal(**found["proposal"]) if found.get("proposal") else None
        return cls(
            found["sequence"], found["digest"], found["operator"], proposal, row.version
        )

    def as_mapping(self, proposal=None):
        """Return the stored form with a proposal in place of the present one."""
        return {
            "sequence": self.sequence,
            "digest": self.digest,
            "operator": self.operator,
            "proposal": proposal.as_mapping() if proposal else None,
        }
