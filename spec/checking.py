"""Check a specification with all its guards, and without each one of them."""

from minicheck import check_safety

__all__ = ["Finding", "Specification", "examine"]

_MAX_STATES = 400_000


class Specification:
    """Describe a protocol, its guards and the property that each guard ensures.

    Parameters
    ----------
    name : str
    guards : dict of str to str
        Maps each guard to the property that must fail without it.
    build : callable
        Returns the minicheck Protocol for a set of active guards.
    """

    __slots__ = ("build", "guards", "name")

    def __init__(self, name, guards, build):
        self.name = name
        self.guards = guards
        self.build = build


class Finding:
    """Result of one search through the states of a protocol.

    Parameters
    ----------
    specification : str
    without : str
        The removed guard, or empty.
    states : int
        Number of reachable states.
    broken : str
        The property that fails, or empty.
    steps : list of str
        Labels of the shortest run that violates the property.
    surprise : str
        How the result differs from the expected one, or empty.
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
    """Yield the finding with all guards, then one for each removed guard."""
    guards = frozenset(specification.guards)
    yield _search(specification, guards, "", "")
    for guard, kept in specification.guards.items():
        yield _search(specification, guards - {guard}, guard, kept)


def _search(specification, guards, without, expected):
    result = check_safety(specification.build(guards), _MAX_STATES)
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
