"""Matching of requests to the routes of one version of the configuration."""

from http import HTTPStatus

import pytest
from support.configurations import VALID_CONFIGURATION

from lapisgrade.gateway import configuration
from lapisgrade.gateway.routing.route_table import RouteTable


@pytest.fixture
def table() -> RouteTable:
    return RouteTable(
        configuration.read({name: each for name, each in VALID_CONFIGURATION.items() if name != "Base"})
    )


def test_a_route_is_the_longest_matching_prefix_of_the_host(table: RouteTable):
    paths = ["/stock/2f", "/stock/claim/1?x=/stock/", "/stockroom", "/", "/stock/claim"]
    names = [rule.name if (rule := table.find_rule("A.example", path)) else None for path in paths]
    assert names == ["r-stock", "r-claim", None, None, "r-stock"]
    assert table.find_rule("b.example", "/stock/") is None
    assert table.tenants_by_key["k2"].name == "sfax"


def test_a_request_is_matched_to_its_route_and_tenant(table: RouteTable):
    rule, tenant = table.match("a.example:80", "/stock/2f", "k2")
    assert rule.name == "r-stock"
    assert tenant.name == "sfax"


def test_a_request_without_a_route_or_a_valid_key_is_rejected(table: RouteTable):
    assert table.match("a.example", "/", "k2") is HTTPStatus.NOT_FOUND
    assert table.match("a.example", "/stock/2f", "unknown") is HTTPStatus.UNAUTHORIZED
    assert table.match("a.example", "/stock/2f", "") is HTTPStatus.UNAUTHORIZED
