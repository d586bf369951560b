"""The team commands read teams and their usage from the store only."""

import pytest

from papayapick.jobs import JobDocument, Step
from papayapick.ledger import Amounts
from papayapick.management.exit_codes import EXIT_FAILED, EXIT_OK
from papayapick.management.pools import JobView, StepView
from papayapick.management.teams import sum_up_teams
from papayapick.quotas import Team, TeamDirectory
from tests.entry.cell import EntryCell, job, wait_for
from tests.management.commands import run_command
from tests.standins.cluster import Cluster

TEAMS = [
    {
        "name": "accounts",
        "api_keys": ["key-a1", "key-a2"],
        "weight": 5,
        "maximum": {"cpu": 2000, "mem_mb": 0, "gpu": 0},
    },
    {"name": "leasing", "api_keys": [], "weight": 1},
]


@pytest.fixture(scope="module")
def cell(tmp_path_factory):
    cluster = Cluster()
    cluster.add_worker("w1", task_seconds=60)
    cluster.configure(teams=TEAMS)
    folder = tmp_path_factory.mktemp("cell")
    with EntryCell(cluster, folder, hosts=1, has_teams=True) as cell:
        yield cell
    cluster.close()


def run_team_command(cell, *arguments):
    environment = {"PAPAYAPICK_CONFIG": str(cell.hosts[0].path)}
    return run_command("team", *arguments, "--json", environment=environment)


def test_list_shows_rates_maxima_and_no_key(cell):
    result = run_team_command(cell, "list")
    assert result.code == EXIT_OK
    assert [
        (line["team"], line["jobs_per_second"], line["maximum"], line["keys"])
        for line in result.lines
    ] == [("accounts", 5, {"processors": 2000}, 2), ("leasing", 1, {}, 0)]
    assert "key-a1" not in str(result.lines)


def test_status_shows_usage_and_unfinished_jobs(cell):
    for number, tasks in enumerate((6, 1)):
        path = f"/quick/{number:016x}"
        assert cell.hosts[0].call("POST", path, job(tasks), key="key-a1")[0] == 200
    wait_for(lambda: len(cell.cluster.starts()) == 4)
    (line,) = wait_for(lambda: lines_if_recorded(cell))
    assert line["used"]["processors"] == 2000
    assert (line["share"], line["waiting"], line["running"]) == (1.0, 1, 1)


def lines_if_recorded(cell):
    lines = run_team_command(cell, "status", "accounts").lines
    return lines if lines[0]["running"] else None


def test_unknown_team_is_reported(cell):
    result = run_team_command(cell, "status", "nobody")
    assert result.code == EXIT_FAILED
    assert "command.team-missing" in result.err


def test_done_tasks_ended_jobs_and_other_teams_are_left_out():
    steps = [Step(3, Amounts(1000, 10, 1))]

    def view(team, status):
        document = JobDocument("1" * 16, "q", "pool", "t", steps, 0.0, team=team)
        return JobView(document, status, False, [StepView(0, 0, 3, 1, {"1": "w"}, {})])

    jobs = [view("a", "running"), view("a", "completed"), view("b", "running")]
    teams = TeamDirectory([Team("a", maximum={"accelerators": 4})])
    (found,) = sum_up_teams(teams, jobs)
    assert found.used == Amounts(1000, 10, 1)
    assert found.share == 0.25
    assert found.jobs == {"running": 1}
