"""Decoding of the operator's configuration: teams, and errors that name the field."""

import copy

import pytest
from hypothesis import given
from hypothesis import strategies as st

from papayapick.platform.configuration import decode_configuration
from papayapick.platform.exceptions import BodyInvalid

ROUTE = {"name": "q", "host": "A.example", "path_prefix": "/q/", "service": "p"}
TEAM = {
    "name": "accounts",
    "api_keys": ["key-1", "key-2"],
    "weight": 9,
    "maximum": {"cpu": 4000, "mem_mb": 0, "gpu": 2},
}
VALUE = {
    "version": 7,
    "routes": [
        {**ROUTE, "advice": {"decide_ms": 5, "each_ms": 1.5, "valid_ms": 2500}},
        {**ROUTE, "name": "open", "path_prefix": "/open/", "public": True},
    ],
    "services": [{"name": "p", "enforces_capacity": False}],
    "limits": {"max_body_bytes": 1000},
    "tenants": [TEAM],
}

_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=3),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=3), inner, max_size=3)
    ),
    max_leaves=6,
)


def test_team_is_decoded():
    teams = decode_configuration(VALUE, has_teams=True).teams
    team = teams.get("accounts")
    assert teams.find_by_key("key-2") is team
    assert team.jobs_per_second == 9
    assert team.maximum == {"processors": 4000, "accelerators": 2}


def test_queues_are_public_if_declared_or_if_there_are_no_teams():
    queues = decode_configuration(VALUE, has_teams=True).queues
    assert (queues["q"].is_public, queues["open"].is_public) == (False, True)
    assert decode_configuration(VALUE).queues["q"].is_public


@pytest.mark.parametrize(
    ("path", "value", "reason"),
    [
        (["tenants"], {}, "tenants is not a list"),
        (["tenants", 0], 7, "tenant is not a table"),
        (["tenants", 0, "name"], None, "tenant.name is not a string"),
        (["tenants", 0, "api_keys"], "key", "tenant accounts.api_keys is not a list"),
        (["tenants", 0, "api_keys", 0], 7, "accounts.api_keys is not a list of string"),
        (["tenants", 0, "weight"], "9", "tenant accounts.weight is not a number"),
        (["tenants", 0, "weight"], float("nan"), "weight is not finite"),
        (["tenants", 0, "weight"], 10**400, "weight is too large"),
        (["tenants", 0, "maximum"], [], "tenant accounts.maximum is not a table"),
        (["tenants", 0, "maximum", "cpu"], 1.5, "accounts.maximum.cpu is not an int"),
        (["tenants", 0, "maximum", "cpu"], True, "maximum.cpu is not an integer"),
        (["routes", 0, "public"], 1, "route q.public is not true or false"),
        (["routes", 0, "slo_ms"], None, "route q.slo_ms is not a number"),
        (["routes", 0, "advice"], 3, "route q.advice is not a table"),
        (["routes", 0, "advice", "each_ms"], "", "q.advice.each_ms is not a number"),
        (["services", 0], None, "service is not a table"),
        (["limits"], [], "limits is not a table"),
        (["version"], "7", "version is not an integer"),
    ],
)
def test_wrong_shape_is_refused_by_the_name_of_its_field(path, value, reason):
    found = copy.deepcopy(VALUE)
    place = found
    for step in path[:-1]:
        place = place[step]
    place[path[-1]] = value
    with pytest.raises(BodyInvalid, match=reason):
        decode_configuration(found, has_teams=True)


def test_two_teams_of_one_name_are_refused():
    with pytest.raises(BodyInvalid, match="same name"):
        decode_configuration({**VALUE, "tenants": [TEAM, TEAM]}, has_teams=True)


def test_error_does_not_show_keys():
    found = {**VALUE, "tenants": [{**TEAM, "api_keys": ["key-1", ""]}]}
    with pytest.raises(BodyInvalid) as raised:
        decode_configuration(found, has_teams=True)
    assert "key-1" not in str(raised.value)


@given(value=_JSON)
def test_any_json_is_decoded_or_refused(value):
    """Guards against a loop that ends as a wrong shape raises another error."""
    _decode_or_refuse(value)


@given(data=st.data())
def test_any_json_in_place_of_a_field_is_decoded_or_refused(data):
    """Guards against a loop that ends as a wrong shape raises another error."""
    found = copy.deepcopy(VALUE)
    place = found
    while True:
        keys = list(place) if isinstance(place, dict) else range(len(place))
        key = data.draw(st.sampled_from(list(keys)))
        inner = place[key]
        if not inner or not isinstance(inner, dict | list) or data.draw(st.booleans()):
            place[key] = data.draw(_JSON)
            break
        place = inner
    _decode_or_refuse(found)


def _decode_or_refuse(value):
    for has_teams in (False, True):
        try:
            decode_configuration(value, has_teams)
        except BodyInvalid as error:
            assert str(error)


def test_large_configuration_is_decoded_whole():
    teams = [
        {**TEAM, "name": f"team-{number}", "api_keys": [f"{number}-a", f"{number}-b"]}
        for number in range(670)
    ]
    routes = [{**ROUTE, "name": f"q-{number}"} for number in range(1400)]
    value = {**VALUE, "tenants": teams, "routes": routes}
    configuration = decode_configuration(value, has_teams=True)
    assert len(configuration.teams) == 670
    assert configuration.teams.find_by_key("669-b").name == "team-669"
    assert len(configuration.queues) == 1400
