"""Names of the platform's formats are used in papayapick/platform only."""

import re

import pytest

from demo.cells import ROOT

# Names of the platform's formats that have no other meaning in this project.
NAMES = [
    "ack_cursor",
    "anti_affinity",
    "blob-put",
    "blob-get",
    "blob-list",
    "cancel_ms",
    "clock_ms",
    "cloud_api",
    "data_rack",
    "decide_ms",
    "drain_ms",
    "duty_per_s",
    "each_ms",
    "enforces_capacity",
    "estimate_ms",
    "expected_rev",
    "expires_ms",
    "far_x",
    "fencing_token",
    "gang_timeout_ms",
    "grace_s",
    "harm_ms",
    "health_path",
    "hold_max_ms",
    "interval_ms",
    "kill_grace_ms",
    "long_running",
    "machine-move",
    "machine-upkeep",
    "may_miss",
    "mem_mb",
    "more_pages",
    "notice_ms",
    "pace_ms",
    "port_range",
    "queued_jobs",
    "remaining_ms",
    "restore_ms",
    "rows-feed",
    "rows-get",
    "rows-tx",
    "rows-parts",
    "run-start",
    "run-stop",
    "same_rack",
    "slo_ms",
    "start_at_ms",
    "status_s",
    "target_ms",
    "task_count",
    "valid_ms",
    "wait_ms",
    "X-Expect-Instance",
    "X-Fencing-Token",
    "X-Lease-Holder",
]
PATTERN = re.compile(r"(?<![\w-])(" + "|".join(re.escape(n) for n in NAMES) + r")\b")
PACKAGE = ROOT / "papayapick"
SOURCES = sorted(
    path for path in PACKAGE.rglob("*.py") if (PACKAGE / "platform") not in path.parents
)


@pytest.mark.parametrize(
    "path", SOURCES, ids=lambda path: str(path.relative_to(PACKAGE))
)
def test_names_of_the_formats_are_not_used_in_other_folders(path):
    assert PATTERN.findall(path.read_text()) == []


def test_pattern_matches_the_names_in_their_folder():
    texts = [path.read_text() for path in (PACKAGE / "platform").glob("*.py")]
    found = {name for text in texts for name in PATTERN.findall(text)}
    assert len(found) > 15
