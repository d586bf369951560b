"""Listing the partitions of a table of the store."""

import json
import urllib.parse
from types import SimpleNamespace

import pytest

from papayapick.clients.exceptions import StoreRefused, TableUnavailable
from papayapick.platform.store import Store

NAMES = [f"p{number:04}" for number in range(2000)]


class Pool:
    """Answer calls for partitions, 1,000 names at once."""

    def __init__(self, status=200, body=None):
        self._status = status
        self._body = body
        self.calls = 0

    def request(self, method, url, body, **options):
        self.calls += 1
        after = dict(urllib.parse.parse_qsl(url.partition("?")[2])).get("after", "")
        found = {"parts": [name for name in NAMES if name > after][:1000]}
        data = json.dumps(found if self._body is None else self._body).encode()
        return SimpleNamespace(status=self._status, body=data)


def test_all_pages_are_read():
    """Guards against pools left without an owner where a table has many partitions."""
    pool = Pool()
    assert Store("host:1", pool).partitions("jobs") == NAMES
    assert pool.calls == 3


@pytest.mark.parametrize("body", [{}, {"parts": None}, {"parts": [1]}, []])
def test_unreadable_answer_counts_as_missing(body):
    with pytest.raises(TableUnavailable):
        Store("host:1", Pool(body=body)).partitions("jobs")


def test_refusal_is_raised():
    with pytest.raises(StoreRefused):
        Store("host:1", Pool(status=503)).partitions("jobs")
