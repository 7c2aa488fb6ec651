"""Commands in the replicated log, which the state machine of every controller applies.

A command is encoded as a MessagePack array that starts with its tag. Logs on disk contain the tags and the
fields in order, but no names of classes or fields, so these may be renamed. New fields go at the end and have
a default.
"""

import msgspec

from lapisgrade.gateway import configuration_change
from lapisgrade.gateway.configuration_delta import EncodedVersion
from lapisgrade.gateway.merge.three_way import Draft
from lapisgrade.gateway.operations.table import Claim
from lapisgrade.gateway.registry import Server


class ConfigurationChange(msgspec.Struct, array_like=True, tag="c", frozen=True):
    """A configuration change, as the operator sent it.

    Attributes:
        replaces_all: Whether `body` is a complete configuration; otherwise it lists the items to change.
        body: The change as JSON.
    """

    replaces_all: bool
    body: bytes

    @property
    def digest(self) -> bytes:
        """The digest of the change's content, without its formatting, and of `replaces_all`.

        Raises:
            msgspec.DecodeError: The body is not JSON.
        """
        return configuration_change.digest(self.body) + (b"w" if self.replaces_all else b"u")


class NewVersion(msgspec.Struct, array_like=True, tag="v", frozen=True):
    """The version that a valid change produces. Controllers apply it without validating the change again.

    Attributes:
        change_digest: The digest of the `ConfigurationChange`.
        encoded: The version, as a delta from the version that the change was validated against.
    """

    change_digest: bytes
    encoded: EncodedVersion


class ServerLeaving(msgspec.Struct, array_like=True, tag="w", frozen=True):
    """A server announced that it is draining or gone.

    Attributes:
        server: The id of the server.
        is_gone: Whether the server has ended; otherwise it is draining.
    """

    server: str
    is_gone: bool


class LiveProxies(msgspec.Struct, array_like=True, tag="k", frozen=True):
    """The list of live proxies, from which the owners of quota counts are computed.

    Attributes:
        members: Address, incarnation and zone of each proxy, by name.
        proxies_with_controller: Proxies on whose machine a controller runs.
        terminating_proxies: Proxies that are shutting down.
    """

    members: dict[str, tuple[str, str, str]]
    proxies_with_controller: list[str] = []
    terminating_proxies: list[str] = []


class ServerSnapshot(msgspec.Struct, array_like=True, tag="r", frozen=True):
    """The live servers in the leader's registry; the next leader initializes its registry from it."""

    servers: list[Server]


class Activate(msgspec.Struct, array_like=True, tag="f", frozen=True):
    """Activates a staged version; `version_activation` decides when."""

    version: int


class MergeDraft(msgspec.Struct, array_like=True, tag="b", frozen=True):
    """Merges a draft that was stored while its controller could not reach a leader."""

    draft: Draft


class CloseDraft(msgspec.Struct, array_like=True, tag="d", frozen=True):
    """Closes a draft whose conflicts an operator has settled or dropped."""

    draft_id: str


class ClaimOperations(msgspec.Struct, array_like=True, tag="o", frozen=True):
    """Claims of keyed operations, in the order in which the leader received them.

    Attributes:
        elapsed_us: Time since this leader's previous batch, in us; 0 for its first batch.
        retention_us: Time for which a record is kept, in us.
        claims: The claims, to be applied in order.
    """

    elapsed_us: int
    retention_us: int
    claims: list[Claim]


LogCommand = (
    ConfigurationChange
    | NewVersion
    | ServerLeaving
    | LiveProxies
    | ServerSnapshot
    | Activate
    | MergeDraft
    | CloseDraft
    | ClaimOperations
)


_STAGING_DECODER = msgspec.msgpack.Decoder(ConfigurationChange | NewVersion | MergeDraft)


def encode_command(command: LogCommand) -> bytes:
    """Return the command as the data of a log entry."""
    return msgspec.msgpack.encode(command)


def stages_version(data: bytes) -> bool:
    """Return whether the data of a log entry is a command that may stage a version."""
    try:
        _STAGING_DECODER.decode(data)
    except msgspec.MsgspecError:  # another command, no data, or a command of a later release
        return False
    return True
