"""Commands in the replicated log: what the state machine applies, on every controller alike.

A command is encoded as a MessagePack array that starts with its tag. The tags and the order of the fields are
what stands in logs on disk; names of classes and fields are free. Fields are only added at the end, with a
default.
"""

import msgspec

from lapisgrade.gateway import configuration_change
from lapisgrade.gateway.configuration_delta import EncodedVersion
from lapisgrade.gateway.merge.three_way import Draft
from lapisgrade.gateway.operations.table import Claim
from lapisgrade.gateway.registry import Server


class ConfigurationChange(msgspec.Struct, array_like=True, tag="c", frozen=True):
    """A change of the configuration, as the operator sent it.

    Attributes:
        replaces_all: Whether `body` is a whole configuration; else it has named items to change.
        body: JSON.
    """

    replaces_all: bool
    body: bytes

    @property
    def digest(self) -> bytes:
        """Identifies the change by its meaning; raises msgspec.DecodeError where it has none."""
        return configuration_change.digest(self.body) + (b"w" if self.replaces_all else b"u")


class NewVersion(msgspec.Struct, array_like=True, tag="v", frozen=True):
    """The version that a valid change makes, for all controllers to apply without validating it again.

    Attributes:
        change_digest: Of the `ConfigurationChange`.
        encoded: The version, as a delta on the one that the change was validated on.
    """

    change_digest: bytes
    encoded: EncodedVersion


class ServerLeaving(msgspec.Struct, array_like=True, tag="w", frozen=True):
    """A server drains, or has ended (`is_gone`), by its own request."""

    server: str
    is_gone: bool


class LiveProxies(msgspec.Struct, array_like=True, tag="k", frozen=True):
    """The list of live proxies, by which the owners of counts are chosen.

    Attributes:
        members: Address, incarnation and zone of each proxy, by its name.
        proxies_with_controller: Those on whose machine a controller runs.
        terminating_proxies: Those whose process was told to shut down.
    """

    members: dict[str, tuple[str, str, str]]
    proxies_with_controller: list[str] = []
    terminating_proxies: list[str] = []


class ServerSnapshot(msgspec.Struct, array_like=True, tag="r", frozen=True):
    """The live servers as the leader knew them; the next leader's registry starts from it."""

    servers: list[Server]


class Activate(msgspec.Struct, array_like=True, tag="f", frozen=True):
    """A staged version comes into force; `version_activation` says when."""

    version: int


class MergeDraft(msgspec.Struct, array_like=True, tag="b", frozen=True):
    """A draft that was stored while its controller reached no leader, to be merged."""

    draft: Draft


class CloseDraft(msgspec.Struct, array_like=True, tag="d", frozen=True):
    """An operator settled the conflicts of a draft, or gives them up."""

    draft_id: str


class ClaimOperations(msgspec.Struct, array_like=True, tag="o", frozen=True):
    """Claims of keyed operations, in the order in which the leader received them.

    Attributes:
        elapsed_us: What the leader has measured since its last batch; 0 for its first.
        retention_us: How long a record is kept.
        claims: To be recorded one after the other.
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


def encode_command(command: LogCommand) -> bytes:
    """Return the command as it stands in a log entry."""
    return msgspec.msgpack.encode(command)
