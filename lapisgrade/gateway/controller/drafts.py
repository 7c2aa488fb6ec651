"""Drafts: edits made at a controller that can't reach a leader, stored on disk until they are committed.

A draft is stored on this controller's disk and replicated to the disks of the controllers that respond. Each
of them sends its copy to the leader, as soon as there is one, and removes it once the draft is committed. A
draft that the leader refuses stays on the disk and is sent again. The state machine recognizes duplicates by
the draft's id.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from random import Random

import msgspec

from lapisgrade.gateway import rpc_messages
from lapisgrade.gateway.configuration_values import check_values
from lapisgrade.gateway.controller.change_validation import ApplyResult
from lapisgrade.gateway.controller.draft_merging import MAX_DRAFT_BYTES
from lapisgrade.gateway.controller.leader_calls import DELIVER_DRAFT
from lapisgrade.gateway.controller.metrics import ControllerMetrics
from lapisgrade.gateway.controller.replies import encode_error, encode_result
from lapisgrade.gateway.controller.state_machine import StateMachine
from lapisgrade.gateway.errors import InvalidInputError
from lapisgrade.gateway.merge import three_way
from lapisgrade.gateway.merge.three_way import Draft
from lapisgrade.gateway.rpc import RpcEndpoint
from lapisgrade.gateway.rpc_messages import ForwardCallReply
from lapisgrade.gateway.settings import Address, parse_address
from lapisgrade.gateway.storage.draft_store import DraftStore, DraftStoreFullError

log = logging.getLogger("controller")

COPY_TIMEOUT_S = 0.35  # time-out for storing a copy at a peer: covers a disk sync and a round trip
DELIVERY_INTERVAL_S = 0.5  # average interval between attempts to deliver the stored drafts

ForwardFunction = Callable[[str, str, bytes], Awaitable[ForwardCallReply]]
"""Executes a call on the leader, given the call's name, subject and body; see `CallForwarder.forward`."""


class DraftDelivery:
    """Stores drafts on this disk, and sends them to the leader until they are committed."""

    def __init__(
        self, store: DraftStore | None, forward: ForwardFunction, random: Random, metrics: ControllerMetrics
    ) -> None:
        """`store` is None on a controller without a disk; `forward` executes a call on the leader."""
        self._store = store
        self._forward = forward
        self._random = random
        self._metrics = metrics
        self._task: asyncio.Task[None] | None = None

    def close(self) -> None:
        """Stop sending drafts."""
        if self._task is not None:
            self._task.cancel()

    @property
    def has_disk(self) -> bool:
        """Whether this controller can store drafts."""
        return self._store is not None

    def stored(self) -> list[Draft]:
        """Return the drafts on this disk."""
        return list(self._store.drafts.values()) if self._store is not None else []

    async def store(self, draft: Draft) -> HTTPStatus:
        """Write a draft to this disk; return OK, or the HTTP status of the error."""
        if self._store is None:
            return HTTPStatus.CONFLICT
        if len(msgspec.msgpack.encode(draft)) > MAX_DRAFT_BYTES:
            return HTTPStatus.REQUEST_ENTITY_TOO_LARGE
        try:
            await self._store.add(draft)
        except DraftStoreFullError:
            return HTTPStatus.TOO_MANY_REQUESTS
        except OSError as error:
            log.warning("could not write a draft to this disk: %s", error)
            return HTTPStatus.SERVICE_UNAVAILABLE
        self._metrics.drafts_stored += 1
        self.start()
        return HTTPStatus.OK

    def start(self) -> None:
        """Start sending the stored drafts, if there are any and no task is running."""
        store = self._store
        if store is not None and store.drafts and (self._task is None or self._task.done()):
            self._task = asyncio.get_running_loop().create_task(self._deliver_drafts(store))

    async def _deliver_drafts(self, store: DraftStore) -> None:
        """Send the stored drafts to the leader at intervals, until all are committed."""
        refused_ids: set[str] = set()  # so that the refusal of each draft is logged once
        while store.drafts:
            await asyncio.sleep(DELIVERY_INTERVAL_S * (0.5 + self._random.random()))
            for draft in list(store.drafts.values()):
                reply = await self._forward(DELIVER_DRAFT, "", msgspec.msgpack.encode(draft))
                if reply.status == HTTPStatus.OK:
                    await self._remove(store, draft)
                elif reply.status < HTTPStatus.INTERNAL_SERVER_ERROR and draft.id not in refused_ids:
                    refused_ids.add(draft.id)
                    log.warning(
                        "leader rejected draft %s, kept on this disk: %s", draft.id, reply.body.decode()
                    )
                if reply.status == HTTPStatus.SERVICE_UNAVAILABLE:
                    break  # no leader is known, so the other drafts would fail too

    async def _remove(self, store: DraftStore, draft: Draft) -> None:
        """Remove a draft that is committed."""
        try:
            await store.remove(draft.id)
            self._metrics.drafts_delivered += 1
        except OSError as error:
            log.warning("could not remove a delivered draft from this disk: %s", error)


