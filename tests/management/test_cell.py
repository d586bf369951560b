"""The cell commands show processes, owners of shards and running bundles."""

import pytest

from papayapick.bundle.heads import Head
from papayapick.management.views import CellView, ShardView
from papayapick.ownership.queries import ShardRow
from papayapick.wire.messages import Heartbeat, ServiceLoad, ShardSummary
from tests.management.commands import in_cell, run_command

PROCESSES = 6


def test_status_of_a_complete_cell(footfall):
    found = in_cell(footfall, "cell", "status", "--json")
    (line,) = found.lines
    assert (found.code, line["is_whole"]) == (0, True)
    assert len(line["answering"]) == line["processes"] == PROCESSES
    assert line["shards"] == 3
    assert line["unserved"] == line["silent"] == line["behind"] == []


def test_status_for_people_names_cell_and_sequence(footfall):
    found = in_cell(footfall, "cell", "status")
    assert "cell footfall: bundle sequence 1" in found.out
    assert "6 of 6 answer" in found.out


def test_hosts_shows_each_process_and_counts_the_rest(footfall):
    lines = in_cell(footfall, "cell", "hosts", "--json").lines
    processes = [line for line in lines if "host" in line]
    assert len(processes) == PROCESSES
    assert all(line["answers"] and line["sequence"] == 1 for line in processes)
    counts = {line["zone"]: line["count"] for line in lines if "count" in line}
    assert set(counts) == {"hobart-a", "kingston-b", "launceston-a"}


def test_shards_shows_owner_epoch_and_free_slots(footfall):
    lines = in_cell(footfall, "cell", "shards", "--json").lines
    assert [line["shard"] for line in lines] == [
        f"{zone}.0" for zone in sorted(footfall.zones)
    ]
    for line in lines:
        assert (line["owner"], line["epoch"]) == (
            line["served_by"],
            line["served_epoch"],
        )

    def all_are_open():
        # Loads come with heartbeats, so a newly taken shard is shown as full at first.
        lines = in_cell(footfall, "cell", "shards", "--json").lines
        return all(line["free_slots"].get("quick-counts") for line in lines)

    footfall.wait_until(all_are_open, "a shard without free slots")


def test_unreachable_platform_is_shown_and_not_raised(footfall):
    environment = footfall._environment()
    for name in ("TABLE", "OBJECTS", "HOSTS"):
        environment[f"PAPAYAPICK_{name}_URL"] = "http://127.0.0.1:1"
    found = run_command("cell", "status", "--json", environment=environment)
    assert found.code == 3
    (line,) = found.lines
    assert (line["table_answers"], line["list_answers"]) == (False, False)
    assert line["is_whole"] is False


def _heartbeat(sequence, *claims):
    loads = [ServiceLoad(service="counts", free_slots=1, waiting=0)]
    shards = [
        ShardSummary(shard=name, epoch=epoch, loads=loads) for name, epoch in claims
    ]
    return Heartbeat(bundle_sequence=sequence, shards=shards)


def _view(rows, heartbeats, sequence=3):
    shards = {row.shard: ShardView(row.shard, row) for row in rows}
    for host, beat in heartbeats.items():
        for summary in beat.shards if beat else ():
            shards.setdefault(summary.shard, ShardView(summary.shard)).record_claim(
                host, summary
            )
    return CellView(Head(sequence, "d", "ana", None, 1), shards, [], heartbeats)


ROW = ShardRow("a.0", "p1", 4, 9)
VIEWS = [
    ("whole", [ROW], {"p1": _heartbeat(3, ("a.0", 4))}, [], [], []),
    ("owner silent", [ROW], {"p1": None}, ["p1"], [], ["a.0"]),
    ("owner does not claim it", [ROW], {"p1": _heartbeat(3)}, [], [], ["a.0"]),
    (
        "old owner still serves",
        [ROW],
        {"p0": _heartbeat(3, ("a.0", 3))},
        [],
        [],
        ["a.0"],
    ),
    (
        "old owner beside the new",
        [ROW],
        {"p0": _heartbeat(3, ("a.0", 3)), "p1": _heartbeat(3, ("a.0", 4))},
        [],
        [],
        [],
    ),
    (
        "new owner before the old",
        [ROW],
        {"p1": _heartbeat(3, ("a.0", 4)), "p2": _heartbeat(3, ("a.0", 3))},
        [],
        [],
        [],
    ),
    ("older bundle", [ROW], {"p1": _heartbeat(2, ("a.0", 4))}, [], ["p1"], []),
]


@pytest.mark.parametrize(
    ("rows", "heartbeats", "silent", "behind", "unserved"),
    [row[1:] for row in VIEWS],
    ids=[row[0] for row in VIEWS],
)
def test_view_names_what_is_missing(rows, heartbeats, silent, behind, unserved):
    view = _view(rows, heartbeats)
    assert (view.silent, view.behind, view.unserved) == (silent, behind, unserved)
    assert view.is_whole is (not (silent or behind or unserved))
