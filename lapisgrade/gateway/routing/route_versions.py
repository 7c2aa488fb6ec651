"""Matching of requests while versions of the configuration are rolled out. Does no I/O.

A version of the configuration passes through these states at a proxy::

    unknown --stage()--> staged --activate()--> active --activate(newer)--> dropped

Every live proxy has staged a version before the leader activates it, and the proxies activate it one after
another. So while a version is staged here, other proxies may already use it, and no proxy may reject a
request that another one accepts. If the active and a staged version differ on whether a request is accepted,
the request is answered 503 and the client retries.
"""

from http import HTTPStatus

from lapisgrade.gateway.configuration import Mode
from lapisgrade.gateway.routing.route_table import RouteMatch, RouteTable
from lapisgrade.gateway.watch_timing import MISSED_VERSION_AFTER_US


class RouteVersions:
    """A proxy's active and staged route tables.

    Attributes:
        active: The active table; None before the first activation.
        staged: Staged tables by version; all are newer than the active one.
        merged_versions: Staged versions that were merged from both sides of a partition.
        confirmed_us: When the last watch request that the leader answered was sent. This proxy has not missed
            a version that was activated before.
    """

    def __init__(self) -> None:
        """Create the state of a proxy that has no version and may have missed one."""
        self.active: RouteTable | None = None
        self.staged: dict[int, RouteTable] = {}
        self.merged_versions: set[int] = set()
        self.confirmed_us = -MISSED_VERSION_AFTER_US

    def stage(self, table: RouteTable, is_merged: bool = False) -> None:
        """Stage a newer version.

        Args:
            table: The version's route table.
            is_merged: Whether it was merged from drafts of both sides of a partition.
        """
        self.staged[table.version] = table
        if is_merged:
            self.merged_versions.add(table.version)

    def activate(self, table: RouteTable) -> None:
        """Activate a version and drop the staged versions that it replaces."""
        self.active = table
        self.staged = {version: each for version, each in self.staged.items() if version > table.version}
        self.merged_versions &= set(self.staged)

    def match(self, now_us: int, host: str, target: str, key: str) -> RouteMatch | HTTPStatus:
        """Match a request to its route.

        Returns:
            The rule and the tenant, or the HTTP status of the rejection. The status is 503 if a retry may be
            accepted: a staged version differs on the request, or this proxy may have missed a version that
            accepts it. This protects the first requests of a new tenant and the last ones of a removed
            tenant.
        """
        if self.active is None:
            return HTTPStatus.SERVICE_UNAVAILABLE
        found = self.active.match(host, target, key)
        rejected_by_staged = (isinstance(each.match(host, target, key), int) for each in self.staged.values())
        if any(is_rejected is not isinstance(found, int) for is_rejected in rejected_by_staged):
            return HTTPStatus.SERVICE_UNAVAILABLE
        if isinstance(found, int):
            return HTTPStatus.SERVICE_UNAVAILABLE if self._may_have_missed_version(now_us) else found
        if self.merged_versions and self._must_wait_for_merge(found, host, target, key):
            return HTTPStatus.SERVICE_UNAVAILABLE
        return found

    def _may_have_missed_version(self, now_us: int) -> bool:
        return now_us - self.confirmed_us > MISSED_VERSION_AFTER_US

    def _must_wait_for_merge(self, found: RouteMatch, host: str, target: str, key: str) -> bool:
        """Return whether a non-idempotent request must wait for a merged version that changes its route.

        Otherwise claims and approvals might use a route that was edited on both sides of a partition.
        """
        rule, _ = found
        if rule.mode is Mode.IDEM:
            return False
        merged = (self.staged[version] for version in self.merged_versions if version in self.staged)
        matches = (table.match(host, target, key) for table in merged)
        return any(not isinstance(each, int) and each[0] != rule for each in matches)
