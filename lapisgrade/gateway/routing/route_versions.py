"""Which version of the configuration a request is matched by, while versions are being rolled out. Pure.

A version of the configuration passes through these states at a proxy::

    unknown --stage()--> staged --activate()--> active --activate(newer)--> dropped

Every proxy holds a version staged before the controllers order it active, and the order reaches the proxies
one after another. So while a version is staged, others may act by it already: no proxy may refuse what
another one accepts. Where the active and a staged version differ on whether a request is accepted, the client
is told to come back (503).
"""

from http import HTTPStatus

from lapisgrade.gateway.configuration import Mode
from lapisgrade.gateway.routing.route_table import RouteMatch, RouteTable
from lapisgrade.gateway.watch_timing import MISSED_VERSION_AFTER_US


class RouteVersions:
    """One proxy's active route table, and the staged ones."""

    def __init__(self) -> None:
        self.active: RouteTable | None = None
        self.staged: dict[int, RouteTable] = {}  # by version: newer than the active one
        self.merged_versions: set[int] = set()  # staged ones made of drafts from both sides of a partition
        self.confirmed_us = (
            -MISSED_VERSION_AFTER_US
        )  # when a watch request was sent that the leader answered: nothing missed

    def stage(self, table: RouteTable, is_merged: bool = False) -> None:
        """Hold a newer version ready; `is_merged`: made of drafts from both sides of a partition."""
        self.staged[table.version] = table
        if is_merged:
            self.merged_versions.add(table.version)

    def activate(self, table: RouteTable) -> None:
        """Match by that version from now on, and drop the staged ones that it replaces."""
        self.active = table
        self.staged = {version: each for version, each in self.staged.items() if version > table.version}
        self.merged_versions &= set(self.staged)

    def match(self, now_us: int, host: str, target: str, key: str) -> RouteMatch | HTTPStatus:
        """Match a request to its route.

        Returns:
            The rule and the tenant, or the HTTP status that refuses the request. 503 where it may be accepted
            a moment later: a staged version differs on it, or we may have missed a version that accepts it
            (guards a new tenant's first calls, and the last ones of one that is withdrawn).
        """
        if self.active is None:
            return HTTPStatus.SERVICE_UNAVAILABLE
        found = self.active.match(host, target, key)
        refused_by_staged = (isinstance(each.match(host, target, key), int) for each in self.staged.values())
        if any(is_refused is not isinstance(found, int) for is_refused in refused_by_staged):
            return HTTPStatus.SERVICE_UNAVAILABLE
        if isinstance(found, int):
            return HTTPStatus.SERVICE_UNAVAILABLE if self._may_have_missed_version(now_us) else found
        if self.merged_versions and self._waits_for_merge(found, host, target, key):
            return HTTPStatus.SERVICE_UNAVAILABLE
        return found

    def _may_have_missed_version(self, now_us: int) -> bool:
        return now_us - self.confirmed_us > MISSED_VERSION_AFTER_US

    def _waits_for_merge(self, found: RouteMatch, host: str, target: str, key: str) -> bool:
        """Whether a request that may run only once must wait for a merged version of its route.

        Guards claims and approvals that would take a route edited on both sides of a partition.
        """
        rule, _ = found
        if rule.mode is Mode.IDEM:
            return False
        merged = (self.staged[version] for version in self.merged_versions if version in self.staged)
        matches = (table.match(host, target, key) for table in merged)
        return any(not isinstance(each, int) and each[0] != rule for each in matches)
