"""Drafts: edits made at a controller that reaches no leader, kept on disks until one takes them."""

import asyncio
import logging
from collections import Counter
from random import Random
from typing import Any, Protocol

import msgspec

from lapisgrade.gateway import rpc_messages
from lapisgrade.gateway.controller.replies import said
from lapisgrade.gateway.controller.state_machine import MOST_DRAFT, Answer, StateMachine
from lapisgrade.gateway.merge import three_way
from lapisgrade.gateway.merge.three_way import Draft
from lapisgrade.gateway.settings import Address, Bad, Settings, address
from lapisgrade.gateway.storage.draft_store import DraftStore, Full

log = logging.getLogger("controller")

COPY_TIMEOUT_S = 0.35  # that a neighbour may take to keep a copy: a sync, and the way there and back
OFFER_INTERVAL_S = 0.5  # between two times that drafts kept here are offered to whoever leads


class DraftHost(Protocol):
    """What drafts need of their controller."""

    settings: Settings
    inner: Address  # where other controllers reach it
    random: Random
    counts: Counter[str]
    state_machine: StateMachine
    draft_store: DraftStore | None
    rpc: Any

    def controllers(self) -> list[str]:
        """Addresses of all controllers."""

    async def forward(self, call: str, of: str, body: bytes) -> rpc_messages.ForwardCallReply:
        """Have the leader answer a call."""


class DraftService:
    """Takes drafts, copies them to other controllers, and offers them until the log has them."""

    def __init__(self, host: DraftHost) -> None:
        self._host = host
        self._offering: asyncio.Task | None = None

    def close(self) -> None:
        """Offer nothing any more."""
        if self._offering is not None:
            self._offering.cancel()

    async def take(self, body: bytes) -> rpc_messages.ForwardCallReply:
        """Keep an edit as a draft on what this controller knows last, on as many disks of its side as
        answer."""
        host = self._host
        try:
            draft = self._decoded(body)
        except msgspec.MsgspecError:
            return said(Answer(400, "the body is not whole JSON"))
        except (Bad, KeyError, TypeError, AttributeError) as wrong:
            return said(Answer(400, str(wrong)))
        if isinstance(draft, Answer):
            return said(draft)
        status = await self.keep(draft)
        if status != 200:
            return said(Answer(status, "the draft could not be kept on this disk"))
        places = [address(each) for each in host.controllers() if each != str(host.inner)]
        asked = [host.rpc.call(place, rpc_messages.CopyDraft(draft), COPY_TIMEOUT_S) for place in places]
        got = [each.value_or(None) for each in await asyncio.gather(*asked)]
        disks = 1 + sum(isinstance(each, rpc_messages.CopyDraftReply) and each.is_stored for each in got)
        told = {"Id": draft.id, "Base": draft.base, "Disks": disks, "InForce": False}
        return rpc_messages.ForwardCallReply(202, msgspec.json.encode(told))

    def _decoded(self, body: bytes) -> Draft | Answer:
        """The draft that a call brings, or why it is refused; Bad and others where it is none."""
        host, state = self._host, self._host.state_machine.state
        raw = msgspec.json.decode(body)
        if not isinstance(raw, dict) or not isinstance(raw.get("By"), str):
            raise Bad("a draft is an object, and says By whom it is")
        if not state.conf or host.draft_store is None:
            return Answer(409, "no configuration is known here, or no disk is here")
        if raw.get("Base") != state.ver:
            return Answer(412, f"version {state.ver} is the newest that is known here")
        return three_way.drafted(msgspec.json.decode(state.conf), raw, raw["By"], host.settings.hostname)

    async def keep(self, draft: Draft) -> int:
        """Put a draft on this disk; the HTTP status, 200 once it is there."""
        host = self._host
        if host.draft_store is None:
            return 409
        if len(msgspec.msgpack.encode(draft)) > MOST_DRAFT:
            return 413
        try:
            await host.draft_store.keep(draft)
        except Full:
            return 429
        except OSError as wrong:
            log.warning("a draft was not kept: %s", wrong)
            return 503
        host.counts["drafts kept"] += 1
        self.hand_in()
        return 200

    def hand_in(self) -> None:
        """Have what is kept here offered until the log has it."""
        if self._host.draft_store.kept and (self._offering is None or self._offering.done()):
            self._offering = asyncio.get_running_loop().create_task(self._offer())

    async def _offer(self) -> None:
        host, refused = self._host, ""
        while host.draft_store.kept:
            await asyncio.sleep(OFFER_INTERVAL_S * (0.5 + host.random.random()))
            for draft in list(host.draft_store.kept.values()):
                got = await host.forward("drafts.hand", "", msgspec.msgpack.encode(draft))
                if got.status == 200:
                    await self._drop(draft)
                elif got.status == 409 and refused != draft.id:
                    refused = draft.id
                    log.warning("draft %s waits here: %s", draft.id, got.body.decode())
                if got.status == 503:
                    break  # nobody leads: the others would hear the same

    async def _drop(self, draft: Draft) -> None:
        """The log has it."""
        try:
            await self._host.draft_store.drop(draft.id)
            self._host.counts["drafts handed in"] += 1
        except OSError as wrong:
            log.warning("a draft that was handed in is still kept: %s", wrong)

    def listed(self, led: rpc_messages.ForwardCallReply) -> rpc_messages.ForwardCallReply:
        """What the leader tells of drafts, and those kept here that it has not."""
        host = self._host
        merged = msgspec.json.decode(led.body) if led.status == 200 else []
        ids = {each["Id"] for each in merged}
        kept = host.draft_store.kept.values() if host.draft_store is not None else ()
        here = [three_way.told(each, None) for each in kept if each.id not in ids]
        out = {"Leader": led.status == 200, "Newest": host.state_machine.state.ver, "Drafts": merged + here}
        return rpc_messages.ForwardCallReply(200, msgspec.json.encode(out))
