"""Applies the commands of the log to the state. Pure: the same log gives the same state on every controller.

A configuration change is validated here and nowhere else, against the newest version. The leader validates it
once and proposes the resulting version (`prepare`). `apply` then only checks that the base of that version is
still the newest version. Before it proposes a version, the leader decodes it as `apply` will.

Earlier releases could also commit a version that is too large to be decoded. It had no effect in their
running controllers, and changes that were acknowledged later are based on the version before it. `apply`
refuses it.
"""

from http import HTTPStatus

import msgspec

from lapisgrade.gateway.configuration_delta import check_decodable, decode, encode
from lapisgrade.gateway.controller import draft_merging
from lapisgrade.gateway.controller.change_validation import (
    ApplyResult,
    ValidatedChange,
    check_storable,
    oversized_result,
    stale_base_error,
    validate_change,
)
from lapisgrade.gateway.controller.commands import (
    Activate,
    ClaimOperations,
    CloseDraft,
    ConfigurationChange,
    LiveProxies,
    LogCommand,
    MergeDraft,
    NewVersion,
    ServerLeaving,
    ServerSnapshot,
)
from lapisgrade.gateway.controller.state import State, decode_snapshot, encode_snapshot
from lapisgrade.gateway.errors import ConfigurationError, OversizedVersionError, UnreadableLogError
from lapisgrade.gateway.merge.three_way import Draft, MergeOutcome
from lapisgrade.gateway.quota.ownership import eligible_owners

MAX_REMEMBERED_CHANGES = 4096  # stored digests, to recognize duplicates; several days' changes
MAX_DEPARTED_SERVERS = 16_384  # stored servers that left; more than a deployment has at a time

_OK = ApplyResult(HTTPStatus.OK)
_COMMAND_DECODER = msgspec.msgpack.Decoder(LogCommand)


def decode_command(index: int, data: bytes) -> LogCommand:
    """Return the command in the log entry at `index`.

    Raises:
        UnreadableLogError: A later release wrote the command.
    """
    try:
        return _COMMAND_DECODER.decode(data)
    except msgspec.MsgspecError as error:
        raise UnreadableLogError(
            f"cannot decode log entry {index}, which a later release has written: {error}"
        ) from error


class PreparedChange(msgspec.Struct, frozen=True):
    """The result of validating a change, and the command to propose; None if no command is needed."""

    result: ApplyResult
    command: NewVersion | None = None


