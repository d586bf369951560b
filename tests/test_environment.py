"""The environment that the scripts make is whole, or is made again.

No package is fetched: the lists are empty, or name what no index has.
"""

import os
import shutil
import subprocess
from pathlib import Path

import pytest

SCRIPT = Path(__file__).resolve().parent.parent / "scripts" / "environment"
EMPTY = "# nothing\n"
MISSING = "--no-index\nmissing-package==1.0\n"


@pytest.fixture
def project(tmp_path):
    (tmp_path / "scripts").mkdir()
    shutil.copy(SCRIPT, tmp_path / "scripts")
    (tmp_path / "requirements.txt").write_text(EMPTY)
    (tmp_path / "requirements-development.txt").write_text(EMPTY)
    return tmp_path


def source(project, requirements):
    return subprocess.run(
        ["bash", "-c", "set -euo pipefail; . scripts/environment; echo ready"],
        cwd=project,
        env={**os.environ, "REQUIREMENTS": requirements},
        capture_output=True,
        text=True,
        check=False,
    )


def test_failed_install_names_requirement_and_machine_and_is_tried_again(project):
    """Guards against an environment taken for whole after a failed install."""
    (project / "requirements-development.txt").write_text(MISSING)
    failed = source(project, "requirements-development.txt")
    again = source(project, "requirements-development.txt")
    for run in (failed, again):
        message = run.stderr.splitlines()[-1]
        assert run.returncode == 1
        assert "ready" not in run.stdout
        assert "cannot install missing-package==1.0 on" in message
        assert os.uname().machine in message
    (project / "requirements-development.txt").write_text(EMPTY)
    assert source(project, "requirements-development.txt").stdout == "ready\n"


def test_demo_installs_without_requirements_of_the_tests(project):
    """Guards against a demo that fails for a package that only the tests need."""
    (project / "requirements-development.txt").write_text(MISSING)
    assert source(project, "requirements.txt").stdout == "ready\n"
    assert source(project, "requirements-development.txt").returncode == 1
    assert source(project, "requirements.txt").stdout == "ready\n"
