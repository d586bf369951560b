"""Mistakes in the files for the users' platform are found before a run."""

import pytest

from demo.cells import ROOT
from papayapick.checks import deployment
from papayapick.checks.context import CheckContext
from tests.checks.test_checks import ids

ROLE = """
[roles.entry]
run = "python3 -m {module} {flag}"
metrics = "{metrics}"
"""
PROGRAM = "papayapick.entry.program"
DAY = 'name = "{name}"\nfaults = [{fault}]\n'
FAULT = '{ at = 1.0, kind = "burst" }'


def test_repository_has_no_findings():
    assert ids(deployment.check_deploy_file(None)) == []
    assert ids(deployment.check_days(None)) == []
    assert deployment.find_root() == ROOT


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("[roles", ["deployment.E001"]),
        (
            ROLE.format(module=PROGRAM, flag="--metrics-port=9464", metrics="9464/m"),
            [],
        ),
        (ROLE.format(module=PROGRAM, flag="", metrics="9464/m"), ["deployment.E003"]),
        (
            ROLE.format(module="papayapick.gone", flag="", metrics=""),
            ["deployment.E002"],
        ),
        ('[roles.entry]\nrun = "sh"', ["deployment.E002"]),
    ],
)
def test_mistake_in_the_deploy_file_is_found(tmp_path, text, expected):
    folder = tmp_path / "deploy"
    folder.mkdir()
    (folder / "system.toml").write_text(text)
    assert ids(deployment.check_deploy_file(None, tmp_path)) == expected


def test_package_without_a_deploy_file_is_fine(tmp_path):
    assert ids(deployment.check_deploy_file(None, tmp_path)) == []


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        (DAY.format(name="one", fault=FAULT), []),
        ("name =", ["deployment.E004"]),
        (DAY.format(name="two", fault=FAULT), ["deployment.E005"]),
        (DAY.format(name="one", fault='{ kind = "burst" }'), ["deployment.E006"]),
        (DAY.format(name="one", fault="{ at = 1.0 }"), ["deployment.E006"]),
    ],
)
def test_mistake_in_a_day_is_found(tmp_path, text, expected):
    folder = tmp_path / "deploy" / "days"
    folder.mkdir(parents=True)
    (folder / "one.toml").write_text(text)
    assert ids(deployment.check_days(None, tmp_path)) == expected


def test_settings_file_is_checked_if_one_is_named(tmp_path):
    path = tmp_path / "settings.toml"
    path.write_text("node = 7")
    named = CheckContext(environment={"PAPAYAPICK_CONFIG": str(path)})
    assert ids(deployment.check_platform_settings(named)) == ["deployment.E007"]
    assert ids(deployment.check_platform_settings(CheckContext(environment={}))) == []
