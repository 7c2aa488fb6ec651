"""Executes the calls of servers and operators on the leader.

A call that changes the state is answered once its command is committed. If the outcome is not known in time,
the reply is 504: the command may still be committed.
"""

from collections.abc import Awaitable, Callable
from http import HTTPStatus

import msgspec

from lapisgrade.gateway import SECOND, api
from lapisgrade.gateway.controller.change_validation import ApplyResult
from lapisgrade.gateway.controller.commands import (
    CloseDraft,
    ConfigurationChange,
    LogCommand,
    MergeDraft,
    ServerLeaving,
    encode_command,
)
from lapisgrade.gateway.controller.consensus_driver import COMMIT_TIMEOUT_S, ConsensusDriver
from lapisgrade.gateway.controller.draft_merging import MAX_DRAFT_BYTES
from lapisgrade.gateway.controller.quorum_monitor import QuorumMonitor
from lapisgrade.gateway.controller.refused_changes import RefusedChanges
from lapisgrade.gateway.controller.replies import decode_draft_id, encode_error, encode_result
from lapisgrade.gateway.controller.staging_admission import Admission, StagingAdmission
from lapisgrade.gateway.controller.state_machine import PreparedChange, StateMachine
from lapisgrade.gateway.controller.status_report import status_report
from lapisgrade.gateway.controller.watch_service import WatchService
from lapisgrade.gateway.errors import InvalidInputError
from lapisgrade.gateway.merge import three_way
from lapisgrade.gateway.merge.three_way import Draft
from lapisgrade.gateway.registry import ServerState
from lapisgrade.gateway.rpc_messages import ForwardCallReply
from lapisgrade.gateway.settings import Address

DELIVER_DRAFT = "drafts.hand"  # internal call of a controller: merge one of its stored drafts

_TOO_MANY_STAGED = ApplyResult(
    HTTPStatus.SERVICE_UNAVAILABLE, "too many versions wait for their activation: send the change again"
)
_DRAFT_DECODER = msgspec.msgpack.Decoder(Draft)

CallHandler = Callable[[str, bytes], Awaitable[ForwardCallReply]]


