"""The sums of the counters that limiters print to their logs."""

from click.testing import CliRunner

from lapisgrade.cli.main import cli
from lapisgrade.lab.fleet import counts

LOG_OF_TWO_INCARNATIONS = """10:00:00 lg-0: discovery: DiscoveryRejectedError('status 503')
10:00:05 lg-0: counts: attempts 10, attempts_finished_answered 9, requests 12
10:00:09 lg-0: told to end by SIGTERM
10:00:09 lg-0: counts: attempts 20, attempts_finished_answered 19, requests 22
10:00:12 lg-0: counts: attempts 3, requests 4
"""
LOG_WITH_A_TRACEBACK = """10:00:01 lg-1: discovery: DiscoveryRejectedError('status 500')
Traceback (most recent call last):
10:00:09 lg-1: counts: attempts 1, attempts_finished_timed_out 1, requests 2
"""


def test_counters_are_summed_over_all_incarnations_of_a_limiter(tmp_path):
    (tmp_path / "a").mkdir()
    (tmp_path / "a" / "log").write_text(LOG_OF_TWO_INCARNATIONS)
    (tmp_path / "b.log").write_text(LOG_WITH_A_TRACEBACK)
    fleet = counts.read([str(tmp_path)])
    assert fleet.incarnations == {"lg-0": 2, "lg-1": 1}
    assert fleet.limiters["lg-0"] == {"attempts": 23, "attempts_finished_answered": 19, "requests": 26}
    assert fleet.total("requests") == 28
    assert fleet.total("attempts_finished_timed_out") == 1
    assert fleet.messages["discovery: DiscoveryRejectedError('status #')"] == 2
    assert fleet.unrecognized == 1
    messages = "\n".join(counts.lines(fleet))
    assert "2 limiters, 3 incarnations" in messages
    assert "2 x discovery: DiscoveryRejectedError('status #')" in messages


def test_missing_logs_and_logs_without_counters_are_reported_without_a_traceback(tmp_path):
    (tmp_path / "log").write_bytes(b"\xff\x00 nothing\n" + b"x" * 200_000 + b"\n")
    result = CliRunner().invoke(cli, ["lab", "fleet", "counts", str(tmp_path)])
    assert result.exit_code == 1
    assert "no counters" in result.output
    result = CliRunner().invoke(cli, ["lab", "fleet", "counts", str(tmp_path / "gone")])
    assert result.exit_code == 2
    assert "Traceback" not in result.output