class DraftService:
    """Accepts drafts from operators and copies from peers, and lists the stored drafts."""

    def __init__(
        self,
        delivery: DraftDelivery,
        state_machine: StateMachine,
        rpc: RpcEndpoint,
        own_address: Address,
        voter_addresses: Callable[[], list[str]],
        hostname: Callable[[], str],
    ) -> None:
        """`own_address` and `voter_addresses` are addresses for calls between controllers."""
        self._delivery = delivery
        self._state_machine = state_machine
        self._rpc = rpc
        self._own_address = own_address
        self._voter_addresses = voter_addresses
        self._hostname = hostname

    async def accept(self, body: bytes) -> ForwardCallReply:
        """Store an edit of the newest version known here as a draft, and replicate it to the peers.

        Args:
            body: The body of `conf.draft`, not validated yet.

        Returns:
            202 with the draft's id and the number of disks that store it, or an error reply.
        """
        try:
            draft = self._decode(body)
        except (msgspec.MsgspecError, RecursionError):
            return encode_error(HTTPStatus.BAD_REQUEST, "the body is not whole JSON")
        except (InvalidInputError, KeyError, TypeError, AttributeError) as error:
            return encode_error(HTTPStatus.BAD_REQUEST, str(error))
        if isinstance(draft, ApplyResult):
            return encode_result(draft)
        status = await self._delivery.store(draft)
        if status != HTTPStatus.OK:
            return encode_error(status, "the draft could not be kept on this disk")
        disks = 1 + await self._copy_to_peers(draft)
        reply = {"Id": draft.id, "Base": draft.base_version, "Disks": disks, "InForce": False}
        return ForwardCallReply(HTTPStatus.ACCEPTED, msgspec.json.encode(reply))

    def _decode(self, body: bytes) -> Draft | ApplyResult:
        """Return the draft in the body of a call, or the reason why it is rejected.

        Raises:
            InvalidInputError: The body is not a draft. `accept` handles the other errors with this meaning.
        """
        state = self._state_machine.state
        edit = msgspec.json.decode(body)
        check_values(edit)
        if not isinstance(edit, dict) or not isinstance(edit.get("By"), str):
            raise InvalidInputError("a draft is an object, and says By whom it is")
        if not state.configuration or not self._delivery.has_disk:
            return ApplyResult(HTTPStatus.CONFLICT, "no configuration is known here, or no disk is here")
        if edit.get("Base") != state.version:
            return ApplyResult(
                HTTPStatus.PRECONDITION_FAILED, f"version {state.version} is the newest that is known here"
            )
        return three_way.make_draft(
            msgspec.json.decode(state.configuration), edit, edit["By"], self._hostname()
        )

    async def _copy_to_peers(self, draft: Draft) -> int:
        """Replicate a draft to the other controllers; return the number of stored copies."""
        peers = [
            parse_address(address) for address in self._voter_addresses() if address != str(self._own_address)
        ]
        request = rpc_messages.CopyDraft(draft)
        calls = [self._rpc.call(peer, request, COPY_TIMEOUT_S) for peer in peers]
        replies = [result.value_or(None) for result in await asyncio.gather(*calls)]
        return sum(isinstance(reply, rpc_messages.CopyDraftReply) and reply.is_stored for reply in replies)

    async def store_copy(self, request: rpc_messages.CopyDraft) -> rpc_messages.CopyDraftReply:
        """Store a copy of another controller's draft."""
        status = await self._delivery.store(request.draft)
        return rpc_messages.CopyDraftReply(status == HTTPStatus.OK)

    def add_stored_drafts(self, leader_reply: ForwardCallReply) -> ForwardCallReply:
        """Return the leader's list of drafts, extended by drafts on this disk that it doesn't have."""
        has_leader = leader_reply.status == HTTPStatus.OK
        drafts = msgspec.json.decode(leader_reply.body) if has_leader else []
        known_ids = {draft["Id"] for draft in drafts}
        unknown = [draft for draft in self._delivery.stored() if draft.id not in known_ids]
        drafts += [three_way.describe_draft(draft, None) for draft in unknown]
        reply = {"Leader": has_leader, "Newest": self._state_machine.state.version, "Drafts": drafts}
        return ForwardCallReply(HTTPStatus.OK, msgspec.json.encode(reply))
