"""The limiter's settings: those of the bench and of a service configuration are read alike."""

from types import SimpleNamespace

import pytest
from support.limiter_site import LimiterSite

from lapisgrade.settings import (
    Fields,
    MalformedInputError,
    flatten,
    read_categories,
    read_connection_settings,
    read_counter_settings,
    read_permissions,
    read_plans,
    read_server_rules,
)


def test_settings_from_a_line_equal_settings_from_a_tree():
    site = LimiterSite()
    site.port, site.discovery = 1, SimpleNamespace(port=1, endpoint_list=lambda: {})
    tree = flatten(site.configuration()["settings"])
    line = Fields(
        {name: str(value).lower() if value in (True, False) else str(value) for name, value in tree.items()}
    )
    for read in (
        read_categories,
        read_plans,
        read_server_rules,
        read_permissions,
        read_counter_settings,
        read_connection_settings,
    ):
        assert read(tree) == read(line)
    assert [category.name for category in read_categories(tree)] == [
        "idempotent",
        "deduplicated",
        "non_idempotent",
    ]
    with pytest.raises(MalformedInputError):
        read_connection_settings(flatten({"Ceilings": {"DialTimeout": "soon"}}))
