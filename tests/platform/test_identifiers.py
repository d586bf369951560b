"""Which ids of jobs are taken."""

import pytest

from papayapick.platform.requests import is_identifier
from papayapick.pool.records.partitions import job_partition, job_partitions


@pytest.mark.parametrize(
    "identifier", ["5c0e7a21d94b36f8", "5C0E7A21D94B36F8", "5c0E7a21D94b36F8"]
)
def test_hexadecimal_digits_of_either_case_are_an_id(identifier):
    """Guards against 404 for a caller that writes its ids in capital letters."""
    assert is_identifier(identifier)
    assert job_partition("pool", identifier) in job_partitions("pool")


@pytest.mark.parametrize("text", ["", "5c0e", "5c0e7a21d94b36f8a", "5c0e7a21d94b36fg"])
def test_other_texts_are_no_id(text):
    assert not is_identifier(text)
