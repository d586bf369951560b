"""Modules stay small, and import each other in one direction."""

import ast

import pytest

from demo.cells import ROOT

PACKAGE = ROOT / "papayapick"
MOST_LINES = 350


def _name(path):
    parts = path.relative_to(ROOT).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


MODULES = {_name(path): path for path in sorted(PACKAGE.rglob("*.py"))}


def _imported(path):
    """Return the modules of the package that a module imports."""
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module:
            for alias in node.names:
                inner = f"{node.module}.{alias.name}"
                found.add(inner if inner in MODULES else node.module)
        elif isinstance(node, ast.Import):
            found.update(alias.name for alias in node.names)
    return found & MODULES.keys()


def circle_in(graph):
    """Return modules that import each other in a circle, or an empty list."""
    done, way = set(), []

    def visit(name):
        if name in way:
            return way[way.index(name) :]
        if name in done:
            return []
        way.append(name)
        for other in sorted(graph[name]):
            if found := visit(other):
                return found
        way.pop()
        done.add(name)
        return []

    for name in graph:
        if found := visit(name):
            return found
    return []


def test_no_circle_of_imports():
    assert circle_in({name: _imported(path) for name, path in MODULES.items()}) == []


def test_a_circle_is_found():
    graph = {"a": {"b"}, "b": {"c"}, "c": {"b"}, "d": set()}
    assert circle_in(graph) == ["b", "c"]


@pytest.mark.parametrize("name", MODULES)
def test_module_is_not_too_large(name):
    lines = len(MODULES[name].read_text().splitlines())
    assert lines <= MOST_LINES
