"""Hosts that have had no news of a queue's pools store no job in a former one."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from papayapick.entry.callers.queue_fences import FENCES_TABLE
from papayapick.entry.exceptions import NotAccepted
from papayapick.pool.records.journal import CANCEL_SUFFIX
from tests.entry.test_queue_pools import (
    ID,
    NEW,
    OLD,
    OTHER_ID,
    Host,
    Store,
    queue_of,
)

THIRD = "pool-3"
# In the same partition as the others.
FURTHER_ID = "5c0e7a21d94b36e8"
# Pool of the queue by version of the configuration.
POOLS = {1: OLD, 2: NEW, 3: THIRD, 4: NEW, 5: OLD}


@pytest.fixture
def store():
    return Store()


@pytest.fixture
def frozen(store):
    """Return a host that has had no news since the first version."""
    host = Host(store)
    assert host.submit(OLD, OTHER_ID)
    return host


def stored_in(store, identifier=ID):
    return [
        part for table, part, key in store.rows if (table, key) == ("jobs", identifier)
    ]


def test_host_that_was_frozen_while_its_queue_moved_stores_no_job_twice(frozen, store):
    """Guards against two runs of a task, in the pools of two configurations (TWICE)."""
    assert Host(store).submit(NEW, version=2)
    assert frozen.submit(OLD, version=1) is False
    assert stored_in(store) == [f"{NEW}/0"]


def test_host_that_was_frozen_accepts_no_new_job_in_a_former_pool(frozen, store):
    """Guards against work that an older configuration alone allows."""
    assert Host(store).submit(NEW, version=2)
    with pytest.raises(NotAccepted):
        frozen.submit(OLD, FURTHER_ID, version=1)
    assert stored_in(store, FURTHER_ID) == []
    assert Host(store).submit(NEW, FURTHER_ID, version=2)


def test_host_that_was_frozen_says_of_no_job_that_there_is_none(frozen, store):
    """Guards against a cancel that is answered 410 while the job runs on (UNASKED)."""
    assert Host(store).submit(NEW, version=2)
    assert frozen.acceptance.status(queue_of(OLD), ID) == "waiting"
    assert frozen.acceptance.cancel(queue_of(OLD), ID)
    assert ("jobs", f"{NEW}/0", ID + CANCEL_SUFFIX) in store.rows


def test_job_that_a_frozen_host_stored_before_is_found(frozen, store):
    """Guards against a second run, as the fence comes after the first write."""
    assert frozen.submit(OLD, version=1)
    assert Host(store).submit(NEW, version=2) is False
    assert stored_in(store) == [f"{OLD}/0"]


def test_queue_that_moved_twice_while_a_host_was_frozen(frozen, store):
    """Guards against two runs where the host has missed two versions."""
    assert Host(store).submit(NEW, FURTHER_ID, version=2)
    assert Host(store).submit(THIRD, version=3)
    assert frozen.submit(OLD, version=1) is False
    assert stored_in(store) == [f"{THIRD}/0"]


def test_queue_that_moved_back_is_served_also_by_a_host_that_missed_it(frozen, store):
    """Guards against a host that refuses for ever, and against two runs."""
    between = Host(store)
    assert between.submit(NEW, version=2)
    back = Host(store)
    assert back.submit(OLD, version=5) is False
    other = FURTHER_ID
    assert back.submit(OLD, other, version=5)
    assert frozen.submit(OLD, version=1) is False
    assert frozen.submit(OLD, other, version=1) is False
    with pytest.raises(NotAccepted):
        between.submit(NEW, "5c0e7a21d94b36d8", version=2)
    assert stored_in(store, other) == [f"{OLD}/0"]


def test_later_version_with_the_same_pool_changes_no_fence(store):
    """Guards against hosts that refuse as others are one version ahead of them."""
    Host(store).submit(OLD, OTHER_ID)
    late, early = Host(store), Host(store)
    assert late.submit(NEW, version=2)
    early.follow()
    assert early.submit(NEW, FURTHER_ID, version=7)
    assert late.submit(NEW, "5c0e7a21d94b36d8", version=2)
    store.calls.clear()
    assert early.submit(NEW, "5c0e7a21d94b36c8", version=8)
    # The former pool is looked at, and nothing but the job is written.
    assert store.calls == ["read", "write"]


def test_queue_that_never_moved_has_no_fence(store):
    """Guards against calls for all queues because a few have moved."""
    Host(store).submit(OLD)
    assert not [table for table, _, _ in store.rows if table == FENCES_TABLE]


@settings(max_examples=300, deadline=None)
@given(
    steps=st.lists(
        st.tuples(
            st.integers(0, 3),
            st.sampled_from(sorted(POOLS)),
            st.sampled_from([ID, OTHER_ID]),
            st.booleans(),
        ),
        max_size=14,
    )
)
def test_hosts_with_any_versions_store_a_job_once(steps):
    """Guards against two runs, whatever the hosts have missed of the changes."""
    store = Store()
    hosts = {}
    versions = {}
    for number, version, identifier, has_news in steps:
        host = hosts.setdefault(number, Host(store))
        # A host never goes back to an older version.
        version = versions[number] = max(version, versions.get(number, 0))
        if has_news:
            host.follow()
        try:
            host.submit(POOLS[version], identifier, version)
        except NotAccepted:
            assert version < max(versions.values())
        for one in (ID, OTHER_ID):
            assert len(stored_in(store, one)) <= 1
