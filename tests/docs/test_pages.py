"""The pages are in step with the code, and their links lead somewhere."""

import json
import re

import pytest

from demo.cells import ROOT
from papayapick.conf import SETTINGS
from papayapick.gateway import problems
from papayapick.management.commands import COMMANDS

DOCS = ROOT / "docs"
PAGES = sorted(DOCS.rglob("*.md")) + [ROOT / "README.md"]
LINK = re.compile(r"\]\(([^)#]+)[^)]*\)")
CHECK_ID = re.compile(
    r'"((?:package|deployment|settings|keys|bundle|platform|clock|process)\.[EW]\d+)"'
)
VARIABLE = re.compile(r"PAPAYAPICK_[A-Z_]+[A-Z]")
METRIC = re.compile(r"`(papayapick_[a-z_]+)`")


def _text(*parts):
    return DOCS.joinpath(*parts).read_text()


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_links_lead_to_files(page):
    for target in LINK.findall(page.read_text()):
        if not target.startswith("http"):
            assert (page.parent / target).exists(), target


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_variables_and_metrics_on_pages_exist(page):
    known = {setting.variable for setting in SETTINGS}
    assert set(VARIABLE.findall(page.read_text())) <= known
    metrics = set(METRIC.findall(_text("ref", "metrics.md")))
    assert set(METRIC.findall(page.read_text())) <= metrics


def test_each_check_stands_on_its_page():
    sources = ROOT.joinpath("papayapick", "checks").glob("*.py")
    used = {found for path in sources for found in CHECK_ID.findall(path.read_text())}
    shown = re.findall(r"^\| `(\w+\.[EW]\d+)`", _text("ref", "checks.md"), re.M)
    assert sorted(used) == sorted(shown)


def test_each_field_of_a_bundle_stands_on_its_page():
    schema = ROOT.joinpath("papayapick", "bundle", "schema.json").read_text()
    page = _text("ref", "bundle.md")

    def names(node):
        if isinstance(node, dict):
            yield from node.get("properties", {})
            for value in node.values():
                yield from names(value)

    missing = [name for name in names(json.loads(schema)) if f"`{name}`" not in page]
    assert missing == []


def test_each_step_of_the_command_line_stands_on_its_page():
    page = _text("ref", "commands.md")
    for name, command in COMMANDS.items():
        for step in re.findall(rf"papayapick {name} ([a-z][a-z-]+) ", command.usage):
            assert f"`papayapick {name} {step}" in page


def test_each_reason_of_an_explanation_stands_on_the_page():
    source = ROOT.joinpath("papayapick", "placer", "explanations.py").read_text()
    for code in re.findall(r'"((?:waits|placed)\.[a-z-]+)"', source):
        assert f"`{code}`" in _text("ref", "commands.md")


def test_each_problem_stands_with_its_status():
    rows = re.findall(r"^\| (\d+) \| (.*) \|$", _text("ref", "http.md"), re.M)
    shown = {
        code: int(status)
        for status, cell in rows
        for code in re.findall(r"`(.+?)`", cell)
    }
    assert shown == problems._STATUSES
