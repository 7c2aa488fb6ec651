"""The state that the log's commands add up to, and its snapshots.

A snapshot on disk bears the fields' names: `rename` keeps the encoded names as they were.
"""

import msgspec

from lapisgrade.gateway.configuration_delta import EncodedVersion, decode, encode
from lapisgrade.gateway.merge.three_way import Draft, MergeOutcome
from lapisgrade.gateway.registry import Server

MAX_STAGED_VERSIONS = 8  # each waits 1.4 s at most to come into force

_ENCODED_NAMES = {
    "live_proxies": "cast",
    "server_snapshot": "roll",
}


class State(msgspec.Struct, rename=_ENCODED_NAMES):
    """What all commands so far add up to.

    Attributes:
        conf: The newest configuration, as JSON; empty before the first.
        ver: Its version; 0 before the first.
        taken: Digests of the changes that were applied, by the version that each made; the oldest go.
        forgotten: The newest version whose digest is no longer in `taken`.
        acting: The active configuration (in force), as JSON.
        acting_ver: Its version, at most the newest.
        staged: Configurations newer than the active one, by version.
        merged: Those of the staged versions that were made by merging drafts.
        left: Servers that drain (False) or are gone (True), by id.
        server_snapshot: The live servers, as the leader knew them.
        live_proxies: Address, incarnation and zone of the live proxies, by name.
        core: Those on whose machine a controller runs.
        leaving: Those whose process was told to shut down.
        fence: The fencing token of the list of live proxies: the index of its log entry.
        prior: The fencing token of the list before.
        prior_owners: Who owned counts under the list before.
        ground: The newest acknowledged configuration, where drafts were merged on top of it; else empty.
        drafts: Those drafts.
        outcomes: What came of them, by id.
        shut: Ids of those that were closed since.
        past: Drafts merged earlier that still have conflicts, and what came of each, by id.
        seen: Ids of the last drafts that were merged, to recognize copies.
    """

    conf: bytes = b""
    ver: int = 0
    taken: dict[int, bytes] = {}
    left: dict[str, bool] = {}
    live_proxies: dict[str, tuple[str, str, str]] = {}
    core: list[str] = []
    server_snapshot: list[Server] = []
    fence: int = 0
    acting: bytes = b""
    acting_ver: int = 0
    staged: dict[int, bytes] = {}
    ground: bytes = b""
    drafts: list[Draft] = []
    outcomes: dict[str, MergeOutcome] = {}
    past: dict[str, tuple[Draft, MergeOutcome]] = {}
    shut: list[str] = []
    seen: list[str] = []
    merged: list[int] = []
    prior: int = 0
    leaving: list[str] = []
    prior_owners: list[str] = []
    forgotten: int = 0

    def stage(self, configuration: bytes, version: int) -> None:
        """Make a configuration the newest one; it waits to come into force."""
        self.conf = configuration
        self.ver = version
        self.staged[version] = configuration
        if len(self.staged) > MAX_STAGED_VERSIONS:  # comes into force with the next one
            del self.staged[next(iter(self.staged))]
        self.forget_activated_merges()

    def activate(self, version: int) -> None:
        """Bring a staged version into force; the versions before it will not be."""
        if version not in self.staged:
            return
        self.acting = self.staged[version]
        self.acting_ver = version
        self.staged = {each: text for each, text in self.staged.items() if each > version}
        self.forget_activated_merges()

    def forget_activated_merges(self) -> None:
        """Have `merged` name staged versions alone."""
        self.merged = [version for version in self.merged if version in self.staged]


class SavedState(msgspec.Struct, array_like=True):
    """A snapshot: the state without configurations, the newest of them, and the others as deltas on it."""

    state: State
    conf: bytes
    acting: EncodedVersion
    ground: EncodedVersion
    staged: dict[int, EncodedVersion]


_STATE_DECODER = msgspec.msgpack.Decoder(State)
_SAVED_STATE_DECODER = msgspec.msgpack.Decoder(SavedState)
_FIRST_BYTES_OF_MAPS = (*range(0x80, 0x90), 0xDE, 0xDF)  # MessagePack: a `State`, as older snapshots have it


def encode_snapshot(state: State) -> bytes:
    """Return the state as a snapshot."""

    def encode_delta(text: bytes) -> EncodedVersion:
        return encode(state.ver, text, state.ver, state.conf)

    without_texts = msgspec.structs.replace(state, conf=b"", acting=b"", ground=b"", staged={})
    staged = {version: encode_delta(text) for version, text in state.staged.items()}
    return msgspec.msgpack.encode(
        SavedState(without_texts, state.conf, encode_delta(state.acting), encode_delta(state.ground), staged)
    )


def decode_snapshot(data: bytes) -> State:
    """Return the state of a snapshot; a new state where that is empty."""
    if not data:
        return State()
    if data[0] in _FIRST_BYTES_OF_MAPS:
        return _STATE_DECODER.decode(data)
    saved = _SAVED_STATE_DECODER.decode(data)
    state = saved.state
    state.conf = saved.conf
    state.acting = decode(saved.acting, saved.conf)
    state.ground = decode(saved.ground, saved.conf)
    state.staged = {version: decode(encoded, saved.conf) for version, encoded in saved.staged.items()}
    return state
