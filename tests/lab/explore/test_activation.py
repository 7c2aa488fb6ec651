"""Exploration of version activation: proxies agree on which tenants they accept."""

import itertools
from typing import Any

import msgspec
import pytest
from click.testing import CliRunner

from lapisgrade.cli.main import cli
from lapisgrade.gateway.controller.configuration_feed import MAX_REPLY_BYTES, ConfigurationFeed
from lapisgrade.gateway.controller.watch import Watch
from lapisgrade.gateway.rpc_messages import WatchReply
from lapisgrade.lab.explore.activation import DEFECTS, World, explore
from lapisgrade.lab.explore.watch_proxy import Proxy, WatchCall


def test_a_tenant_accepted_by_one_proxy_is_not_refused_by_another_under_faults() -> None:
    call_count = 0
    for seed in range(24):
        world = World(seed).run()
        assert world.refused_after_acceptance == [], f"seed {seed}"
        assert world.accepted_after_refusal == [], f"seed {seed}: withdrawn, refused, then accepted"
        assert 0 in world.first_refused_us
        call_count += world.call_count
        assert len(world.first_accepted_us) == world.tenant_count, f"seed {seed}: a tenant was never accepted"
    assert call_count > 10_000


@pytest.mark.parametrize("name", DEFECTS)
def test_an_injected_defect_of_activation_is_found_and_its_transcript_printed(name: str) -> None:
    """The seeds of the test above are enough to find each defect."""
    lines: list[str] = []
    _, seed = explore(range(24), name, lines.append)
    assert seed >= 0, name
    assert "WRONG" in lines[-1]
    assert explore(range(2))[1] == -1  # the exploration has removed the defect


def test_the_explore_command_reports_its_findings() -> None:
    for exploration, unit in (("log", "changes"), ("rejoin", "entries")):
        result = CliRunner().invoke(cli, ["lab", "explore", exploration, "--seeds", "1"])
        assert (result.exit_code, result.output.count("\n")) == (0, 1), result.output
        assert f"{unit}, 1 seeds, none wrong" in result.output
    result = CliRunner().invoke(cli, ["lab", "explore", "log", "--defect", "never-doubts"])
    assert result.exit_code == 2
    assert "known: lying-disk, commits-alone, says-before-written" in result.output
    result = CliRunner().invoke(cli, ["lab", "explore", "--seeds", "2"])
    assert (result.exit_code, result.output.count("\n")) == (0, 1), result.output
    result = CliRunner().invoke(cli, ["lab", "explore", "--seeds", "24", "--defect", "never-doubts"])
    assert result.exit_code == 1
    assert "WRONG" in result.output


class SplitReplies:
    """Leaders whose replies have room for only one version, as if all versions were very large."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.incomplete_count = 0
        chain, reply = ConfigurationFeed.chain, Watch._reply

        def chain_of_one(feed: ConfigurationFeed, texts: dict, base: int, max_bytes: int = 1) -> dict:
            versions = chain(feed, texts, base)
            return dict(itertools.islice(versions.items(), 1 if max_bytes == MAX_REPLY_BYTES else 0))

        def counted_reply(watch: Watch, *args: Any) -> WatchReply:
            result = reply(watch, *args)
            self.incomplete_count += result.lacks_versions
            return result

        monkeypatch.setattr(ConfigurationFeed, "chain", chain_of_one)
        monkeypatch.setattr(Watch, "_reply", counted_reply)


def test_tenants_are_accepted_consistently_if_versions_are_left_out_of_replies(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    replies = SplitReplies(monkeypatch)
    for seed in range(24):
        world = World(seed).run()
        assert world.refused_after_acceptance == [], f"seed {seed}"
        assert world.accepted_after_refusal == [], f"seed {seed}"
    assert replies.incomplete_count > 100


def test_a_proxy_that_trusts_a_reply_without_all_versions_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    SplitReplies(monkeypatch)
    on_watch_reply = Proxy.on_watch_reply

    def trust_each_reply(proxy: Proxy, reply: WatchReply, call: WatchCall) -> None:
        on_watch_reply(proxy, msgspec.structs.replace(reply, lacks_versions=False), call)

    monkeypatch.setattr(Proxy, "on_watch_reply", trust_each_reply)
    assert any(World(seed).run().refused_after_acceptance for seed in range(200))
