"""Show processes, owners of shards and running bundles of a cell."""

from collections import Counter

from papayapick.management.base import Command
from papayapick.management.commands.pool import PoolCommand, current_configuration
from papayapick.management.exit_codes import EXIT_OK, EXIT_PARTLY
from papayapick.management.peers import OperatorPeers, process_entries
from papayapick.management.pools import PoolsView
from papayapick.management.views import read_cell

__all__ = ["CellCommand"]


class CellCommand(Command):
    """Show the state of a live cell, without changing it."""

    name = "cell"
    usage = """Show the state of a live cell, without changing it.

Usage:
  papayapick cell status [--json]
  papayapick cell hosts [--json]
  papayapick cell shards [--json]
  papayapick cell --help

status sums up; hosts shows each process and counts workers and instances;
shards shows owner, epoch, free slots and waiting requests of each shard.

Exit code 0 when everything answers, is served and runs the accepted bundle,
otherwise 3.

Options:
  --json  Write JSON lines for programs.
  --help  Show this page.

Addresses and keys come from the PAPAYAPICK_ variables. If the settings file of the
users' platform is named, status shows its pools, as pool status does.
"""

    def handle(self):
        """Show the named view; on the users' platform, its pools and hosts."""
        if self.options["status"] and PoolsView.is_configured():
            view = PoolsView.from_config()
            pools = PoolCommand(self.options, self.output, self.clock)
            return pools.show_status(view, current_configuration(view))
        settings = self.settings()
        table, _, hosts = self.platform(settings)
        view = read_cell(
            table,
            hosts,
            lambda entries: OperatorPeers.from_config(
                settings, entries, self.operator()
            ),
        )
        for step in ("status", "hosts", "shards"):
            if self.options[step]:
                getattr(self, "_" + step)(settings.cell, view)
        return EXIT_OK if view.is_whole else EXIT_PARTLY

    def _status(self, cell, view):
        head = view.head
        bundle = f"bundle sequence {head.sequence} {head.digest[:12]}" if head else ""
        processes, shards = len(view.heartbeats), len(view.shards)
        lines = [
            f"cell {cell}: {bundle or 'the table does not answer'}",
            f"  processes: {len(view.answering)} of {processes} answer",
            f"  shards: {shards - len(view.unserved)} of {shards} served",
        ]
        if view.entries is None:
            lines.append("  the live list does not answer")
        for title, names in (
            ("silent", view.silent),
            ("runs another bundle", view.behind),
            ("not served", view.unserved),
        ):
            if names:
                lines.append(f"  {title}: {', '.join(names)}")
        self.output.write(
            "\n".join(lines),
            cell=cell,
            sequence=head.sequence if head else None,
            digest=head.digest if head else None,
            table_answers=head is not None,
            list_answers=view.entries is not None,
            processes=processes,
            answering=view.answering,
            silent=view.silent,
            behind=view.behind,
            shards=shards,
            unserved=view.unserved,
            is_whole=view.is_whole,
        )

    def _hosts(self, cell, view):
        owned = Counter(one.served_by for one in view.shards.values() if one.served_by)
        for entry in process_entries(view.entries or []):
            heartbeat = view.heartbeats.get(entry.name)
            summary = "silent"
            if heartbeat:
                summary = f"bundle {heartbeat.bundle_sequence}"
                summary += ", draining" if heartbeat.draining else ""
                summary += f", {owned[entry.name]} shards" if owned[entry.name] else ""
            self.output.write(
                f"{entry.kind} {entry.name} {entry.zone} {entry.state}: {summary}",
                host=entry.name,
                kind=entry.kind,
                region=entry.region,
                zone=entry.zone,
                state=entry.state,
                answers=heartbeat is not None,
                sequence=heartbeat.bundle_sequence if heartbeat else None,
                draining=heartbeat.draining if heartbeat else None,
                shards=owned[entry.name],
            )
        processes = set(view.heartbeats)
        others = Counter(
            (entry.kind, entry.zone, entry.state)
            for entry in view.entries or []
            if entry.name not in processes
        )
        for (kind, zone, state), count in sorted(others.items()):
            self.output.write(
                f"{count} of kind {kind} in {zone}: {state}",
                kind=kind,
                zone=zone,
                state=state,
                count=count,
            )

    def _shards(self, cell, view):
        for name, shard in sorted(view.shards.items()):
            owner = f"{shard.owner or 'nobody'} at epoch {shard.epoch}"
            if shard.owner is None:
                owner = (
                    f"{shard.served_by} at epoch {shard.served_epoch} by its own claim"
                )
            slots = ", ".join(
                f"{service} {free} free {shard.waiting[service]} waiting"
                for service, free in sorted(shard.free_slots.items())
            )
            state = slots or "no instances"
            self.output.write(
                f"{name}: {owner}: {state if shard.is_served else 'not served'}",
                **shard.as_mapping(),
            )
