"""Signed and versioned configuration documents (bundles) of a cell."""

from papayapick.bundle.documents import Bundle, JobPolicy, ServicePolicy
from papayapick.bundle.exceptions import (
    BundleError,
    BundleInvalid,
    BundleMissing,
    BundleUnknown,
    RollConflict,
    RollUnderWay,
    SignaturesMissing,
    TopologyMoved,
)
from papayapick.bundle.signing import Envelope, KeyRing, generate_key, sign
from papayapick.bundle.watcher import BundleWatcher, PeerHead

__all__ = [
    "Bundle",
    "BundleError",
    "BundleInvalid",
    "BundleMissing",
    "BundleUnknown",
    "BundleWatcher",
    "Envelope",
    "JobPolicy",
    "KeyRing",
    "PeerHead",
    "RollConflict",
    "RollUnderWay",
    "ServicePolicy",
    "SignaturesMissing",
    "TopologyMoved",
    "generate_key",
    "sign",
]
