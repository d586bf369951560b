"""Jobs of teams: which of them a team sees, and how its maximum refuses one."""

from types import SimpleNamespace

import pytest

from papayapick.clients.exceptions import TableUnavailable
from papayapick.clients.rows import StoredRow
from papayapick.clock import ManualClock
from papayapick.entry.callers.acceptance import Acceptance
from papayapick.entry.callers.job_states import JobStateCache
from papayapick.entry.cell.state_relays import job_news
from papayapick.entry.exceptions import (
    AcceptanceUnknown,
    ExceedsMaximum,
    JobUnknown,
    NotAccepted,
)
from papayapick.jobs import JobDocument, Queue, Step
from papayapick.ledger import Amounts
from tests.entry.team_keys import ID
from tests.entry.test_acceptance import FakeStore

QUEUE = Queue("q", "h", "/q/", "pool", 0, 2, 1.5, 0.5, 3.0, False, None, False)


def document(team):
    return JobDocument(ID, "q", "pool", "t", [Step(1, Amounts(1, 1))], 0.0, team=team)


class StoreOfOneJob(FakeStore):
    """Hold the job of one team; a second job with its id is not stored."""

    def __init__(self, team, **options):
        super().__init__(keys=[ID], **options)
        self._rows = [StoredRow("jobs", "pool", ID, {"team": team}, 1)]

    def submit(self, expectation, write):
        done = super().submit(expectation, write)
        if write.key == ID:
            done = type(done)()
            done.set_result(False)
        return done


def acceptance_of(store):
    states = JobStateCache(ManualClock(100.0))
    return Acceptance(store, store, states), states


def test_other_teams_job_is_answered_like_one_that_does_not_exist():
    store = StoreOfOneJob("accounts")
    found, states = acceptance_of(store)
    for is_cached in (False, True):
        if is_cached:
            states.note_statuses({ID: "running"}, {ID: "accounts"})
        with pytest.raises(JobUnknown):
            found.status(QUEUE, ID, "leasing")
        with pytest.raises(JobUnknown):
            found.cancel(QUEUE, ID, "leasing")
        assert store.written == []
    assert found.status(QUEUE, ID, "accounts") == "running"
    assert found.cancel(QUEUE, ID, "accounts")


def test_final_job_of_another_team_can_not_be_cancelled():
    found, states = acceptance_of(StoreOfOneJob("accounts"))
    states.note_statuses({ID: "completed"}, {ID: "accounts"})
    with pytest.raises(JobUnknown):
        found.cancel(QUEUE, ID, "leasing")
    assert found.cancel(QUEUE, ID, "accounts") is False


@pytest.mark.parametrize("is_cached", [False, True])
def test_id_of_another_teams_job_is_not_accepted(is_cached):
    """Guards against telling a team that its job was accepted, which never runs."""
    found, states = acceptance_of(StoreOfOneJob("accounts"))
    if is_cached:
        states.note_accepted(ID, "accounts")
    with pytest.raises(NotAccepted):
        found.submit(document("leasing"))
    assert found.submit(document("accounts")) is False


def test_repeated_id_is_not_refused_while_its_team_is_unknown():
    """Guards against a refusal that says "not run" while the caller's job runs."""
    store = StoreOfOneJob("accounts")
    found, _ = acceptance_of(store)

    def read(*place):
        raise TableUnavailable()

    store.read = read
    with pytest.raises(AcceptanceUnknown):
        found.submit(document("accounts"))


def test_job_that_exceeds_its_teams_maximum_is_refused_at_once():
    """Guards against jobs that wait for ever, as their team can never start them."""
    store = FakeStore()
    with pytest.raises(ExceedsMaximum):
        acceptance_of(store)[0].submit(document("accounts"), unfit_step=0)
    assert store.written == []


def test_accepted_job_is_not_refused_after_its_teams_maximum_was_lowered():
    """Guards against a refusal that says "not run" while the caller's job runs."""
    found, states = acceptance_of(StoreOfOneJob("accounts"))
    assert found.submit(document("accounts"), unfit_step=0) is False
    states.note_accepted(ID, "accounts")
    assert found.submit(document("accounts"), unfit_step=0) is False
    store = StoreOfOneJob("accounts")
    store.read = lambda *place: (_ for _ in ()).throw(TableUnavailable())
    with pytest.raises(AcceptanceUnknown):
        acceptance_of(store)[0].submit(document("accounts"), unfit_step=0)


def test_state_of_a_removed_job_is_not_told():
    """Guards against a job that callers of all teams see, as its team is not known."""
    feed = SimpleNamespace(teams=lambda identifiers: {ID: "accounts"})
    owner = SimpleNamespace(status_feed=feed)
    news = job_news(owner, {ID: "running", "0" * 16: "completed"})
    assert [(one.identifier, one.team) for one in news] == [(ID, "accounts")]


def test_state_that_other_hosts_report_keeps_its_team():
    states = JobStateCache(None)
    states.note_statuses({ID: "waiting"}, {ID: "accounts"})
    states.note_statuses({ID: "running"}, {})
    assert states.team(ID) == "accounts"