class LeaderCalls:
    """The handlers of calls, by name. Use `execute` only while this controller is the leader."""

    def __init__(
        self,
        consensus: ConsensusDriver,
        state_machine: StateMachine,
        watch_service: WatchService,
        staging_admission: StagingAdmission,
        refused_changes: RefusedChanges,
        quorum_monitor: QuorumMonitor,
        own_address: Address,
        clock: Callable[[], int],
    ) -> None:
        """`own_address` is the address for other controllers; `clock` returns the monotonic time in us."""
        self.watch_service = watch_service
        self._staging_admission = staging_admission
        self._consensus = consensus
        self._state_machine = state_machine
        self._refused_changes = refused_changes
        self._quorum_monitor = quorum_monitor
        self._own_address = own_address
        self.clock = clock
        self._handlers: dict[str, CallHandler] = {
            "servers.heartbeat": self._heartbeat,
            "servers.deregister": self._deregister,
            "conf.replace": self._replace_configuration,
            "conf.update": self._update_configuration,
            "conf.show": self._show_configuration,
            "conf.status": self._show_status,
            "conf.drafts": self._list_drafts,
            "conf.settle": self._settle_draft,
            "conf.close": self._close_draft,
            DELIVER_DRAFT: self._merge_draft,
        }

    async def execute(self, call: str, subject: str, body: bytes) -> ForwardCallReply:
        """Execute a call.

        Args:
            call: The name of the call; an unknown name is handled as `conf.update`.
            subject: The server that the call is about; empty for operators' calls.
            body: The body of the call, not validated yet.
        """
        handler = self._handlers.get(call, self._update_configuration)
        try:
            return await handler(subject, body)
        except InvalidInputError as error:
            return encode_error(HTTPStatus.BAD_REQUEST, str(error))
        except (msgspec.MsgspecError, RecursionError):
            return encode_error(HTTPStatus.BAD_REQUEST, "not a draft")

    async def commit(self, command: LogCommand) -> ForwardCallReply:
        """Propose a command, and return the state machine's result."""
        return _encode_proposal_result(await self._consensus.propose(encode_command(command)))

    async def _commit_version(self, command: LogCommand, arrived_us: int) -> ApplyResult | None:
        """Propose a command that may stage a version, within the time that its caller waits.

        Returns the result as `ConsensusDriver.propose` does.
        """
        waited_s = (self.clock() - arrived_us) / SECOND
        return await self._consensus.propose(
            encode_command(command), timeout_s=max(0.0, COMMIT_TIMEOUT_S - waited_s)
        )

    # ---- servers

    async def _heartbeat(self, subject: str, body: bytes) -> ForwardCallReply:
        server = api.parse_heartbeat(subject, body)
        if server.state == ServerState.DRAIN and subject not in self._state_machine.state.departed_servers:
            # Committed, because it must survive this leader: the server ends some time after the reply.
            reply = await self.commit(ServerLeaving(subject, False))
            if reply.status != HTTPStatus.OK:
                return reply
        self.watch_service.on_heartbeat(server)
        return ForwardCallReply(HTTPStatus.OK, b"{}")

    async def _deregister(self, subject: str, body: bytes) -> ForwardCallReply:
        return await self.commit(ServerLeaving(subject, True))

    # ---- the configuration

    async def _replace_configuration(self, subject: str, body: bytes) -> ForwardCallReply:
        return await self._change("conf.replace", ConfigurationChange(True, body))

    async def _update_configuration(self, subject: str, body: bytes) -> ForwardCallReply:
        return await self._change("conf.update", ConfigurationChange(False, body))

    async def _change(self, call: str, change: ConfigurationChange) -> ForwardCallReply:
        """Validate and propose a change, and record it if it is refused; `call` is for that record."""
        arrived_us = self.clock()
        prepared = await self._prepare_when_admitted(change, arrived_us)
        if prepared.command is None:  # rejected, or applied before: nothing to append to the log
            result: ApplyResult | None = prepared.result
        else:
            result = await self._commit_version(prepared.command, arrived_us)
        if result is not None and result.status >= HTTPStatus.BAD_REQUEST:
            self._refused_changes.record(call, result, self.clock())
        return _encode_proposal_result(result)

    async def _prepare_when_admitted(self, change: ConfigurationChange, arrived_us: int) -> PreparedChange:
        """Validate a change, and wait until its version may be staged; 503 if there is no room in time."""
        while True:
            prepared = self._state_machine.prepare(change)
            if prepared.command is None:
                return prepared
            match await self._staging_admission.admit(arrived_us):
                case Admission.ADMITTED:
                    return prepared
                case Admission.REFUSED:
                    return PreparedChange(_TOO_MANY_STAGED)

    async def _show_configuration(self, subject: str, body: bytes) -> ForwardCallReply:
        state = self._state_machine.state
        if not state.configuration:
            return encode_error(HTTPStatus.NOT_FOUND, "there is no configuration yet")
        return ForwardCallReply(HTTPStatus.OK, state.configuration)

    async def _show_status(self, subject: str, body: bytes) -> ForwardCallReply:
        watch = self.watch_service.watch
        servers = list(watch.registry.servers.values())
        state, last_refused = self._state_machine.state, self._refused_changes.last
        status = status_report(self.clock(), state, last_refused, watch.proxies, servers)
        operations = {"Operations": len(state.operations.records)}
        report = {**status, **self._voter_status(), **operations}
        return ForwardCallReply(HTTPStatus.OK, msgspec.json.encode(report))

    def _voter_status(self) -> dict[str, object]:
        """Return the fields of `conf.status` on the leader, its term, the voters and what they tolerate."""
        node, now_us = self._consensus.started_node, self.clock()
        last_contact_us = {name: follower.last_contact_us for name, follower in node.followers.items()}
        last_contact_us[node.identity] = now_us
        voters = [
            {"Id": name, "At": address, "HeardMs": (now_us - last_contact_us.get(name, 0)) // 1000}
            for name, address in sorted(node.voters.items())
        ]
        return {
            "Leader": str(self._own_address),
            "Term": node.term,
            "Voters": voters,
            "Faults": self._quorum_monitor.status(),
        }

    # ---- drafts

    async def _list_drafts(self, subject: str, body: bytes) -> ForwardCallReply:
        drafts = [
            three_way.describe_draft(*draft_and_outcome)
            for draft_and_outcome in self._state_machine.open_drafts().values()
        ]
        return ForwardCallReply(HTTPStatus.OK, msgspec.json.encode(drafts))

    async def _merge_draft(self, subject: str, body: bytes) -> ForwardCallReply:
        if len(body) > MAX_DRAFT_BYTES:
            return encode_error(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the draft is too long")
        draft = _DRAFT_DECODER.decode(body)
        arrived_us = self.clock()
        while True:
            result = self._state_machine.check_draft(draft)
            if result.status != HTTPStatus.OK:
                return encode_result(result)
            match await self._staging_admission.admit(arrived_us):
                case Admission.ADMITTED:
                    return _encode_proposal_result(await self._commit_version(MergeDraft(draft), arrived_us))
                case Admission.REFUSED:
                    return encode_result(_TOO_MANY_STAGED)

    async def _close_draft(self, subject: str, body: bytes) -> ForwardCallReply:
        return await self.commit(CloseDraft(decode_draft_id(body)))

    async def _settle_draft(self, subject: str, body: bytes) -> ForwardCallReply:
        """Apply a draft's conflicting field changes to the newest version, and close the draft.

        Applies all of the draft's field changes if the draft is invalid, since then none of them is merged.
        """
        draft_id = decode_draft_id(body)
        state = self._state_machine.state
        found = self._state_machine.open_drafts().get(draft_id)
        if found is None or not found[1].is_open:
            return encode_error(HTTPStatus.NOT_FOUND, "no such draft is open")
        draft, outcome = found
        paths = {conflict.path for conflict in outcome.conflicts}
        field_changes = [each for each in draft.changes if outcome.error or each.path in paths]
        configuration = three_way.force_changes(msgspec.json.decode(state.configuration), field_changes)
        change = {**configuration, "Ver": state.version + 1, "Base": state.version}
        reply = await self._change("conf.settle", ConfigurationChange(True, msgspec.json.encode(change)))
        if reply.status != HTTPStatus.OK:
            return reply
        return await self.commit(CloseDraft(draft_id))


def _encode_proposal_result(result: ApplyResult | None) -> ForwardCallReply:
    """Return the reply to a proposal; a result of None means that the outcome is not known yet."""
    if result is None:
        return encode_error(HTTPStatus.GATEWAY_TIMEOUT, "no majority has it yet; it may come into force")
    return encode_result(result)
