"""The comparison of policies that enforce a quota at many limiters."""

from click.testing import CliRunner

from lapisgrade.cli.main import cli
from lapisgrade.lab import quota_comparison


def test_quota_policies_differ_in_rejections_and_counter_calls():
    """For a tenant within its quota that loads limiters unevenly, an owned counter rejects almost nothing and
    even shares reject many requests; a call per request costs more calls than leases."""
    twelve_limiters, six_limiters = (12, 1 / 1.6, 1, 24.0, 24.0), (6, 1 / 1.6, 3, 40.0, 40.0)
    own, local = (quota_comparison.simulate(policy, *twelve_limiters) for policy in ("own", "local"))
    assert own[0].rejected_share < 0.01
    assert local[0].rejected_share > 0.1
    assert local[0].calls_per_s == 0
    owned, central = (quota_comparison.simulate(policy, *six_limiters) for policy in ("own", "central"))
    assert owned[0].calls_per_s < 0.5 * central[0].calls_per_s
    assert owned[1].rejected_share < central[1].rejected_share
    assert max(each.worst_window for each in (*own, *local, *owned)) <= 1.0
    result = CliRunner().invoke(cli, ["lab", "quota", "--limiters", "1"])
    assert result.exit_code == 2
    assert "1 is no number of limiters from 2 to 4000" in result.output
