"""Decides when a version of the configuration comes into force (becomes active). Pure; used by the leader.

A version passes through these states, at each proxy and for the cluster (fields: those of `WatchReply`):

          accepted, in `staged_versions`        `Activate` committed, `active_version`
    unknown ------------------------------> staged ------------------------------------> active
       |                                    |    |
       | no reply of the leader for         |    | made by merging drafts (`merged_versions`)
       | MISSED_VERSION_AFTER_US            |    v
       +---------------> in doubt <---------+  fenced

* staged: the proxy has the version, and still acts by the active one. It answers 503 (try again) to
  every request that exactly one of the two versions accepts.
* in doubt: the proxy may have missed a version. It answers 503 to everything that its active version refuses.
* fenced: a staged version that was merged from both sides of a partition. The proxy answers 503 to requests
  that may run only once and that the staged version routes otherwise than the active one.

Rules of activation, for the newest version that satisfies one of them:

1. At least one proxy is alive, all live ones have staged it, and, if it is merged, it was staged
   `MERGED_VERSION_DELAY_US` ago: a proxy that was partitioned is not among the live ones, and learns of the
   fence with its first watch request.
2. It was staged `ACTIVATION_TIMEOUT_US` ago: by then every proxy that has not staged it is in doubt.

So no proxy refuses for good what another one allows already (guards a new tenant against a proxy that lacks
it), and no request that may run once takes the old route after one took the merged route.
"""

from collections.abc import Iterable

import msgspec

from lapisgrade.gateway.controller.commands import Activate
from lapisgrade.gateway.controller.state import State

ACTIVATION_TIMEOUT_US = 1_400_000  # after staging; above watch_timing.MISSED_VERSION_AFTER_US
MERGED_VERSION_DELAY_US = 800_000  # after staging; above the time to a proxy's next watch request
ACTIVATION_RETRY_US = 300_000  # after which an activation that did not commit is proposed again


class ProxyStatus(msgspec.Struct):
    """What the leader knows of a live proxy.

    Attributes:
        address: Where it hears other proxies.
        incarnation: Identifies its process.
        zone: Its failure domain.
        last_seen_us: When its last watch request came.
        staged_version: The newest version that it has, active or not.
        active_version: The version that it acts by.
        has_local_controller: Whether a controller runs on its machine.
        is_terminating: Whether its process was told to shut down.
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
    """Remembers since when versions are staged, and what was proposed for them."""

    def __init__(self) -> None:
        self._staged_since_us: dict[int, int] = {}
        self._proposed_version = 0
        self._proposed_us = 0

    def become_leader(self, now_us: int, state: State) -> None:
        """Count from now for all staged versions.

        `ACTIVATION_TIMEOUT_US` later every proxy that was sent one by the last leader has reached this one,
        or is in doubt.
        """
        self._staged_since_us = dict.fromkeys(state.staged_versions, now_us)
        self._proposed_version = 0

    def due(self, now_us: int, state: State, proxies: Iterable[ProxyStatus]) -> Activate | None:
        """Return the activation to propose now, if any."""
        self._staged_since_us = {
            version: self._staged_since_us.get(version, now_us) for version in state.staged_versions
        }
        if not self._staged_since_us:
            return None
        staged_everywhere = self._staged_everywhere(now_us, state, proxies)
        version = max(
            (
                version
                for version, since_us in self._staged_since_us.items()
                if version <= staged_everywhere or now_us - since_us >= ACTIVATION_TIMEOUT_US
            ),
            default=0,
        )
        if not version or self._is_pending(now_us, version):
            return None
        self._proposed_version = version
        self._proposed_us = now_us
        return Activate(version)

    def _staged_everywhere(self, now_us: int, state: State, proxies: Iterable[ProxyStatus]) -> int:
        """Return the newest version that rule 1 lets come into force; 0 for none."""
        newest = min((proxy.staged_version for proxy in proxies), default=0)
        delayed = [
            version
            for version in state.merged_versions
            if now_us - self._staged_since_us.get(version, 0) < MERGED_VERSION_DELAY_US
        ]
        return min(newest, min(delayed) - 1) if delayed else newest

    def _is_pending(self, now_us: int, version: int) -> bool:
        """Return whether that version, or a newer one, was proposed a moment ago."""
        return version <= self._proposed_version and now_us - self._proposed_us < ACTIVATION_RETRY_US
