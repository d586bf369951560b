"""Sign bundles with Ed25519 keys and verify that enough operators have signed."""

import base64
import binascii
import json

from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric.ed25519 import (
    Ed25519PrivateKey,
    Ed25519PublicKey,
)

from papayapick.bundle.documents import DOCUMENT_LIMIT_BYTES, Bundle, canonical
from papayapick.bundle.exceptions import BundleInvalid, SignaturesMissing

__all__ = ["Envelope", "KeyRing", "generate_key", "sign"]

_RAW = serialization.Encoding.Raw


def generate_key():
    """Generate an Ed25519 key pair for signing.

    Returns
    -------
    private_pem : bytes
        PKCS #8 in PEM; stays with its operator.
    public_text : str
        Base64, for the file of operators' keys.
    """
    key = Ed25519PrivateKey.generate()
    private = key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )
    return private, _public_text(key)


def _public_text(key):
    raw = key.public_key().public_bytes(_RAW, serialization.PublicFormat.Raw)
    return base64.b64encode(raw).decode()


class Envelope:
    """Hold a bundle with its signatures.

    Parameters
    ----------
    bundle : Bundle
    signatures : dict of str to str
        Base64 signature by operator.
    """

    __slots__ = ("bundle", "signatures")

    def __init__(self, bundle, signatures):
        self.bundle = bundle
        self.signatures = signatures

    @classmethod
    def from_bytes(cls, data):
        """Decode an envelope and validate its document.

        Raises
        ------
        BundleInvalid
        """
        if len(data) > DOCUMENT_LIMIT_BYTES:
            raise BundleInvalid(place="the envelope", reason="it is too large")
        try:
            decoded = json.loads(data)
            document, signatures = decoded["document"], decoded.get("signatures", {})
            signatures = {str(name): str(text) for name, text in signatures.items()}
        except (
            ValueError,
            KeyError,
            TypeError,
            AttributeError,
            RecursionError,
        ) as error:
            raise BundleInvalid(
                place="the envelope", reason="it is not a JSON envelope"
            ) from error
        return cls(Bundle.from_document(document), signatures)

    def to_bytes(self):
        """Return the stored form."""
        return canonical(
            {"document": self.bundle.document, "signatures": self.signatures}
        )


def sign(envelope, operator, private_pem):
    """Add an operator's signature.

    Parameters
    ----------
    envelope : Envelope
    operator : str
    private_pem : bytes
    """
    key = serialization.load_pem_private_key(private_pem, None)
    signature = key.sign(canonical(envelope.bundle.document))
    envelope.signatures[operator] = base64.b64encode(signature).decode()


class KeyRing:
    """Hold the operators' public keys and the number of signatures required.

    Parameters
    ----------
    keys : dict of str to Ed25519PublicKey
    required : int
    """

    __slots__ = ("_keys", "_required")

    def __init__(self, keys, required):
        self._keys = keys
        self._required = required

    @classmethod
    def from_config(cls, settings):
        """Read the operators' keys from a JSON file of base64 keys by operator.

        Raises
        ------
        BundleInvalid
            The file is not such a mapping, or has fewer keys than signatures are
            required.
        """
        with open(settings.operator_keys, encoding="utf-8") as file:
            return cls.from_text(file.read(), settings.required_signatures)

    @classmethod
    def from_text(cls, text, required):
        """Read operators' keys from JSON text; raise BundleInvalid."""
        try:
            keys = {
                name: Ed25519PublicKey.from_public_bytes(base64.b64decode(encoded))
                for name, encoded in json.loads(text).items()
            }
        except (ValueError, TypeError, AttributeError, binascii.Error) as error:
            raise BundleInvalid(
                place="operator keys", reason="not a mapping of operators to keys"
            ) from error
        if len(keys) < required:
            raise BundleInvalid(
                place="operator keys", reason=f"{len(keys)} keys, {required} required"
            )
        return cls(keys, required)

    def verify(self, envelope):
        """Verify the signatures of an envelope.

        Raises
        ------
        SignaturesMissing
            Fewer distinct keys have signed than are required.
        """
        text = canonical(envelope.bundle.document)
        signers = set()
        for operator, signature in envelope.signatures.items():
            key = self._keys.get(operator)
            if key is not None and _is_valid(key, signature, text):
                # Signatures are counted by key, not by name: with one key listed
                # under two names, one person could sign twice.
                signers.add(key.public_bytes(_RAW, serialization.PublicFormat.Raw))
        if len(signers) < self._required:
            raise SignaturesMissing(found=len(signers), required=self._required)


def _is_valid(key, signature, text):
    try:
        key.verify(base64.b64decode(signature), text)
    except (InvalidSignature, ValueError):
        return False
    return True
