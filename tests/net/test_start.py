"""What is read at start, and what is said."""

from types import SimpleNamespace

import pytest
from support.limiter_site import Site

from lapisgrade.net.rate_limited_log import MAX_LINES_PER_SECOND, RateLimitedLog
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

SECOND = 1_000_000


def test_settings_read_the_same_from_a_line_and_from_a_tree():
    site = Site()
    site.port, site.agent = 1, SimpleNamespace(port=1, told=lambda: {})
    tree = flatten(site.told()["settings"])
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
    assert [each.name for each in read_categories(tree)] == ["look", "file", "burn"]
    with pytest.raises(MalformedInputError):
        read_connection_settings(flatten({"Ceilings": {"DialTimeout": "soon"}}))


def test_log_lines_are_rate_limited(capfd, monkeypatch):
    now = [5.0]
    monkeypatch.setattr("lapisgrade.net.rate_limited_log.time.monotonic", lambda: now[0])
    log = RateLimitedLog("n0")
    for i in range(MAX_LINES_PER_SECOND + 7):
        log.write(f"line {i}")
    now[0] = 6.0
    log.write("after")
    said = capfd.readouterr().err.splitlines()
    assert len(said) == MAX_LINES_PER_SECOND + 2 and "7 lines left out" in said[-2]
