"""The comparison of three policies that enforce a tenant's quota at many limiters."""

from click.testing import CliRunner

from lapisgrade.cli.main import cli
from lapisgrade.lab import quota_comparison


def test_quota_policies_differ_in_rejections_and_counter_calls():
    """A tenant within its quota loads the limiters unevenly.

    An owned counter must reject almost nothing, and even shares reject many requests. A call per request must
    cost more calls than leases, and reject more while the owner is isolated.
    """
    twelve_limiters, six_limiters = (12, 1 / 1.6, 1, 24.0, 24.0), (6, 1 / 1.6, 3, 40.0, 40.0)
    own, local = (quota_comparison.simulate(policy, *twelve_limiters) for policy in ("own", "local"))
    assert own[0].rejected_share < 0.01
    assert local[0].rejected_share > 0.1
    assert local[0].calls_per_s == 0
    owned, central = (quota_comparison.simulate(policy, *six_limiters) for policy in ("own", "central"))
    assert owned[0].calls_per_s < 0.5 * central[0].calls_per_s
    assert owned[1].rejected_share < central[1].rejected_share
    assert max(period.worst_window for period in (*own, *local, *owned)) <= 1.0
    result = CliRunner().invoke(cli, ["lab", "quota", "--limiters", "1"])
    assert result.exit_code == 2
    assert "1 is no number of limiters from 2 to 4000" in result.output
