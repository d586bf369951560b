"""Read heads, envelopes and acknowledgements."""

from papayapick.bundle.exceptions import BundleUnknown
from papayapick.bundle.heads import (
    ACKNOWLEDGEMENT_PREFIX,
    HEAD_KEY,
    Head,
    Proposal,
    accepted_key,
)
from papayapick.bundle.signing import Envelope
from papayapick.clients import ObjectMissing

__all__ = [
    "fetch_envelope",
    "object_name",
    "read_accepted",
    "read_acknowledgements",
    "read_head",
    "stored_bundle",
    "verified_envelope",
]


def object_name(digest):
    """Return the name of the object that holds a bundle's envelope."""
    return f"bundle/{digest}"


def read_head(table):
    """Return the head.

    Raises
    ------
    TableUnavailable
    """
    return Head.from_row(table.read(HEAD_KEY))


def read_accepted(table, sequence):
    """Return the proposal that was accepted under a sequence number, or None."""
    row = table.read(accepted_key(sequence))
    if row is None:
        return None
    fields = {name: row.value[name] for name in Proposal.__slots__}
    return Proposal(**fields)


def stored_bundle(objects, digest):
    """Return an accepted bundle, without verifying its signatures again.

    Raises
    ------
    BundleUnknown, BundleInvalid, ObjectsUnavailable
    """
    return _stored_envelope(objects, digest).bundle


def _stored_envelope(objects, digest):
    try:
        data = objects.get(object_name(digest))
    except ObjectMissing as error:
        raise BundleUnknown(digest=digest) from error
    envelope = Envelope.from_bytes(data)
    if envelope.bundle.digest != digest:
        raise BundleUnknown(digest=digest)
    return envelope


def fetch_envelope(objects, digest, keyring):
    """Fetch an envelope and verify its document, digest and signatures.

    Returns
    -------
    Envelope

    Raises
    ------
    BundleUnknown, BundleInvalid, SignaturesMissing, ObjectsUnavailable
    """
    envelope = _stored_envelope(objects, digest)
    keyring.verify(envelope)
    return envelope


def verified_envelope(data, digest, keyring):
    """Decode an envelope and verify its document, digest and signatures.

    Raises
    ------
    BundleUnknown, BundleInvalid, SignaturesMissing
    """
    envelope = Envelope.from_bytes(data)
    if envelope.bundle.digest != digest:
        raise BundleUnknown(digest=digest)
    keyring.verify(envelope)
    return envelope


def read_acknowledgements(table):
    """Return the latest acknowledgement of each process.

    Returns
    -------
    dict of str to dict
        By host: ``sequence``, ``digest`` and ``state``.
    """
    rows = table.scan(ACKNOWLEDGEMENT_PREFIX)
    return {row.key.removeprefix(ACKNOWLEDGEMENT_PREFIX): row.value for row in rows}
