"""What an owner tells of the expected ends of tasks."""

from types import SimpleNamespace

import pytest

from papayapick.jobs import AdvicePolicy, Queue, Step
from papayapick.ledger import Amounts
from papayapick.pool.metrics import FORECAST_ERROR_SECONDS
from papayapick.pool.rounds import waiting
from papayapick.speeds import UnknownSpeeds
from tests.forecasts.speeds import KnownSpeeds
from tests.pool.standins import PoolSimulation


@pytest.fixture
def placed(monkeypatch):
    """Return the list that receives the fields of each event of a placed step."""
    found = []
    event = SimpleNamespace(write=lambda **fields: found.append(fields))
    monkeypatch.setattr(waiting, "STEP_PLACED", event)
    return found


def _play(speeds):
    load = PoolSimulation(workers=2, length=1.0)
    for worker in load.workers.values():
        worker.speed = 0.5
    load.owner.knowledge.speeds = speeds
    load.submit_step(Step(1, Amounts(1000, 10), 2.0))
    load.run(4.0)
    assert load.finished


def _errors():
    (family,) = FORECAST_ERROR_SECONDS.collect()
    return {
        sample.name.rpartition("_")[2]: sample.value
        for sample in family.samples
        if not sample.labels
    }


def test_expected_end_of_placed_tasks_is_logged(placed):
    _play(KnownSpeeds({"w0": 0.5, "w1": 0.5}))
    assert [fields["expected_seconds"] for fields in placed] == [4.0]


def test_expected_end_is_the_estimate_while_speeds_do_not_differ(placed):
    _play(UnknownSpeeds())
    assert [fields["expected_seconds"] for fields in placed] == [2.0]


def test_error_of_the_expectation_is_counted():
    """Guards against estimates that are corrected the wrong way unnoticed."""
    before = _errors()
    _play(KnownSpeeds({"w0": 0.5, "w1": 0.5}))
    after = _errors()
    assert after["count"] == before["count"] + 1
    # The run took 2 s of the 4 s expected on a slow worker.
    assert after["sum"] - before["sum"] == pytest.approx(2.0, abs=0.15)


def test_error_is_not_counted_while_speeds_do_not_differ():
    before = _errors()
    _play(UnknownSpeeds())
    assert _errors() == before


def test_no_advice_is_requested_for_a_copy_that_would_end_no_earlier():
    """Guards against a call for advice every few seconds for each long task."""
    policy = AdvicePolicy(0.02, 0, 0.3)
    queue = Queue("q", "h", "/q/", "pool", 0, 2, 1.5, 0.5, 3.0, False, policy)
    load = PoolSimulation(workers=40, length=8.0)
    for worker in load.workers.values():
        worker.speed = 1.7
    load.owner.knowledge.speeds = KnownSpeeds(dict.fromkeys(load.workers, 1.7))
    requests = []
    cache = load.owner.advice_manager._cache
    cache._ask = lambda key, names, expected: requests.append((key, names))
    step = Step(1, Amounts(1000, 10), 1.0, allows_copies=True)
    load.submit_step(step, queue)
    load.run(0.2)
    ((key, names),) = requests
    cache.note_answer(key, dict.fromkeys(names, "t"), policy, load.now, names)
    load.run(3.0)
    assert len(requests) == 1
