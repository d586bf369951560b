"""Errors of the bundle."""

from papayapick.exceptions import PapayapickError

__all__ = [
    "BundleError",
    "BundleInvalid",
    "BundleMissing",
    "BundleUnconfirmed",
    "BundleUnknown",
    "RollConflict",
    "RollUnderWay",
    "SignaturesMissing",
    "TopologyMoved",
]


class BundleError(PapayapickError):
    """Stand for any error of a bundle."""

    code = "bundle.error"


class BundleInvalid(BundleError):
    """Report a document that breaks the schema or contradicts itself."""

    code = "bundle.invalid"
    template = "bundle refused at {place}: {reason}"


class TopologyMoved(BundleError):
    """Report a topology under which keys or hosts would change their shard."""

    code = "bundle.topology-moved"
    template = (
        "{part} can't change from {before} to {after} in a live cell: "
        "keys and hosts would move to other shards; roll it to a new cell"
    )


class SignaturesMissing(BundleError):
    """Report a bundle with too few valid signatures of operators."""

    code = "bundle.signatures-missing"
    template = "{found} valid signatures of {required} required"


class BundleMissing(BundleError):
    """Report a process that has no bundle in force yet."""

    code = "bundle.missing"
    template = "no bundle is in force here yet"
    outcome = "not_run"
    retry_after = 1.0


class BundleUnconfirmed(BundleError):
    """Report a process that was paused and can't see the head yet."""

    code = "bundle.unconfirmed"
    template = "this process was paused and has not confirmed its bundle"
    outcome = "not_run"
    retry_after = 1.0


class BundleUnknown(BundleError):
    """Report a digest that was never rolled to this cell."""

    code = "bundle.unknown"
    template = "bundle {digest} is not in the object store"


class RollUnderWay(BundleError):
    """Report another operator's proposal that is still open."""

    code = "bundle.roll-under-way"
    template = "{operator} is rolling {digest} as sequence {sequence}"


class RollConflict(BundleError):
    """Report that another operator won the race."""

    code = "bundle.roll-conflict"
    template = "{operator} won with {digest} as sequence {sequence}"
