"""Metrics have a help text, bounded labels and a unit in their names."""

import re

from demo.cells import ROOT, http_call
from papayapick.observability import Metrics
from papayapick.observability.queries import metrics_page

UNITS = ("_seconds", "_bytes_total", "_bytes")
UNITLESS = re.compile(r"_total$|_sequence$|_shards$")


def test_reference_page_is_in_step():
    page = ROOT.joinpath("docs", "ref", "metrics.md").read_text()
    assert page == metrics_page()


def test_each_metric_has_prefix_unit_and_meaning():
    for name, _, _, text in Metrics().describe():
        assert name.startswith("papayapick_")
        assert name.endswith(UNITS) or UNITLESS.search(name), name
        assert text


def test_values_sent_by_callers_become_no_labels(footfall):
    address = footfall.gateways[0].addresses["http"]
    body = {"service": "label-of-a-caller", "payload": {}}
    headers = {"Caller": "label-of-a-caller", "Idempotency-Key": "label-of-a-caller"}
    for path in ("/v1/requests", "/v1/label-of-a-caller"):
        assert http_call(address, "POST", path, body, headers)[0] == 404
    metrics_page_text = http_call(address, "GET", "/metrics")[2].decode()
    assert "label-of-a-caller" not in metrics_page_text
    assert (
        'papayapick_refusals_total{code="request.service-unknown"}' in metrics_page_text
    )
    assert "process_resident_memory_bytes" in metrics_page_text
