import io

import pytest
from minicheck import Protocol

from spec.__main__ import SPECIFICATIONS, main
from spec.checking import Specification, examine


def test_properties_hold_with_all_guards_and_break_without_each():
    printed = io.StringIO()
    assert main(printed) == 0, printed.getvalue()
    for specification in SPECIFICATIONS:
        assert f"{specification.name}: all guards: holds" in printed.getvalue()
        for guard, kept in specification.guards.items():
            line = f"{specification.name}: without {guard}: breaks {kept}, "
            assert line in printed.getvalue()


def counter(limit, guard, kept):
    def build(guards):
        last = limit if "stop" in guards else limit + 1
        return Protocol(
            name="counter",
            candidate=False,
            fields=("count",),
            initial=(0,),
            transitions=lambda s: [("count", (s[0] + 1,))] if s[0] < last else [],
            invariants={"small": lambda found: found["count"] <= 2},
        )

    return Specification("counter", {guard: kept}, build)


@pytest.mark.parametrize(
    ("limit", "guard", "surprises"),
    [
        (2, "stop", ["", ""]),
        (2, "useless", ["small fails with every guard", ""]),
        (1, "stop", ["", "small holds without the guard"]),
        (3, "stop", ["small fails with every guard", ""]),
    ],
)
def test_an_unexpected_outcome_is_a_surprise(limit, guard, surprises):
    found = examine(counter(limit, guard, "small"))
    assert [finding.surprise for finding in found] == surprises
