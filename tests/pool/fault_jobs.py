"""Random jobs of a fault simulation."""

from papayapick.jobs import Step
from papayapick.ledger import Amounts

__all__ = ["draw_steps"]


def draw_steps(rng):
    """Return the steps of a random job."""
    demand = Amounts(1000, 10)
    kind = rng.choice(["plain", "plain", "gang", "lasting", "chain"])
    tasks = rng.randint(2, 4)
    if kind == "chain":
        is_gang = rng.random() < 0.5
        follower = Step(2, demand, 0.5, after=[0], is_gang=is_gang)
        return [Step(2, demand, 0.5), follower]
    if kind == "lasting":
        return [Step(1, Amounts(500, 10), 0.8, is_lasting=True)]
    return [Step(tasks, demand, 0.8, is_gang=kind == "gang")]
