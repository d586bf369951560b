"""Check a specification with all its guards, and with each guard taken out."""

from minicheck import check_safety

__all__ = ["Finding", "Specification", "examine"]

_MOST_STATES = 400_000


class Specification:
    """Name a protocol, its guards and what each of them keeps.

    Parameters
    ----------
    name : str
    guards : dict of str to str
        For each guard the property that must break without it.
    build : callable
        Returns the minicheck Protocol for a set of guards in force.
    """

    __slots__ = ("build", "guards", "name")

    def __init__(self, name, guards, build):
        self.name = name
        self.guards = guards
        self.build = build


class Finding:
    """Hold the outcome of one search.

    Parameters
    ----------
    specification : str
    without : str
        The guard taken out, or empty.
    states : int
    broken : str
        The property that fails, or empty.
    steps : list of str
        The shortest run that breaks it.
    surprise : str
        Why the outcome is not the expected one, or empty.
    """

    __slots__ = ("broken", "specification", "states", "steps", "surprise", "without")

    def __init__(self, specification, without, states, broken, steps, surprise):
        self.specification = specification
        self.without = without
        self.states = states
        self.broken = broken
        self.steps = steps
        self.surprise = surprise


def examine(specification):
    """Yield the finding with all guards, then one for each guard taken out."""
    guards = frozenset(specification.guards)
    yield _search(specification, guards, "", "")
    for guard, kept in specification.guards.items():
        yield _search(specification, guards - {guard}, guard, kept)


def _search(specification, guards, without, expected):
    result = check_safety(specification.build(guards), _MOST_STATES)
    verdicts = result["properties"]
    broken = {name: found for name, found in verdicts.items() if not found["holds"]}
    shown = expected if expected in broken else next(iter(broken), "")
    steps = []
    if shown and broken[shown]["holds"] is False:
        steps = [step["label"] for step in broken[shown]["counterexample"][1:]]
    surprise = ""
    if any(found["holds"] is None for found in broken.values()):
        surprise = "the search was not finished"
    elif without and expected not in broken:
        surprise = f"{expected} holds without the guard"
    elif not without and broken:
        surprise = f"{shown} fails with every guard"
    return Finding(
        specification.name, without, result["reachable_states"], shown, steps, surprise
    )
