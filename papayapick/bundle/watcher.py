"""Keep the newest accepted bundle in force in one process."""

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
    """Hold what a peer says of the bundle it has in force.

    Parameters
    ----------
    peer : str
    sequence : int
    digest : str
    is_confirmed : bool
        Whether the peer has looked since its own last pause.
    pauses : int
        This process's pauses, counted before the peer was asked.
    placers : int
        How many placers the live list names.
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
    """Fetch, verify, acknowledge and put bundles in force.

    A process swaps whole bundles in one assignment and never goes back to a
    lower sequence.

    Parameters
    ----------
    table, objects, keyring
    host : str
        Name under which the process acknowledges.
    cell : str
        A bundle of another cell is refused.
    on_change : callable, optional
        Called with the new bundle after the swap.
    pauses : PauseDetector, optional
        After a pause the head is looked at again before it counts as confirmed.
    """

    __slots__ = (
        "_cell",
        "_confirmed_pauses",
        "_confirming",
        "_current",
        "_envelopes",
        "_head_version",
        "_host",
        "_keyring",
        "_lock",
        "_objects",
        "_on_change",
        "_pauses",
        "_table",
        "_told",
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
        self._told = None
        self._head_version = 0
        self._pauses = pauses
        # A process that starts has not looked yet, as after a pause.
        self._confirmed_pauses = -1
        self._confirming = (-1, set())
        self._lock = threading.Lock()

    @property
    def bundle(self):
        """Return the bundle in force; raise BundleMissing where there is none."""
        current = self._current
        if current is None:
            raise BundleMissing()
        return current.bundle

    @property
    def sequence(self):
        """Return the sequence in force, 0 where there is none."""
        return self._current.sequence if self._current else 0

    @property
    def digest(self):
        """Return the digest in force, empty where there is none."""
        return self._current.bundle.digest if self._current else ""

    @property
    def head_version(self):
        """Return the version of the head's row as last read."""
        return self._head_version

    @property
    def needs_acknowledgement(self):
        """Return whether the table was not told yet of the bundle in force."""
        return bool(self.sequence) and self._told != (
            self.sequence,
            self.digest,
            IN_FORCE,
        )

    @property
    def is_confirmed(self):
        """Return whether the head was looked at since the start and last pause."""
        return self._pauses is None or (self._pauses.count() == self._confirmed_pauses)

    def count_pauses(self):
        """Return the pauses so far, to be noted before a peer is asked."""
        return self._pauses.count() if self._pauses else 0

    def confirm(self):
        """Look at the head again after a pause; raise BundleUnconfirmed."""
        try:
            self.refresh()
        except TableUnavailable as error:
            raise BundleUnconfirmed() from error

    def envelope_bytes(self, digest):
        """Return the envelope of a bundle that this process has verified."""
        with self._lock:
            found = self._envelopes.get(digest)
        return found.to_bytes() if found else b""

    def refresh(self):
        """Look at the head once; verify what is proposed, swap to what is accepted.

        Raises
        ------
        TableUnavailable
        """
        pauses = self.count_pauses()
        head = read_head(self._table)
        self._head_version = head.version
        proposal = head.proposal
        if proposal is not None and self._verified(proposal.digest):
            self._tell(proposal.sequence, proposal.digest, VERIFIED)
        if head.sequence > self.sequence and self._verified(head.digest):
            self.put_in_force(head.sequence, self._envelopes[head.digest])
        if head.sequence and head.sequence == self.sequence and proposal is None:
            self._tell(head.sequence, head.digest, IN_FORCE)
        if self.sequence >= head.sequence:
            self._confirmed_pauses = pauses

    def handle_peer_head(self, heard, fetch):
        """Take a newer bundle from a peer, and its word that there is no newer.

        Parameters
        ----------
        heard : PeerHead
        fetch : callable
            Returns the envelope's bytes from that peer.

        Notes
        -----
        The peer is authenticated and speaks of a sequence that it has in force,
        which only an accepted bundle reaches; the document is verified here.
        This carries a roll through the cell while the table is down.
        """
        if heard.sequence > self.sequence and heard.digest:
            self._take(heard, fetch)
        if heard.is_confirmed and 0 < heard.sequence <= self.sequence:
            self._note_confirmation(heard)

    def _take(self, heard, fetch):
        with self._lock:
            envelope = self._envelopes.get(heard.digest)
        if envelope is None:
            try:
                envelope = verified_envelope(fetch(), heard.digest, self._keyring)
                self._check_cell(envelope)
            except BundleError as error:
                _LOG.error("bundle of a peer refused", extra={"error": str(error)})
                return
            self._remember(envelope)
        self.put_in_force(heard.sequence, envelope)

    def _note_confirmation(self, heard):
        # While the table is down a woken process goes by its peers. An answer
        # asked for before the pause may have waited unread through a roll, and
        # a peer that was itself frozen may know no more: neither counts. More
        # than half of the placers must agree, since some may be cut off from
        # those that took the newest bundle.
        with self._lock:
            pauses, peers = self._confirming
            if pauses != heard.pauses:
                peers = set()
            peers.add(heard.peer)
            self._confirming = (heard.pauses, peers)
            if len(peers) * 2 > heard.placers:
                self._confirmed_pauses = max(self._confirmed_pauses, heard.pauses)

    def put_in_force(self, sequence, envelope):
        """Swap to a verified bundle unless one as new is in force."""
        with self._lock:
            # Two threads may bring bundles at once; the lower sequence must
            # lose whichever comes last.
            if self._current is not None and sequence <= self._current.sequence:
                return
            self._current = _Current(sequence, envelope)
        _LOG.info(
            "bundle in force",
            extra={"bundle_sequence": sequence, "digest": envelope.bundle.digest},
        )
        self._on_change(envelope.bundle)

    def _verified(self, digest):
        with self._lock:
            if digest in self._envelopes:
                return True
        try:
            envelope = fetch_envelope(self._objects, digest, self._keyring)
            self._check_cell(envelope)
        except ObjectsUnavailable:
            return False
        except BundleError as error:
            _LOG.error("bundle refused", extra={"error": str(error)})
            return False
        self._remember(envelope)
        return True

    def _check_cell(self, envelope):
        if envelope.bundle.cell != self._cell:
            raise BundleInvalid(
                place="cell", reason=f"it is for {envelope.bundle.cell}"
            )

    def _remember(self, envelope):
        with self._lock:
            current = self._current
            self._envelopes = {
                found.bundle.digest: found
                for found in (current.envelope if current else envelope, envelope)
            }

    def _tell(self, sequence, digest, state):
        told = (sequence, digest, state)
        if told == self._told:
            return
        try:
            acknowledge(self._table, self._host, sequence, digest, state)
        except TableUnavailable:
            return
        self._told = told
