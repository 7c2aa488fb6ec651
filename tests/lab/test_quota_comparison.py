"""The comparison of ways to share a quota."""

from click.testing import CliRunner

from lapisgrade.cli.main import cli
from lapisgrade.lab import quota_comparison


def test_ways_to_share_a_quota_differ_as_expected():
    """A tenant inside its quota, whose clients load limiters unevenly: one count refuses nobody, even
    shares do; a call per request costs more calls."""
    many, few = (12, 1 / 1.6, 1, 24.0, 24.0), (6, 1 / 1.6, 3, 40.0, 40.0)
    own, local = (quota_comparison.simulate(way, *many) for way in ("own", "local"))
    assert own[0].rejected_share < 0.01
    assert local[0].rejected_share > 0.1
    assert local[0].calls_per_s == 0
    less, more = (quota_comparison.simulate(way, *few) for way in ("own", "central"))
    assert less[0].calls_per_s < 0.5 * more[0].calls_per_s
    assert less[1].rejected_share < more[1].rejected_share
    assert max(each.worst_window for each in (*own, *local, *less)) <= 1.0
    done = CliRunner().invoke(cli, ["lab", "quota", "--limiters", "1"])
    assert done.exit_code == 2
    assert "1 is no number of limiters from 2 to 4000" in done.output
