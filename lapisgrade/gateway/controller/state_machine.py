"""What the log adds up to: the configuration in force, and which servers said that they leave. Pure: the same
entries give the same state on every machine. A change is judged here, in the log's order, and nowhere
else."""

import msgspec

from lapisgrade.gateway import configuration, configuration_change
from lapisgrade.gateway.configuration_delta import EncodedVersion, decode, encode
from lapisgrade.gateway.errors import InvalidInputError
from lapisgrade.gateway.merge import three_way
from lapisgrade.gateway.merge.fields import fields
from lapisgrade.gateway.merge.three_way import Draft, Outcome
from lapisgrade.gateway.quota.ownership import eligible_owners
from lapisgrade.gateway.registry import Server

MOST_TAKEN = 4096  # versions whose changes are remembered, to know one that is sent again; days of changes
MOST_STAGED = 8  # versions that wait to come into force; each waits 1.4 s at most
MOST_DRAFTS = 16  # merged since the last acknowledged change, or with something open; bounds the state
MOST_DRAFT = 128 * 1024  # bytes of one, as it stands in the log
MOST_SEEN = 512  # drafts that are known again when a copy of one comes late
MOST_LEFT = 16_384  # servers that left or drain; more than a deployment has at once


class Change(msgspec.Struct, array_like=True, tag="c", frozen=True):
    """A configuration, whole or by named items, as the operator sent it."""

    whole: bool
    body: bytes

    @property
    def digest(self) -> bytes:
        """Of its meaning; msgspec.DecodeError where it has none."""
        return configuration_change.digest(self.body) + (b"w" if self.whole else b"u")


class NewVersion(msgspec.Struct, array_like=True, tag="v", frozen=True):
    """A change that was judged proper on a version: what it makes of that, for all to apply alike without
    judging it again."""

    change: bytes  # digest of what the operator sent
    encoded: EncodedVersion


class ServerLeaving(msgspec.Struct, array_like=True, tag="w", frozen=True):
    """A server's word that it drains, or that it is gone."""

    server: str
    gone: bool


class LiveProxies(msgspec.Struct, array_like=True, tag="k", frozen=True):
    """The proxies that live, each with its address, life and zone: duties are cut over them by key. `core`
    names those beside whom a controller stands, `leaving` those that were told to end."""

    members: dict[str, tuple[str, str, str]]
    core: list[str] = []
    leaving: list[str] = []


class ServerSnapshot(msgspec.Struct, array_like=True, tag="r", frozen=True):
    """The servers that live, as the leader knew them: where a new one begins, before it has heard any
    beat."""

    servers: list[Server]


class Activate(msgspec.Struct, array_like=True, tag="f", frozen=True):
    """The order that brings a version into force: all in touch hold it ready, or refuse nobody by less."""

    ver: int


class MergeDraft(msgspec.Struct, array_like=True, tag="b", frozen=True):
    """A draft that was kept on one side of a break, brought to those who can put it into force."""

    draft: Draft


class CloseDraft(msgspec.Struct, array_like=True, tag="d", frozen=True):
    """An operator's word that what is open of a draft is settled, or is not wanted any more."""

    id: str


Item = Change | NewVersion | ServerLeaving | LiveProxies | ServerSnapshot | Activate | MergeDraft | CloseDraft


class Answer(msgspec.Struct, array_like=True, frozen=True):
    """A status of HTTP, and what is wrong."""

    status: int
    wrong: str = ""


class State(msgspec.Struct, rename={"live_proxies": "cast", "server_snapshot": "roll"}):
    """What all entries so far add up to. `rename` keeps the names of fields that snapshots on disk bear."""

    conf: bytes = b""  # the newest configuration taken, whole, as JSON; empty before the first
    ver: int = 0
    taken: dict[int, bytes] = {}  # version: digest of the change that made it
    left: dict[str, bool] = {}  # server: whether it is gone
    live_proxies: dict[str, tuple[str, str, str]] = {}
    core: list[str] = []  # of the list of live proxies
    server_snapshot: list[Server] = []
    # the place in the log of the list of live proxies: what is done under an older one is void
    fence: int = 0
    acting: bytes = b""  # the configuration in force, and its version: at most the newest
    acting_ver: int = 0
    staged: dict[
        int, bytes
    ] = {}  # those taken since, up to the newest: held ready, in force one after another
    ground: bytes = b""  # the newest one that was acknowledged, where drafts were merged on top of it
    drafts: list[Draft] = []  # those
    outcomes: dict[str, Outcome] = {}  # of those, by id
    past: dict[str, tuple[Draft, Outcome]] = {}  # earlier ones with something that is open
    shut: list[str] = []  # of `drafts`: what was open is settled
    seen: list[str] = []  # all that came lately
    merged: list[int] = []  # of `staged`: versions that drafts made
    prior: int = 0  # the fence of the list of live proxies before
    leaving: list[str] = []  # of the list of live proxies: those that were told to end
    prior_owners: list[str] = []  # who owned counts under the list of live proxies before
    forgotten: int = 0  # up to which version changes are not remembered any more


