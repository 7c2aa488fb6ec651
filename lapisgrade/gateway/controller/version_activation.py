"""Decides when a version of the configuration is activated. Pure; used by the leader.

A version passes through these states, at each proxy and in the cluster (fields of `WatchReply`):

          accepted, in `staged_versions`        `Activate` committed, `active_version`
    unknown ------------------------------> staged ------------------------------------> active
       |                                    |    |
       | no reply from the leader for       |    | result of a draft merge (`merged_versions`)
       | MISSED_VERSION_AFTER_US            |    v
       +---------------> in doubt <---------+  fenced

* staged: the proxy has the version, but still uses the active one. It responds with 503 (retry later) to
  every request that exactly one of the two versions accepts.
* in doubt: the proxy may have missed a version. It responds with 503 to every request that its active
  version rejects.
* fenced: the staged version was merged from both sides of a partition. The proxy responds with 503 to
  requests that may run at most once and that the staged version routes differently from the active one.

The newest version that satisfies one of these rules is activated:

1. At least one proxy is live, all live proxies have staged the version, and, if it is merged, it was staged
   at least `MERGED_VERSION_DELAY_US` ago. The delay covers proxies that were partitioned: they are not among
   the live proxies, and learn of the fence with their first watch request.
2. The version was staged at least `ACTIVATION_TIMEOUT_US` ago. By then, every proxy that has not staged it is
   in doubt.

Neither rule applies to a version as long as a merged version, itself or an older one, is within its delay.
`staging_rate` ensures that a version is not dropped before it can satisfy rule 2.

Thus no proxy returns a final error to a request that another proxy already accepts, such as the first
requests of a new tenant. And no request that may run at most once takes the old route after another one took
the merged route.
"""

from collections.abc import Iterable

import msgspec

from lapisgrade.gateway.controller.commands import Activate
from lapisgrade.gateway.controller.state import State

# Times since a version was staged.
ACTIVATION_TIMEOUT_US = 1_400_000  # above watch_timing.MISSED_VERSION_AFTER_US
MERGED_VERSION_DELAY_US = 800_000  # above the time until a proxy's next watch request

ACTIVATION_RETRY_US = 300_000  # time after which an activation that was not committed is proposed again


class ProxyStatus(msgspec.Struct):
    """The leader's record of a live proxy.

    Attributes:
        address: The address for calls of other proxies.
        incarnation: Identifies the proxy's process.
        zone: The failure domain.
        last_seen_us: The monotonic time of the last watch request.
        staged_version: The newest version that the proxy has, active or not.
        active_version: The version that the proxy uses.
        has_local_controller: Whether a controller runs on the proxy's machine.
        is_terminating: Whether the proxy is shutting down.
    """

    address: str
    incarnation: str
    zone: str
    last_seen_us: int
    staged_version: int = 0
    active_version: int = 0
    has_local_controller: bool = False
    is_terminating: bool = False


class VersionActivation:
    """Tracks when versions were staged, and which activation was proposed last.

    Every controller calls `observe`, so that a new leader continues with the times that it has recorded as a
    follower. That is safe: a leader applies each entry before its followers do, and answers no watch request
    once it may have been replaced. So whatever a follower recorded is not earlier than the last reply that
    may have confirmed to a proxy that there was no such version.
    """

    def __init__(self) -> None:
        self._staged_since_us: dict[int, int] = {}  # by version; times on this controller's clock
        self._leader_since_us = 0
        self._proposed_version = 0
        self._proposed_us = 0

    def observe(self, now_us: int, state: State) -> list[int]:
        """Record the versions that were staged since the last call.

        Returns:
            The versions that were dropped since then, without any newer version being activated.
        """
        dropped = [
            version
            for version in self._staged_since_us
            if version > state.active_version and version not in state.staged_versions
        ]
        self._staged_since_us = {
            version: self._staged_since_us.get(version, now_us) for version in state.staged_versions
        }
        return dropped

    def become_leader(self, now_us: int, state: State) -> None:
        """Start a term.

        Merged versions count as staged now: proxies that were partitioned could not learn of them while there
        was no leader.
        """
        self.observe(now_us, state)
        self._leader_since_us = now_us
        self._proposed_version = 0

    def due(self, now_us: int, state: State, proxies: Iterable[ProxyStatus]) -> Activate | None:
        """Return the activation to propose now, if any; `proxies` are the live ones."""
        self.observe(now_us, state)
        if not self._staged_since_us:
            return None
        staged_everywhere = min((proxy.staged_version for proxy in proxies), default=0)
        fenced = self._fenced_versions(now_us, state)
        version = max(
            (
                version
                for version in state.staged_versions
                if (version <= staged_everywhere or self._has_timed_out(now_us, state, version))
                and not any(merged <= version for merged in fenced)
            ),
            default=0,
        )
        if not version or self._is_pending(now_us, version):
            return None
        self._proposed_version = version
        self._proposed_us = now_us
        return Activate(version)

    def last_staged_us(self) -> int | None:
        """Return when the newest staged version was staged; None if no version is staged."""
        return max(self._staged_since_us.values(), default=None)

    def _has_timed_out(self, now_us: int, state: State, version: int) -> bool:
        """Return whether rule 2 allows to activate the version."""
        return now_us - self._counted_since_us(state, version) >= ACTIVATION_TIMEOUT_US

    def _fenced_versions(self, now_us: int, state: State) -> list[int]:
        """Return the merged versions whose delay has not passed, so no newer version is activated either."""
        return [
            version
            for version in state.staged_versions
            if version in state.merged_versions
            and now_us - self._counted_since_us(state, version) < MERGED_VERSION_DELAY_US
        ]

    def _counted_since_us(self, state: State, version: int) -> int:
        """Return the time from which the delays of a staged version count."""
        since_us = self._staged_since_us[version]
        return max(since_us, self._leader_since_us) if version in state.merged_versions else since_us

    def _is_pending(self, now_us: int, version: int) -> bool:
        """Return whether this or a newer version was proposed within `ACTIVATION_RETRY_US`."""
        return version <= self._proposed_version and now_us - self._proposed_us < ACTIVATION_RETRY_US
