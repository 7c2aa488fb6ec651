"""The rate-limited log on standard error."""

from lapisgrade.net.rate_limited_log import MAX_LINES_PER_SECOND, RateLimitedLog


def test_log_lines_are_rate_limited(capfd, monkeypatch):
    now_s = [5.0]
    monkeypatch.setattr("lapisgrade.net.rate_limited_log.time.monotonic", lambda: now_s[0])
    log = RateLimitedLog("n0")
    for number in range(MAX_LINES_PER_SECOND + 7):
        log.write(f"line {number}")
    now_s[0] = 6.0
    log.write("after")
    lines = capfd.readouterr().err.splitlines()
    assert len(lines) == MAX_LINES_PER_SECOND + 2  # and the line on the omitted lines, and "after"
    assert "7 log lines omitted by the rate limit" in lines[-2]
