"""Modules stay below the size limit and have no import cycles."""

import ast

import pytest

from demo.cells import ROOT

PACKAGE = ROOT / "papayapick"
MAX_LINES = 350


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


def find_cycle(graph):
    """Return the modules of an import cycle, or an empty list."""
    done, path = set(), []

    def visit(name):
        if name in path:
            return path[path.index(name) :]
        if name in done:
            return []
        path.append(name)
        for other in sorted(graph[name]):
            if found := visit(other):
                return found
        path.pop()
        done.add(name)
        return []

    for name in graph:
        if found := visit(name):
            return found
    return []


def test_no_import_cycle():
    assert find_cycle({name: _imported(path) for name, path in MODULES.items()}) == []


def test_import_cycle_is_found():
    graph = {"a": {"b"}, "b": {"c"}, "c": {"b"}, "d": set()}
    assert find_cycle(graph) == ["b", "c"]


@pytest.mark.parametrize("name", MODULES)
def test_module_is_below_the_size_limit(name):
    lines = len(MODULES[name].read_text().splitlines())
    assert lines <= MAX_LINES
