"""Check, compare, sign and roll bundles, and roll back to earlier ones."""

import contextlib
import json
import math
import threading

from papayapick.bundle import (
    Bundle,
    BundleInvalid,
    Envelope,
    KeyRing,
    sign,
)
from papayapick.bundle.commands import accept, propose, withdraw
from papayapick.bundle.heads import IN_FORCE
from papayapick.bundle.queries import fetch_envelope, read_acknowledgements, read_head
from papayapick.clients import TableUnavailable
from papayapick.management.base import Command, read_file, write_file
from papayapick.management.exceptions import (
    ArgumentInvalid,
    NotAcknowledged,
    RollInterrupted,
    RollUnsettled,
    SigningKeyInvalid,
)
from papayapick.management.exit_codes import EXIT_OK, EXIT_PARTLY, EXIT_SETTINGS
from papayapick.management.peers import process_entries
from papayapick.membership.commands import announce_head
from papayapick.wire import CellKeys
from papayapick.wire.messages import Hello

__all__ = ["BundleCommand"]

_POLL_SECONDS = 0.1
_ANNOUNCE_TIMEOUT_SECONDS = 1.0
_MAX_WAIT_SECONDS = 3600


class BundleCommand(Command):
    """Check, sign and roll the bundles of a cell."""

    name = "bundle"
    usage = """Check, compare, sign, roll and step back bundles.

Usage:
  papayapick bundle check <file> [--json]
  papayapick bundle diff <old> <new> [--json]
  papayapick bundle sign <file> --key=FILE --operator=NAME --out=FILE [--json]
  papayapick bundle roll <file> [--operator=NAME] [--wait=SECONDS] [--force]
                              [--dry-run] [--json]
  papayapick bundle step-back <digest> [--operator=NAME] [--wait=SECONDS]
                              [--force] [--dry-run] [--json]
  papayapick bundle status [--json]
  papayapick bundle --help

Options:
  --operator=NAME  Name of the operator; defaults to your login name.
  --key=FILE       Your private key.
  --out=FILE       File to write the signed bundle to.
  --wait=SECONDS   Time for processes to acknowledge [default: 10].
  --force          Accept though some processes have not acknowledged.
  --dry-run        Only check, change nothing.
  --json           Write JSON lines for programs.
  --help           Show this page.

Addresses and keys come from the PAPAYAPICK_ variables.
"""

    def handle(self):
        """Run the named subcommand."""
        for step in ("check", "diff", "sign", "roll", "step-back", "status"):
            if self.options[step]:
                return getattr(self, "_" + step.replace("-", "_"))()
        return EXIT_SETTINGS

    def _check(self):
        envelope = _read_envelope(self.options["<file>"])
        bundle = envelope.bundle
        self.output.write(
            f"{bundle.cell} {bundle.document['label']} {bundle.digest}",
            cell=bundle.cell,
            label=bundle.document["label"],
            digest=bundle.digest,
            signed_by=sorted(envelope.signatures),
        )
        return EXIT_OK

    def _diff(self):
        old = _read_envelope(self.options["<old>"]).bundle.document
        new = _read_envelope(self.options["<new>"]).bundle.document
        for place, before, after in _differences(old, new):
            self.output.write(
                f"{place}: {json.dumps(before)} -> {json.dumps(after)}",
                place=place,
                before=before,
                after=after,
            )
        return EXIT_OK

    def _sign(self):
        envelope = _read_envelope(self.options["<file>"])
        key_path = self.options["--key"]
        try:
            sign(envelope, self.operator(), read_file(key_path))
        except (ValueError, TypeError, AttributeError):
            # The cause is dropped: the message of a library may quote the file.
            raise SigningKeyInvalid(path=key_path) from None
        write_file(self.options["--out"], envelope.to_bytes())
        self.output.write(
            f"signed by {', '.join(sorted(envelope.signatures))}",
            signed_by=sorted(envelope.signatures),
            digest=envelope.bundle.digest,
        )
        return EXIT_OK

    def _roll(self):
        settings = self.settings()
        envelope = _read_envelope(self.options["<file>"])
        KeyRing.from_config(settings).verify(envelope)
        return self._roll_envelope(settings, envelope)

    def _step_back(self):
        settings = self.settings()
        _, objects, _ = self.platform(settings)
        keyring = KeyRing.from_config(settings)
        envelope = fetch_envelope(objects, self.options["<digest>"], keyring)
        return self._roll_envelope(settings, envelope)

    def _roll_envelope(self, settings, envelope):
        # Refuses an invalid --wait before anything is written.
        self._wait_seconds()
        if envelope.bundle.cell != settings.cell:
            raise BundleInvalid(
                place="cell", reason=f"it is for {envelope.bundle.cell}"
            )
        table, objects, hosts = self.platform(settings)
        digest = envelope.bundle.digest
        if self.options["--dry-run"]:
            head = read_head(table)
            self.output.write(
                f"would roll {digest} as sequence {head.sequence + 1}",
                digest=digest,
                sequence=head.sequence + 1,
            )
            return EXIT_OK
        # Steps that may fail come before the proposal is written, so that a failure
        # leaves no open proposal.
        keys = CellKeys.from_file(settings.cell_key)
        entries = hosts.fetch()
        proposal = propose(table, objects, envelope, self.operator(), self.clock.time())
        names = _process_names(entries)
        with contextlib.suppress(TableUnavailable):
            # Without an announcement processes find the proposal later, by polling.
            self._announce(keys, entries, read_head(table))
        self._collect_acknowledgements(table, names, proposal)
        head = self._accept(table, proposal)
        self._announce(keys, entries, head)
        self.output.write(
            f"accepted {digest} as sequence {head.sequence}",
            accepted=digest,
            sequence=head.sequence,
        )
        missing = self._wait_for_states(table, names, proposal, states=(IN_FORCE,))
        self.output.write(
            f"in force on {len(names) - len(missing)} of {len(names)} processes"
            + (f"; not heard from {', '.join(sorted(missing))}" if missing else ""),
            in_force=sorted(set(names) - missing),
            not_heard_from=sorted(missing),
        )
        return EXIT_PARTLY if missing else EXIT_OK

    def _collect_acknowledgements(self, table, names, proposal):
        try:
            missing = self._wait_for_states(table, names, proposal, states=None)
        except KeyboardInterrupt:
            # Other operators' rolls are refused until an open proposal lapses.
            withdraw(table, proposal)
            raise RollInterrupted() from None
        if missing and not self.options["--force"]:
            withdraw(table, proposal)
            raise NotAcknowledged(hosts=", ".join(sorted(missing)))

    @staticmethod
    def _accept(table, proposal):
        try:
            return accept(table, proposal)
        except TableUnavailable as error:
            # The acceptance may have taken effect. If it were reported as failed, the
            # operator might repeat it or assume that the old bundle is in force.
            raise RollUnsettled(
                digest=proposal.digest, sequence=proposal.sequence
            ) from error

    def _announce(self, keys, entries, head):
        identity = Hello(host=f"operator/{self.operator()}", region="", zone="")
        announce_head(entries, head, keys, identity, _ANNOUNCE_TIMEOUT_SECONDS)

    def _wait_for_states(self, table, names, proposal, states):
        deadline = self.clock.monotonic() + self._wait_seconds()
        missing = set(names)
        while True:
            seen = _read_seen_or_empty(table)
            for name in sorted(missing):
                if _has_acknowledged(seen.get(name), proposal, states):
                    missing.discard(name)
                    self._show_progress(name, seen[name], len(names) - len(missing))
            if not missing or self.clock.monotonic() >= deadline:
                return missing
            self.clock.wait(threading.Event(), _POLL_SECONDS)

    def _show_progress(self, name, found, count):
        state = found["state"]
        self.output.write(f"  {name}: {state}", host=name, state=state, count=count)

    def _wait_seconds(self):
        given = self.options["--wait"]
        try:
            seconds = float(given)
        except ValueError:
            seconds = math.nan
        if not 0 <= seconds <= _MAX_WAIT_SECONDS:
            allowed = f"seconds from 0 to {_MAX_WAIT_SECONDS}"
            raise ArgumentInvalid(flag="--wait", given=given, allowed=allowed)
        return seconds

    def _status(self):
        settings = self.settings()
        table, _, hosts = self.platform(settings)
        head = read_head(table)
        self.output.write(
            f"sequence {head.sequence} {head.digest} by {head.operator or 'nobody'}",
            sequence=head.sequence,
            digest=head.digest,
            operator=head.operator,
            proposal=head.proposal.as_mapping() if head.proposal else None,
        )
        seen = read_acknowledgements(table)
        for name in _process_names(hosts.fetch()):
            found = seen.get(name, {"sequence": 0, "state": "nothing"})
            self.output.write(
                f"  {name}: {found['state']} {found['sequence']}", host=name, **found
            )
        return EXIT_OK


def _read_envelope(path):
    data = read_file(path)
    try:
        return Envelope.from_bytes(data)
    except BundleInvalid:
        document = _json_or_none(data)
        if document is None or "document" in document:
            raise
        return Envelope(Bundle.from_document(document), {})


def _json_or_none(data):
    try:
        found = json.loads(data)
    except ValueError:
        return None
    return found if isinstance(found, dict) else None


def _read_seen_or_empty(table):
    # A table outage while acknowledgements come in does not fail the roll: an accepted
    # bundle stays accepted, and the processes count as not heard from.
    try:
        return read_acknowledgements(table)
    except TableUnavailable:
        return {}


def _process_names(entries):
    found = process_entries(entries)
    return sorted(entry.name for entry in found if entry.is_live)


def _has_acknowledged(found, proposal, states):
    if found is None:
        return False
    is_proposed = (found["sequence"], found["digest"]) == (
        proposal.sequence,
        proposal.digest,
    )
    return is_proposed and (states is None or found["state"] in states)


def _differences(old, new, place=""):
    if isinstance(old, dict) and isinstance(new, dict):
        for key in sorted(old.keys() | new.keys()):
            yield from _differences(old.get(key), new.get(key), f"{place}/{key}")
    elif old != new:
        yield place, old, new
