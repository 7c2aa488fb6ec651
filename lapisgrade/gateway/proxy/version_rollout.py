"""The versions of the configuration at one proxy: read as deltas, staged, and activated when ordered.

The leader sends each newer version ahead, as a delta on the one before; a proxy stages it and says so in its
next watch request. Once all live proxies have staged a version the leader orders it active. `route_versions`
says what a request meets meanwhile.
"""

import logging

import msgspec

from lapisgrade.gateway import configuration, rpc_messages
from lapisgrade.gateway.configuration_delta import EncodedVersion, decode
from lapisgrade.gateway.errors import ConfigurationError
from lapisgrade.gateway.proxy.client_front import ClientFront
from lapisgrade.gateway.routing.route_table import RouteTable
from lapisgrade.gateway.routing.router import Router

log = logging.getLogger("proxy")


class VersionRollout:
    """Stages and activates versions at the router and the clients' front."""

    def __init__(self, router: Router, client_front: ClientFront) -> None:
        self._router = router
        self._client_front = client_front
        self.active_version = 0  # 0: none yet
        self.has_lost_base = False  # a version could not be read: the next ones are asked for complete
        self._texts: dict[int, bytes] = {}  # of the active and the staged versions: bases of deltas

    @property
    def staged_version(self) -> int:
        """The newest version that is staged, or else the active one."""
        return max(self._router.tables.staged, default=self.active_version)

    def apply(self, reply: rpc_messages.WatchReply) -> None:
        """Activate the version that the leader orders, and stage newer ones.

        Raises:
            InvalidInputError: A version can't be read.
            msgspec.MsgspecError: A version is no JSON of that form.
        """
        staged = self._router.tables.staged
        if reply.active_configuration is not None and reply.active_version > self.active_version:
            self._activate(self._read(reply.active_configuration))
        elif reply.active_version in staged:
            self._activate(staged[reply.active_version])
        elif reply.active_version > self.active_version:
            staged.clear()  # the active version was never staged here: ask for it
        for version, encoded in reply.staged_versions.items():
            if version > self.active_version and version not in self._router.tables.staged:
                self._router.tables.stage(self._read(encoded), version in reply.merged_versions)
        self.has_lost_base = False

    def _activate(self, table: RouteTable) -> None:
        self.active_version = table.version
        self._client_front.apply_limits(table.configuration.caps)
        self._router.activate(table)
        log.info("version %d", self.active_version)

    def _read(self, encoded: EncodedVersion) -> RouteTable:
        """Decode a version, and remember its text as the base of the next one."""
        text = decode(encoded, self._texts.get(encoded.base, b""))
        table = RouteTable(configuration.read(msgspec.json.decode(text)))
        if table.version != encoded.version:
            raise ConfigurationError(f"version {encoded.version} calls itself {table.version}")
        kept = {self.active_version, table.version, *self._router.tables.staged}
        self._texts = {version: each for version, each in self._texts.items() if version in kept}
        self._texts[table.version] = text
        return table
