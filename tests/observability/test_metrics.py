"""Metrics are described, bounded and named with their units."""

import re

from demo.cells import ROOT, http_call
from papayapick.observability import Metrics
from papayapick.observability.queries import metrics_page

UNITS = ("_seconds", "_bytes_total", "_bytes")
COUNTED = re.compile(r"_total$|_sequence$|_shards$")


def test_reference_page_is_in_step():
    page = ROOT.joinpath("docs", "ref", "metrics.md").read_text()
    assert page == metrics_page()


def test_each_metric_has_prefix_unit_and_meaning():
    for name, _, _, text in Metrics().describe():
        assert name.startswith("papayapick_")
        assert name.endswith(UNITS) or COUNTED.search(name), name
        assert text


def test_what_a_caller_sends_becomes_no_label(footfall):
    address = footfall.gateways[0].addresses["http"]
    body = {"service": "label-of-a-caller", "payload": {}}
    headers = {"Caller": "label-of-a-caller", "Idempotency-Key": "label-of-a-caller"}
    for path in ("/v1/requests", "/v1/label-of-a-caller"):
        assert http_call(address, "POST", path, body, headers)[0] == 404
    shown = http_call(address, "GET", "/metrics")[2].decode()
    assert "label-of-a-caller" not in shown
    assert 'papayapick_refusals_total{code="request.service-unknown"}' in shown
    assert "process_resident_memory_bytes" in shown
