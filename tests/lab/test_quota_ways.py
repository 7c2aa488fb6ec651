"""The comparison of ways to share a quota."""

from click.testing import CliRunner

from lapisgrade.cli.main import cli
from lapisgrade.lab import quota_ways


def test_ways_to_share_a_quota_differ_as_expected():
    """A tenant inside its quota, whose clients load limiters unevenly: one count refuses nobody, even
    shares do; a call per request costs more calls."""
    many, few = (12, 1 / 1.6, 1, 24.0, 24.0), (6, 1 / 1.6, 3, 40.0, 40.0)
    own, local = (quota_ways.play(way, *many) for way in ("own", "local"))
    assert own[0].refused < 0.01
    assert local[0].refused > 0.1
    assert local[0].calls == 0
    less, more = (quota_ways.play(way, *few) for way in ("own", "central"))
    assert less[0].calls < 0.5 * more[0].calls
    assert less[1].refused < more[1].refused
    assert max(each.worst for each in (*own, *local, *less)) <= 1.0
    done = CliRunner().invoke(cli, ["lab", "quota", "--limiters", "1"])
    assert done.exit_code == 2
    assert "1 is no number of limiters from 2 to 4000" in done.output
