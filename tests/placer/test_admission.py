"""A job is told "never" only where the live list says so."""

import json
from types import SimpleNamespace

import pytest

from papayapick.clients.hosts import HostEntry
from papayapick.ledger import HostLedger, NeverFits
from papayapick.placer.exceptions import ShardClosed
from papayapick.placer.listing import HostListing
from papayapick.placer.process import Placer
from papayapick.wire.messages import Submit

CAPACITY = {"processors": 16000, "memory": 65536}
WORKER = HostEntry("w", "worker", "live", "http://w", "r", "z", capacity=CAPACITY)


def check(entries, processors):
    placer = SimpleNamespace(
        _process=SimpleNamespace(peers=SimpleNamespace(entries=entries)),
        _listing=HostListing(),
        _shards_per_zone=lambda: 1,
    )
    shard = SimpleNamespace(name="z.0", hosts=HostLedger())
    job = {"members": 1, "demand": {"processors": processors}}
    Placer._check_job_fits(placer, shard, Submit(job=json.dumps(job)))


def test_a_job_that_no_worker_could_hold_is_told_never():
    with pytest.raises(NeverFits):
        check((WORKER,), 16001)


def test_a_placer_that_has_not_read_the_list_does_not_say_never():
    """The live list is down when a placer starts, and a member lodges a job that
    many workers could hold. "Never" is final, and the member would give up.
    """
    with pytest.raises(ShardClosed) as found:
        check((), 1000)
    assert found.value.outcome == "not_run"
    assert found.value.retry_after > 0