class SavedState(msgspec.Struct, array_like=True):
    """A snapshot: the state without its versions' texts, the newest text, and the others as deltas on it."""

    state: State
    conf: bytes
    acting: EncodedVersion
    ground: EncodedVersion
    staged: dict[int, EncodedVersion]


_ITEM = msgspec.msgpack.Decoder(Item)
_STATE = msgspec.msgpack.Decoder(State)
_SAVED = msgspec.msgpack.Decoder(SavedState)
_MAPS = (*range(0x80, 0x90), 0xDE, 0xDF)  # first bytes of a map in MessagePack: a state as it was saved once


def encoded(item: Item) -> bytes:
    return msgspec.msgpack.encode(item)


class StateMachine:
    """The state, and the one way to change it."""

    def __init__(self) -> None:
        self.state = State()

    def dump(self) -> bytes:
        """The state as a snapshot."""
        state = self.state

        def saved(text: bytes) -> EncodedVersion:
            return encode(state.ver, text, state.ver, state.conf)

        bare = msgspec.structs.replace(state, conf=b"", acting=b"", ground=b"", staged={})
        staged = {ver: saved(text) for ver, text in state.staged.items()}
        return msgspec.msgpack.encode(
            SavedState(bare, state.conf, saved(state.acting), saved(state.ground), staged)
        )

    def load(self, data: bytes) -> None:
        """Take a snapshot over; none at all where it is empty."""
        if not data or data[0] in _MAPS:
            self.state = _STATE.decode(data) if data else State()
            return
        saved = _SAVED.decode(data)
        self.state = state = saved.state
        state.conf = saved.conf
        state.acting, state.ground = decode(saved.acting, saved.conf), decode(saved.ground, saved.conf)
        state.staged = {ver: decode(each, saved.conf) for ver, each in saved.staged.items()}

    def take(self, index: int, data: bytes) -> Answer:
        """Take one entry of the log over."""
        item = _ITEM.decode(data)
        if isinstance(item, LiveProxies):
            self._take_live_proxies(index, item)
            return Answer(200)
        if isinstance(item, ServerSnapshot):
            self.state.server_snapshot = item.servers
            return Answer(200)
        if isinstance(item, Activate):
            state = self.state
            if item.ver in state.staged:
                state.acting, state.acting_ver = state.staged[item.ver], item.ver
                state.staged = {ver: conf for ver, conf in state.staged.items() if ver > item.ver}
                state.merged = [each for each in state.merged if each in state.staged]
            return Answer(200)
        if isinstance(item, ServerLeaving):
            left = self.state.left
            left[item.server] = left.pop(item.server, False) or item.gone
            while len(left) > MOST_LEFT:
                del left[next(iter(left))]
            return Answer(200)
        if isinstance(item, MergeDraft):
            return self._merge_draft(item.draft)
        if isinstance(item, CloseDraft):
            return self._close_draft(item.id)
        if isinstance(item, NewVersion):
            return self._accept(item)
        answer, made = self.judge(item)
        if made is not None:
            self._take_over(*made, item.digest)
        return answer

    def _take_live_proxies(self, index: int, item: LiveProxies) -> None:
        state = self.state
        state.prior_owners = sorted(eligible_owners(state.live_proxies, state.core, state.leaving))
        state.prior, state.fence = state.fence, index
        state.live_proxies, state.core, state.leaving = item.members, item.core, item.leaving

    def accepted(self, change: Change) -> tuple[Answer, NewVersion | None]:
        """What a change would be answered now, and where it is proper what to put into the log for it."""
        answer, made = self.judge(change)
        if made is None:
            return answer, None
        text, ver = made
        state = self.state
        return answer, NewVersion(change.digest, encode(ver, text, state.ver, state.conf))

    def _accept(self, item: NewVersion) -> Answer:
        state, encoded = self.state, item.encoded
        if state.taken.get(encoded.ver) == item.change:
            return Answer(200)  # the same change again
        if encoded.base != state.ver:
            return Answer(412, f"version {state.ver} is in force, not {encoded.base}")
        self._take_over(decode(encoded, state.conf), encoded.ver, item.change)
        return Answer(200)

    def _take_over(self, text: bytes, ver: int, change: bytes) -> None:
        state = self.state
        self._leave_drafts()
        self._stage(text, ver)
        state.taken[ver] = change
        while len(state.taken) > MOST_TAKEN:
            state.forgotten = next(iter(state.taken))
            del state.taken[state.forgotten]

    def _stage(self, conf: bytes, ver: int) -> None:
        state = self.state
        state.conf, state.ver = conf, ver
        state.staged[ver] = conf
        if len(state.staged) > MOST_STAGED:  # it comes into force with the next
            del state.staged[next(iter(state.staged))]
        state.merged = [each for each in state.merged if each in state.staged]

    # ---- drafts

    def _merge_draft(self, draft: Draft) -> Answer:
        """Merge one with those that are there; the result is a version like any other."""
        state = self.state
        if draft.id in state.seen:
            return Answer(200)  # a copy
        if len(state.drafts) + len(state.past) >= MOST_DRAFTS:
            return Answer(409, f"{MOST_DRAFTS} drafts are there already: settle or drop one")
        if not state.conf:
            return Answer(409, "there is no configuration yet")
        ground = state.ground or state.conf
        try:
            conf, outcomes = three_way.merge_drafts(msgspec.json.decode(ground), [*state.drafts, draft])
        except (KeyError, TypeError, ValueError, IndexError, AttributeError):  # it came from a peer
            return Answer(400, "not a draft")
        state.ground, state.outcomes = ground, outcomes
        state.drafts = [*state.drafts, draft]
        state.seen = [*state.seen, draft.id][-MOST_SEEN:]
        if fields(conf) != fields(msgspec.json.decode(state.conf)):
            ver = state.ver + 1
            self._stage(msgspec.json.encode({**conf, "Ver": ver}), ver)
            state.merged = [*state.merged, ver]
        return Answer(200)

    def _close_draft(self, name: str) -> Answer:
        state = self.state
        if name in state.past:
            del state.past[name]
        elif name in state.outcomes:
            state.shut = [*state.shut, name]
        else:
            return Answer(404, "no such draft is open")
        return Answer(200)

    def _leave_drafts(self) -> None:
        """A change was acknowledged: what the drafts came to is part of what it was made on."""
        state = self.state
        for draft in state.drafts:
            outcome = state.outcomes[draft.id]
            if outcome.open and draft.id not in state.shut:
                state.past[draft.id] = (draft, outcome)
        state.ground, state.drafts, state.outcomes, state.shut = b"", [], {}, []

    def open_drafts(self) -> dict[str, tuple[Draft, Outcome]]:
        """The drafts that were merged since the last acknowledged change, and those with something open."""
        state = self.state
        found = {each.id: (each, state.outcomes[each.id]) for each in state.drafts}
        for name in state.shut:
            draft, outcome = found[name]
            found[name] = (draft, Outcome(outcome.stand))
        return {**state.past, **found}

    def judge(self, change: Change) -> tuple[Answer, tuple[bytes, int] | None]:
        """What a change would be answered now, and the configuration and version that it would make."""
        if len(change.body) > configuration.MAX_BYTES:
            return Answer(413, "the configuration is too long"), None
        try:
            raw = msgspec.json.decode(change.body)
        except (msgspec.MsgspecError, RecursionError):
            return Answer(400, "the body is not whole JSON"), None
        if not isinstance(raw, dict):
            return Answer(400, "a configuration is an object"), None
        state, ver, base = self.state, raw.get("Ver"), raw.get("Base", 0)
        if type(ver) is not int or type(base) is not int:
            return Answer(400, "Ver and Base are whole numbers"), None
        if ver in state.taken and state.taken[ver] == change.digest:
            return Answer(200), None  # the same change again
        if 0 < ver <= state.forgotten:
            return Answer(504, f"whether version {ver} was this change is not known any more"), None
        if ver <= state.ver:
            status = 412 if base != state.ver else 400
            return Answer(status, f"version {ver} is not above {state.ver}, which is in force"), None
        try:
            if change.whole:
                made = {name: each for name, each in raw.items() if name != "Base"}
            else:
                current = msgspec.json.decode(state.conf) if state.conf else {}
                made = configuration_change.apply_change(current, raw)
            configuration.read(made)
        except (InvalidInputError, KeyError, TypeError, AttributeError) as wrong:
            return Answer(400, str(wrong)), None
        if base != state.ver:
            return Answer(412, f"version {state.ver} is in force, not {base}"), None
        return Answer(200), (msgspec.json.encode(made), ver)
