"""The signed, versioned document that steers a cell."""

from papayapick.bundle.documents import Bundle, JobPolicy, ServicePolicy
from papayapick.bundle.exceptions import (
    BundleError,
    BundleInvalid,
    BundleMissing,
    BundleUnknown,
    RollConflict,
    RollUnderWay,
    SignaturesMissing,
)
from papayapick.bundle.signing import Envelope, KeyRing, generate_key, sign
from papayapick.bundle.watcher import BundleWatcher

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
    "RollConflict",
    "RollUnderWay",
    "ServicePolicy",
    "SignaturesMissing",
    "generate_key",
    "sign",
]
