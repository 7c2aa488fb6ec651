"""Versions of the configuration at one proxy: decoding of deltas, staging and activation.

The leader sends each newer version in advance, as a delta on the previous one. A proxy stages it and reports
it in its next watch request. When all live proxies have staged a version, the leader activates it.
`route_versions` decides how requests are matched during the rollout.
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
    """Stages and activates versions at the router and the client listener.

    Attributes:
        active_version: The active version; 0 if there is none.
        requests_full_version: Whether the next versions are requested in full, as one could not be decoded.
    """

    def __init__(self, router: Router, client_front: ClientFront) -> None:
        self._router = router
        self._client_front = client_front
        self.active_version = 0
        self.requests_full_version = False
        # Encoded active and staged versions, by version; deltas are based on them.
        self._texts: dict[int, bytes] = {}

    @property
    def staged_version(self) -> int:
        """The newest staged version, or the active one if none is staged."""
        return max(self._router.route_versions.staged, default=self.active_version)

    def apply(self, reply: rpc_messages.WatchReply) -> None:
        """Activate the leader's active version and stage newer ones.

        Raises:
            InvalidInputError: A version is invalid.
            msgspec.MsgspecError: A version is not valid JSON or does not have the expected structure.
        """
        staged = self._router.route_versions.staged
        if reply.active_configuration is not None and reply.active_version > self.active_version:
            self._activate(self._read(reply.active_configuration))
        elif reply.active_version in staged:
            self._activate(staged[reply.active_version])
        elif reply.active_version > self.active_version:
            # The active version was never staged here. With nothing staged, the next watch request reports
            # the older version, so the leader sends the active one.
            staged.clear()
        for version, encoded in reply.staged_versions.items():
            if version > self.active_version and version not in self._router.route_versions.staged:
                self._router.route_versions.stage(self._read(encoded), version in reply.merged_versions)
        self.requests_full_version = False

    def _activate(self, table: RouteTable) -> None:
        self.active_version = table.version
        self._client_front.apply_limits(table.configuration.caps)
        self._router.activate(table)
        log.info("activated configuration version %d", self.active_version)

    def _read(self, encoded: EncodedVersion) -> RouteTable:
        """Decode a version and store its text as the base of later deltas."""
        text = decode(encoded, self._texts.get(encoded.base, b""), configuration.MAX_STORED_BYTES)
        try:
            table = RouteTable(configuration.read(msgspec.json.decode(text)))
        except RecursionError:
            raise ConfigurationError(
                f"configuration version {encoded.version} is nested too deeply"
            ) from None
        if table.version != encoded.version:
            raise ConfigurationError(
                f"configuration version {encoded.version} is invalid: its field Ver is {table.version}"
            )
        kept = {self.active_version, table.version, *self._router.route_versions.staged}
        self._texts = {version: base_text for version, base_text in self._texts.items() if version in kept}
        self._texts[table.version] = text
        return table
