"""Versions of the configuration at one proxy: decoding of deltas, staging and activation."""

from types import SimpleNamespace

import msgspec
import pytest

from lapisgrade.gateway.configuration_delta import EncodedVersion, encode
from lapisgrade.gateway.errors import ConfigurationError
from lapisgrade.gateway.proxy.version_rollout import VersionRollout
from lapisgrade.gateway.routing.router import Router
from lapisgrade.gateway.rpc_messages import WatchReply
from lapisgrade.gateway.settings import Slo
from lapisgrade.interface import Clock


def text(version: int) -> bytes:
    pools = [{"Name": name} for name in ("a", "b", "c", f"s{version}")]
    return msgspec.json.encode({"Ver": version, "Ports": [], "Pools": pools})


def complete(version: int) -> EncodedVersion:
    return encode(version, text(version))


def delta(version: int, base: int) -> EncodedVersion:
    return encode(version, text(version), base, text(base))


class StagedVersions:
    """A proxy that stages and activates versions; `limits` records the limits that it applied."""

    def __init__(self) -> None:
        self.limits: list = []
        self.router = Router(Clock(0), 1, Slo(), "z")
        self.rollout = VersionRollout(self.router, SimpleNamespace(apply_limits=self.limits.append))

    def state(self) -> tuple[int, list[int]]:
        """Return the active version and the staged versions."""
        return self.rollout.active_version, sorted(self.router.route_versions.staged)


@pytest.fixture
def versions() -> StagedVersions:
    return StagedVersions()


def test_a_version_is_staged_and_activated_when_the_leader_activates_it(versions: StagedVersions) -> None:
    versions.rollout.apply(WatchReply(True, active_version=1, active_configuration=complete(1)))
    versions.rollout.apply(
        WatchReply(True, active_version=1, staged_versions={2: delta(2, 1), 3: delta(3, 2)})
    )
    assert (versions.state(), versions.rollout.staged_version) == ((1, [2, 3]), 3)
    versions.rollout.apply(WatchReply(True, active_version=2))
    assert (versions.state(), versions.router.route_versions.active.version) == ((2, [3]), 2)
    assert len(versions.limits) == 2


def test_an_earlier_or_known_version_changes_nothing(versions: StagedVersions) -> None:
    versions.rollout.apply(WatchReply(True, active_version=3, active_configuration=complete(3)))
    versions.rollout.apply(
        WatchReply(True, active_version=2, active_configuration=complete(2), staged_versions={3: complete(3)})
    )
    assert (versions.state(), len(versions.limits)) == ((3, []), 1)


def test_an_active_version_that_was_never_staged_is_requested(versions: StagedVersions) -> None:
    versions.rollout.apply(
        WatchReply(True, active_version=1, active_configuration=complete(1), staged_versions={2: delta(2, 1)})
    )
    versions.rollout.apply(WatchReply(True, active_version=5))
    assert (versions.state(), versions.rollout.staged_version) == ((1, []), 1)


def test_a_merged_version_is_marked_until_it_is_active(versions: StagedVersions) -> None:
    versions.rollout.apply(
        WatchReply(
            True,
            active_version=1,
            active_configuration=complete(1),
            staged_versions={2: delta(2, 1)},
            merged_versions=[2],
        )
    )
    assert versions.router.route_versions.merged_versions == {2}
    versions.rollout.apply(WatchReply(True, active_version=2))
    assert versions.router.route_versions.merged_versions == set()


def test_a_delta_on_an_unknown_base_is_rejected_and_a_complete_version_is_accepted(
    versions: StagedVersions,
) -> None:
    versions.rollout.apply(WatchReply(True, active_version=1, active_configuration=complete(1)))
    with pytest.raises(ConfigurationError):
        versions.rollout.apply(WatchReply(True, active_version=1, staged_versions={3: delta(3, 2)}))
    versions.rollout.requests_full_version = True
    versions.rollout.apply(WatchReply(True, active_version=1, staged_versions={3: complete(3)}))
    assert (versions.state(), versions.rollout.requests_full_version) == ((1, [3]), False)


def test_a_version_with_another_number_in_its_ver_field_is_rejected(versions: StagedVersions) -> None:
    with pytest.raises(ConfigurationError):
        versions.rollout.apply(WatchReply(True, active_version=2, active_configuration=encode(2, text(1))))
