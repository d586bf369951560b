"""Put the newest accepted bundle in force in one process."""

import threading

from papayapick.bundle.commands import acknowledge
from papayapick.bundle.exceptions import (
    BundleError,
    BundleInvalid,
    BundleMissing,
    BundleUnconfirmed,
)
from papayapick.bundle.heads import IN_FORCE, VERIFIED
from papayapick.bundle.queries import fetch_envelope, read_head, verified_envelope
from papayapick.clients import ObjectsUnavailable, TableUnavailable
from papayapick.observability import get_logger

__all__ = ["BundleWatcher", "PeerHead"]

_LOG = get_logger(__name__)


class PeerHead:
    """Hold the bundle state that a peer reports.

    Parameters
    ----------
    peer : str
    sequence : int
    digest : str
    is_confirmed : bool
        Whether the peer has read the head since its own last pause.
    pauses : int
        Pauses of this process before it sent the request to the peer.
    placers : int
        Number of placers on the live list.
    """

    __slots__ = ("digest", "is_confirmed", "pauses", "peer", "placers", "sequence")

    def __init__(self, peer, sequence, digest, is_confirmed, pauses, placers):
        self.peer = peer
        self.sequence = sequence
        self.digest = digest
        self.is_confirmed = is_confirmed
        self.pauses = pauses
        self.placers = placers


class _Current:
    __slots__ = ("bundle", "envelope", "sequence")

    def __init__(self, sequence, envelope):
        self.sequence = sequence
        self.envelope = envelope
        self.bundle = envelope.bundle


