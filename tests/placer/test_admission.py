"""A job is refused as never fitting only according to the live host list."""

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


def test_job_that_fits_no_worker_is_refused_for_good():
    with pytest.raises(NeverFits):
        check((WORKER,), 16001)


def test_job_is_not_refused_for_good_before_the_host_list_is_read():
    """Guards against a final refusal while the live host list is unavailable.

    A placer that starts without the list knows no workers. If it raised NeverFits,
    callers would give up jobs that many workers could hold.
    """
    with pytest.raises(ShardClosed) as raised:
        check((), 1000)
    assert raised.value.outcome == "not_run"
    assert raised.value.retry_after > 0
