"""The replicated state, and its snapshots.

Snapshots on disk contain the names of the fields; `rename` keeps the encoded names as they were.
"""

import msgspec

from lapisgrade.gateway.configuration import MAX_STORED_BYTES
from lapisgrade.gateway.configuration_delta import EncodedVersion, decode, encode
from lapisgrade.gateway.merge.three_way import Draft, MergeOutcome
from lapisgrade.gateway.operations.table import OperationTable
from lapisgrade.gateway.registry import Server

MAX_STAGED_VERSIONS = 8  # beyond this number the oldest is dropped, since later versions supersede it

_ENCODED_NAMES = {
    "configuration": "conf",
    "version": "ver",
    "applied_changes": "taken",
    "departed_servers": "left",
    "proxies_with_controller": "core",
    "fencing_token": "fence",
    "active_configuration": "acting",
    "active_version": "acting_ver",
    "staged_versions": "staged",
    "merge_base": "ground",
    "unresolved_drafts": "past",
    "closed_drafts": "shut",
    "merged_draft_ids": "seen",
    "merged_versions": "merged",
    "previous_fencing_token": "prior",
    "terminating_proxies": "leaving",
    "previous_owners": "prior_owners",
    "forgotten_version": "forgotten",
    "live_proxies": "cast",
    "server_snapshot": "roll",
}


class State(msgspec.Struct, rename=_ENCODED_NAMES):
    """The result of all commands applied so far.

    Attributes:
        configuration: The newest configuration as JSON; empty before the first.
        version: The version of the newest configuration; 0 before the first.
        applied_changes: Digests of changes, by the version that each produced; the oldest are dropped.
        forgotten_version: The newest version whose digest was dropped from `applied_changes`.
        active_configuration: The active configuration as JSON.
        active_version: The version of the active configuration, at most `version`.
        staged_versions: Configurations newer than the active one, as JSON by version.
        merged_versions: The staged versions that were produced by merging drafts.
        departed_servers: Servers that are draining (False) or gone (True), by id.
        server_snapshot: The live servers in the leader's registry, from the last `ServerSnapshot`.
        live_proxies: Address, incarnation and zone of the live proxies, by name.
        proxies_with_controller: Live proxies on whose machine a controller runs.
        terminating_proxies: Live proxies that are shutting down.
        fencing_token: The fencing token of the list of live proxies: the index of its log entry.
        previous_fencing_token: The fencing token of the previous list.
        previous_owners: The proxies that owned quota counts under the previous list.
        merge_base: The newest acknowledged configuration if drafts were merged on top of it; otherwise empty.
        drafts: The drafts merged on top of `merge_base`.
        outcomes: The merge outcomes of `drafts`, by draft id.
        closed_drafts: Ids of drafts in `drafts` that were closed after the merge.
        unresolved_drafts: Drafts merged earlier that still have conflicts, with their outcomes, by draft id.
        merged_draft_ids: Ids of the last merged drafts, by which duplicates are recognized.
        operations: The attempts that hold operation keys.
    """

    configuration: bytes = b""
    version: int = 0
    applied_changes: dict[int, bytes] = {}
    departed_servers: dict[str, bool] = {}
    live_proxies: dict[str, tuple[str, str, str]] = {}
    proxies_with_controller: list[str] = []
    server_snapshot: list[Server] = []
    fencing_token: int = 0
    active_configuration: bytes = b""
    active_version: int = 0
    staged_versions: dict[int, bytes] = {}
    merge_base: bytes = b""
    drafts: list[Draft] = []
    outcomes: dict[str, MergeOutcome] = {}
    unresolved_drafts: dict[str, tuple[Draft, MergeOutcome]] = {}
    closed_drafts: list[str] = []
    merged_draft_ids: list[str] = []
    merged_versions: list[int] = []
    previous_fencing_token: int = 0
    terminating_proxies: list[str] = []
    previous_owners: list[str] = []
    forgotten_version: int = 0
    operations: OperationTable = msgspec.field(default_factory=OperationTable)

    def stage(self, configuration: bytes, version: int) -> None:
        """Make a configuration the newest version, to be activated later."""
        self.configuration = configuration
        self.version = version
        self.staged_versions[version] = configuration
        if len(self.staged_versions) > MAX_STAGED_VERSIONS:  # a later version supersedes it
            del self.staged_versions[next(iter(self.staged_versions))]
        self.forget_activated_merges()

    def activate(self, version: int) -> None:
        """Activate a version and drop the staged versions before it; no effect if it is not staged."""
        if version not in self.staged_versions:
            return
        self.active_configuration = self.staged_versions[version]
        self.active_version = version
        self.staged_versions = {each: text for each, text in self.staged_versions.items() if each > version}
        self.forget_activated_merges()

    def forget_activated_merges(self) -> None:
        """Remove from `merged_versions` all versions that are no longer staged."""
        self.merged_versions = [
            version for version in self.merged_versions if version in self.staged_versions
        ]


class SavedState(msgspec.Struct, array_like=True):
    """A snapshot: the state without its configurations, the newest configuration, and the others.

    The other configurations are stored as deltas from the newest one.
    """

    state: State
    configuration: bytes
    active_configuration: EncodedVersion
    merge_base: EncodedVersion
    staged_versions: dict[int, EncodedVersion]


_STATE_DECODER = msgspec.msgpack.Decoder(State)
_SAVED_STATE_DECODER = msgspec.msgpack.Decoder(SavedState)
_FIRST_BYTES_OF_MAPS = (*range(0x80, 0x90), 0xDE, 0xDF)  # MessagePack maps: older snapshots are a `State`


def encode_snapshot(state: State) -> bytes:
    """Return the state as a snapshot."""

    def encode_delta(text: bytes) -> EncodedVersion:
        """Encode a configuration as a delta from the newest one."""
        return encode(state.version, text, state.version, state.configuration)

    without_texts = msgspec.structs.replace(
        state, configuration=b"", active_configuration=b"", merge_base=b"", staged_versions={}
    )
    staged = {version: encode_delta(text) for version, text in state.staged_versions.items()}
    return msgspec.msgpack.encode(
        SavedState(
            without_texts,
            state.configuration,
            encode_delta(state.active_configuration),
            encode_delta(state.merge_base),
            staged,
        )
    )


def decode_snapshot(data: bytes) -> State:
    """Return the state in a snapshot; the initial state if `data` is empty.

    Raises:
        msgspec.MsgspecError: The snapshot has another structure.
        ConfigurationError: A configuration in it can't be decoded.
    """
    if not data:
        return State()
    if data[0] in _FIRST_BYTES_OF_MAPS:
        return _STATE_DECODER.decode(data)
    saved = _SAVED_STATE_DECODER.decode(data)

    def decode_delta(encoded: EncodedVersion) -> bytes:
        """Decode a configuration that is stored as a delta from the newest one."""
        return decode(encoded, saved.configuration, MAX_STORED_BYTES)

    state = saved.state
    state.configuration = saved.configuration
    state.active_configuration = decode_delta(saved.active_configuration)
    state.merge_base = decode_delta(saved.merge_base)
    state.staged_versions = {
        version: decode_delta(encoded) for version, encoded in saved.staged_versions.items()
    }
    return state