class BundleWatcher:
    """Fetch, verify and acknowledge bundles, and put them in force.

    A process replaces the whole bundle in one assignment and never returns to a
    lower sequence.

    Parameters
    ----------
    table : TableProtocol
    objects : ObjectsProtocol
    keyring : KeyRing
    host : str
        Host name under which acknowledgements are stored.
    cell : str
        Bundles of other cells are rejected.
    on_change : callable, optional
        Called with the new bundle once it is in force.
    pauses : PauseDetector, optional
        After a pause, the bundle is unconfirmed until the head has been read again.
    """

    __slots__ = (
        "_cell",
        "_confirmations",
        "_confirmed_pauses",
        "_current",
        "_envelopes",
        "_head_version",
        "_host",
        "_keyring",
        "_last_acknowledgement",
        "_lock",
        "_objects",
        "_on_change",
        "_pauses",
        "_table",
    )

    def __init__(
        self, table, objects, keyring, host, cell, on_change=None, pauses=None
    ):
        self._table = table
        self._objects = objects
        self._keyring = keyring
        self._host = host
        self._cell = cell
        self._on_change = on_change or (lambda bundle: None)
        self._current = None
        self._envelopes = {}
        self._last_acknowledgement = None
        self._head_version = 0
        self._pauses = pauses
        # A new process has not read the head yet; it is unconfirmed as after a pause.
        self._confirmed_pauses = -1
        self._confirmations = (-1, set())
        self._lock = threading.Lock()

    @property
    def bundle(self):
        """Return the bundle in force; raise BundleMissing if there is none."""
        current = self._current
        if current is None:
            raise BundleMissing()
        return current.bundle

    @property
    def sequence(self):
        """Return the sequence of the bundle in force, or 0 if there is none."""
        return self._current.sequence if self._current else 0

    @property
    def digest(self):
        """Return the digest of the bundle in force, or an empty string."""
        return self._current.bundle.digest if self._current else ""

    @property
    def head_version(self):
        """Return the version of the head row that was read last."""
        return self._head_version

    @property
    def needs_acknowledgement(self):
        """Return whether the bundle in force has not been acknowledged yet."""
        return bool(self.sequence) and self._last_acknowledgement != (
            self.sequence,
            self.digest,
            IN_FORCE,
        )

    @property
    def is_confirmed(self):
        """Return whether the head was read after the start and the last pause."""
        return self._pauses is None or (self._pauses.count() == self._confirmed_pauses)

    def count_pauses(self):
        """Return the number of pauses so far, to be read before asking a peer."""
        return self._pauses.count() if self._pauses else 0

    def confirm(self):
        """Read the head again after a pause.

        Raises
        ------
        BundleUnconfirmed
            The table is unavailable.
        """
        try:
            self.refresh()
        except TableUnavailable as error:
            raise BundleUnconfirmed() from error

    def envelope_bytes(self, digest):
        """Return the envelope of a verified bundle, or empty bytes if not cached."""
        with self._lock:
            envelope = self._envelopes.get(digest)
        return envelope.to_bytes() if envelope else b""

    def refresh(self):
        """Read the head, verify a proposed bundle and put an accepted one in force.

        Raises
        ------
        TableUnavailable
        """
        pauses = self.count_pauses()
        head = read_head(self._table)
        self._head_version = head.version
        proposal = head.proposal
        if proposal is not None and self._ensure_verified(proposal.digest):
            self._acknowledge(proposal.sequence, proposal.digest, VERIFIED)
        if head.sequence > self.sequence and self._ensure_verified(head.digest):
            self.put_in_force(head.sequence, self._envelopes[head.digest])
        if head.sequence and head.sequence == self.sequence and proposal is None:
            self._acknowledge(head.sequence, head.digest, IN_FORCE)
        if self.sequence >= head.sequence:
            self._confirmed_pauses = pauses

    def handle_peer_head(self, reported, fetch):
        """Fetch a newer bundle from a peer, or let the peer confirm the current one.

        Parameters
        ----------
        reported : PeerHead
        fetch : callable
            Returns the bytes of the envelope from that peer.

        Notes
        -----
        The peer is authenticated and reports the sequence that it has in force,
        which must have been accepted; the document is verified here. In this way a
        roll reaches the whole cell while the table is unavailable.
        """
        if reported.sequence > self.sequence and reported.digest:
            self._adopt(reported, fetch)
        if reported.is_confirmed and 0 < reported.sequence <= self.sequence:
            self._note_confirmation(reported)

    def _adopt(self, reported, fetch):
        with self._lock:
            envelope = self._envelopes.get(reported.digest)
        if envelope is None:
            try:
                envelope = verified_envelope(fetch(), reported.digest, self._keyring)
                self._check_cell(envelope)
            except BundleError as error:
                _LOG.error("bundle from a peer rejected", extra={"error": str(error)})
                return
            self._cache_envelope(envelope)
        self.put_in_force(reported.sequence, envelope)

    def _note_confirmation(self, reported):
        # While the table is unavailable, a process that was paused relies on its
        # peers. Answers to requests sent before the pause don't count, because they
        # may predate a roll; neither do peers that were paused themselves. More than
        # half of the placers must agree, since some may be partitioned from those
        # that have the newest bundle.
        with self._lock:
            pauses, peers = self._confirmations
            if pauses != reported.pauses:
                peers = set()
            peers.add(reported.peer)
            self._confirmations = (reported.pauses, peers)
            if len(peers) * 2 > reported.placers:
                self._confirmed_pauses = max(self._confirmed_pauses, reported.pauses)

    def put_in_force(self, sequence, envelope):
        """Put a verified bundle in force unless the current one is as new or newer."""
        with self._lock:
            # Two threads may put bundles in force at the same time; the higher
            # sequence must remain, in whichever order they get here.
            if self._current is not None and sequence <= self._current.sequence:
                return
            self._current = _Current(sequence, envelope)
        _LOG.info(
            "bundle in force",
            extra={"bundle_sequence": sequence, "digest": envelope.bundle.digest},
        )
        self._on_change(envelope.bundle)

    def _ensure_verified(self, digest):
        with self._lock:
            if digest in self._envelopes:
                return True
        try:
            envelope = fetch_envelope(self._objects, digest, self._keyring)
            self._check_cell(envelope)
        except ObjectsUnavailable:
            return False
        except BundleError as error:
            _LOG.error("bundle rejected", extra={"error": str(error)})
            return False
        self._cache_envelope(envelope)
        return True

    def _check_cell(self, envelope):
        if envelope.bundle.cell != self._cell:
            raise BundleInvalid(
                place="cell", reason=f"the bundle is for cell {envelope.bundle.cell}"
            )

    def _cache_envelope(self, envelope):
        with self._lock:
            current = self._current
            self._envelopes = {
                cached.bundle.digest: cached
                for cached in (current.envelope if current else envelope, envelope)
            }

    def _acknowledge(self, sequence, digest, state):
        acknowledgement = (sequence, digest, state)
        if acknowledgement == self._last_acknowledgement:
            return
        try:
            acknowledge(self._table, self._host, sequence, digest, state)
        except TableUnavailable:
            return
        self._last_acknowledgement = acknowledgement