class StateMachine:
    """The replicated state. Only `apply` and `load` change it."""

    def __init__(self) -> None:
        """Start from the state of an empty log."""
        self.state = State()

    # ---- snapshots

    def dump(self) -> bytes:
        """Return the state as a snapshot."""
        return encode_snapshot(self.state)

    def load(self, data: bytes) -> None:
        """Replace the state by that of a snapshot.

        Raises:
            UnreadableLogError: A later release wrote the snapshot, or it is malformed.
        """
        try:
            self.state = decode_snapshot(data)
        except msgspec.MsgspecError as error:
            raise UnreadableLogError(
                f"cannot decode the log's snapshot, which a later release has written: {error}"
            ) from error
        except ConfigurationError as error:
            raise UnreadableLogError(f"cannot decode the log's snapshot: {error}") from error

    # ---- queries of the leader

    def validate(self, change: ConfigurationChange) -> ValidatedChange:
        """Validate a change against the current state, without applying it."""
        return validate_change(self.state, change)

    def prepare(self, change: ConfigurationChange) -> PreparedChange:
        """Validate a change, and return the result and the command to propose for it.

        The result is 413 if the version would be larger than all controllers and proxies accept.
        """
        storable = check_storable(change)
        if storable.status != HTTPStatus.OK:
            return PreparedChange(storable)
        validated = self.validate(change)
        text, base_text = validated.configuration, self.state.configuration
        if text is None:
            return PreparedChange(validated.result)
        encoded = encode(validated.version, text, self.state.version, base_text)
        try:
            check_decodable(encoded, text, base_text)
        except OversizedVersionError:
            return PreparedChange(oversized_result(len(text)))
        return PreparedChange(validated.result, NewVersion(change.digest, encoded))

    def check_draft(self, draft: Draft) -> ApplyResult:
        """Return 200 if a draft may be proposed, else the reason why not."""
        return draft_merging.check_draft(self.state, draft)

    def open_drafts(self) -> dict[str, tuple[Draft, MergeOutcome]]:
        """Return the current drafts and the unresolved ones, with their merge outcomes, by draft id."""
        return draft_merging.open_drafts(self.state)

    # ---- commands

    def apply(self, index: int, data: bytes) -> ApplyResult:
        """Apply an encoded command, the data of the log entry at `index`.

        Raises:
            UnreadableLogError: A later release wrote the command, or it does not fit this state; nothing was
                applied.
        """
        command = decode_command(index, data)
        match command:
            case ConfigurationChange():
                return self._apply_change(command)
            case NewVersion():
                return self._apply_new_version(index, command)
            case MergeDraft():
                return draft_merging.merge_draft(self.state, command.draft)
            case CloseDraft():
                return draft_merging.close_draft(self.state, command.draft_id)
            case LiveProxies():
                self.apply_live_proxies(index, command)
            case ServerSnapshot():
                self.state.server_snapshot = command.servers
            case Activate():
                self.state.activate(command.version)
            case ServerLeaving():
                self._apply_server_leaving(command)
            case ClaimOperations():
                return self._apply_claims(command)
        return _OK

    def _apply_claims(self, command: ClaimOperations) -> ApplyResult:
        """Advance the operation table's clock, and apply the claims in order."""
        operations = self.state.operations
        operations.advance(command.elapsed_us, command.retention_us)
        results = [operations.claim(claim) for claim in command.claims]
        return ApplyResult(HTTPStatus.OK, claim_results=results)

    def _apply_change(self, change: ConfigurationChange) -> ApplyResult:
        validated = self.validate(change)
        if validated.configuration is not None:
            self.accept(validated.configuration, validated.version, change.digest)
        return validated.result

    def _apply_new_version(self, index: int, command: NewVersion) -> ApplyResult:
        try:
            return self.apply_new_version(command)
        except ConfigurationError as error:
            raise UnreadableLogError(f"cannot apply log entry {index}: {error}") from error

    def apply_new_version(self, command: NewVersion) -> ApplyResult:
        """Accept a version whose base is the newest version.

        Returns:
            412 if another version was accepted first; 413 if the version is too large.

        Raises:
            ConfigurationError: The version can't be decoded on the newest version.
        """
        state, encoded = self.state, command.encoded
        if state.applied_changes.get(encoded.version) == command.change_digest:
            return _OK  # a duplicate of an applied change
        if encoded.base != state.version:
            return ApplyResult(HTTPStatus.PRECONDITION_FAILED, str(stale_base_error(state, encoded.base)))
        try:
            text = decode(encoded, state.configuration)
        except OversizedVersionError as error:
            return ApplyResult(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, str(error))
        self.accept(text, encoded.version, command.change_digest)
        return _OK

    def accept(self, configuration: bytes, version: int, change_digest: bytes) -> None:
        """Make an acknowledged configuration the newest version."""
        state = self.state
        draft_merging.retire_drafts(state)
        state.stage(configuration, version)
        state.applied_changes[version] = change_digest
        while len(state.applied_changes) > MAX_REMEMBERED_CHANGES:
            state.forgotten_version = next(iter(state.applied_changes))
            del state.applied_changes[state.forgotten_version]

    def apply_live_proxies(self, index: int, command: LiveProxies) -> None:
        """Replace the list of live proxies; the entry's index is its fencing token."""
        state = self.state
        state.previous_owners = sorted(
            eligible_owners(state.live_proxies, state.proxies_with_controller, state.terminating_proxies)
        )
        state.previous_fencing_token = state.fencing_token
        state.fencing_token = index
        state.live_proxies = command.members
        state.proxies_with_controller = command.proxies_with_controller
        state.terminating_proxies = command.terminating_proxies

    def _apply_server_leaving(self, command: ServerLeaving) -> None:
        """Record that a server is draining or gone; a server that is gone stays so.

        Beyond `MAX_DEPARTED_SERVERS`, the servers whose last announcement is the oldest are dropped.
        """
        departed = self.state.departed_servers
        was_gone = departed.pop(command.server, False)
        departed[command.server] = was_gone or command.is_gone
        while len(departed) > MAX_DEPARTED_SERVERS:
            del departed[next(iter(departed))]
