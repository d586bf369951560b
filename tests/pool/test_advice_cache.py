"""The cache of advice on which workers may run a step."""

import pytest

from papayapick.jobs import AdvicePolicy, StepKey
from papayapick.pool.advice.cache import AdviceCache

KEY = StepKey("0" * 16, 0, 0)
POLICY = AdvicePolicy(0.5, 0.01, 2.5)


class FakeService:
    """Record the requests of a cache; no answer comes by itself."""

    def __init__(self):
        self.requests = []

    def __call__(self, key, workers, expected):
        self.requests.append((key, workers))


@pytest.fixture
def service():
    return FakeService()


@pytest.fixture
def cache(service):
    return AdviceCache(service)


def test_workers_that_joined_later_are_included_in_requests(cache, service):
    """A lasting task must be able to run on workers that joined after the last answer.

    A release may replace all workers that the first answer allowed. A new request
    about these alone would leave the task waiting while the new workers are idle.
    """
    cache.request(KEY, POLICY, ["w1", "w2"], 10.0)
    cache.note_answer(KEY, {"w1": "t1"}, POLICY, 10.6)
    cache.request(KEY, POLICY, ["w2", "w3"], 20.0)
    assert service.requests[-1][1] == ["w3"]


def test_unfit_workers_are_not_included_in_later_requests(cache, service):
    cache.request(KEY, POLICY, ["w1", "w2"], 10.0)
    cache.note_answer(KEY, {"w1": "t1"}, POLICY, 10.6)
    cache.request(KEY, POLICY, ["w1", "w2"], 20.0)
    assert service.requests[-1][1] == ["w1"]
    assert cache.unfit(KEY) == {"w2"}


def test_tickets_expire(cache):
    cache.request(KEY, POLICY, ["w1"], 10.0)
    cache.note_answer(KEY, {"w1": "t1"}, POLICY, 10.6)
    assert cache.tickets(KEY, POLICY, 12.8) == {"w1": "t1"}
    assert cache.tickets(KEY, POLICY, 13.2) is None


def test_only_one_request_at_a_time_for_a_step(cache, service):
    cache.request(KEY, POLICY, ["w1"], 10.0)
    cache.request(KEY, POLICY, ["w1"], 10.5)
    assert len(service.requests) == 1


def test_request_that_is_never_answered_is_repeated(cache, service):
    """A job must not wait forever if the host that requests the advice loses power.

    The connection to it hangs without a reset, so that the call neither fails nor ends.
    """
    cache.request(KEY, POLICY, ["w1"], 10.0)
    cache.request(KEY, POLICY, ["w1"], 20.0)
    assert len(service.requests) == 2


def test_failed_request_is_repeated(cache, service):
    cache.request(KEY, POLICY, ["w1"], 10.0)
    cache.note_failure(KEY)
    cache.request(KEY, POLICY, ["w1"], 10.3)
    assert len(service.requests) == 2


def test_refused_ticket_is_dropped(cache):
    cache.request(KEY, POLICY, ["w1", "w2"], 10.0)
    cache.note_answer(KEY, {"w1": "t1", "w2": "t2"}, POLICY, 10.6)
    cache.drop_ticket(KEY, "w1")
    assert cache.tickets(KEY, POLICY, 11.0) == {"w2": "t2"}


def test_late_answer_says_nothing_of_workers_outside_its_request(cache, service):
    """A worker must not count as unfit because of an answer to an older request.

    The first request counts as lost and the second includes more workers. If the late
    answer to the first marked all workers that it does not name as unfit, those that
    only the second includes would never be requested again.
    """
    cache.request(KEY, POLICY, ["w1", "w2"], 10.0)
    cache.request(KEY, POLICY, ["w1", "w2", "w3"], 20.0)
    first, second = (workers for _, workers in service.requests)
    cache.note_answer(KEY, {"w1": "t1"}, POLICY, 20.1, requested=first)
    assert cache.unfit(KEY) == {"w2"}
    # The second request is still in progress.
    cache.request(KEY, POLICY, ["w1", "w3"], 20.5)
    assert len(service.requests) == 2
    cache.note_answer(KEY, {"w1": "t1", "w3": "t3"}, POLICY, 20.6, requested=second)
    assert cache.tickets(KEY, POLICY, 20.7) == {"w1": "t1", "w3": "t3"}


def test_late_failure_does_not_end_the_newer_request(cache, service):
    cache.request(KEY, POLICY, ["w1"], 10.0)
    cache.request(KEY, POLICY, ["w1", "w2"], 20.0)
    cache.note_failure(KEY, requested=service.requests[0][1])
    cache.request(KEY, POLICY, ["w1", "w2"], 20.5)
    assert len(service.requests) == 2


def test_late_failure_of_a_request_with_the_same_workers_does_not_end_the_newer_one():
    """A third request must not be sent while the second is in progress.

    The first request counts as lost and fails late. It usually lists the same workers
    as the second, and must not be mistaken for it.
    """
    requests = []
    cache = AdviceCache(lambda key, workers, expected: requests.append(workers))
    cache.request(KEY, POLICY, ["w1", "w2"], 10.0)
    cache.request(KEY, POLICY, ["w1", "w2"], 20.0)
    cache.note_failure(KEY, requested=requests[0])
    cache.request(KEY, POLICY, ["w1", "w2"], 20.5)
    assert len(requests) == 2


def test_late_answer_does_not_replace_newer_tickets():
    """A late answer must not remove the ticket of a worker with capacity.

    The second request, which includes more workers, is answered before the first one,
    which counts as lost.
    """
    requests = []
    cache = AdviceCache(lambda key, workers, expected: requests.append(workers))
    cache.request(KEY, POLICY, ["w1"], 10.0)
    cache.request(KEY, POLICY, ["w1", "w2"], 20.0)
    cache.note_answer(KEY, {"w1": "b", "w2": "b"}, POLICY, 20.5, requests[1])
    cache.note_answer(KEY, {"w1": "a"}, POLICY, 20.6, requests[0])
    assert "w2" in cache.tickets(KEY, POLICY, 20.7)
