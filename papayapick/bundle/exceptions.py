"""Errors of bundles and their rolls."""

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
    """Base class of the errors of bundles."""

    code = "bundle.error"


class BundleInvalid(BundleError):
    """Report a document that violates the schema or is inconsistent."""

    code = "bundle.invalid"
    template = "bundle refused at {place}: {reason}"


class TopologyMoved(BundleError):
    """Report a topology that would move keys or hosts to other shards."""

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
    """Report a process that has not confirmed its bundle after a start or a pause."""

    code = "bundle.unconfirmed"
    template = "this process was paused and has not confirmed its bundle"
    outcome = "not_run"
    retry_after = 1.0


class BundleUnknown(BundleError):
    """Report a digest without a bundle in this cell's object store."""

    code = "bundle.unknown"
    template = "bundle {digest} is not in the object store"


class RollUnderWay(BundleError):
    """Report that another operator's proposal is still open."""

    code = "bundle.roll-under-way"
    template = "{operator} is rolling {digest} as sequence {sequence}"


class RollConflict(BundleError):
    """Report that another operator's concurrent roll took precedence."""

    code = "bundle.roll-conflict"
    template = "{operator} won with {digest} as sequence {sequence}"
