"""What is read at start, and what is said."""

from types import SimpleNamespace

import pytest

from lapisgrade import start
from lapisgrade.net.rate_limited_log import MAX_LINES_PER_SECOND, RateLimitedLog
from support.limiter_site import Site

SECOND = 1_000_000


def test_settings_read_the_same_from_a_line_and_from_a_tree():
    site = Site()
    site.port, site.agent = 1, SimpleNamespace(port=1, told=lambda: {})
    tree = start.flat(site.told()["settings"])
    line = start.Fields(
        {name: str(value).lower() if value in (True, False) else str(value) for name, value in tree.items()}
    )
    for read in (start.categories, start.plans, start.duties, start.leave, start.desk, start.lines):
        assert read(tree) == read(line)
    assert [each.name for each in start.categories(tree)] == ["look", "file", "burn"]
    with pytest.raises(start.Malformed):
        start.lines(start.flat({"Ceilings": {"DialTimeout": "soon"}}))


def test_lines_are_so_many_a_second(capfd, monkeypatch):
    now = [5.0]
    monkeypatch.setattr("lapisgrade.net.rate_limited_log.time.monotonic", lambda: now[0])
    log = RateLimitedLog("n0")
    for i in range(MAX_LINES_PER_SECOND + 7):
        log.write(f"line {i}")
    now[0] = 6.0
    log.write("after")
    said = capfd.readouterr().err.splitlines()
    assert len(said) == MAX_LINES_PER_SECOND + 2 and "7 lines left out" in said[-2]
