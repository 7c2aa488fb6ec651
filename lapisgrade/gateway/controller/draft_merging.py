"""Merges drafts into the configuration, as part of the state machine. Pure.

    MergeDraft --> `drafts` -- next acknowledged change, with conflicts --> `unresolved_drafts`
                    |    |                                                         |
                    |    +-- next acknowledged change, without conflicts --> done  CloseDraft
                    |                                                         ^    |
                    +-- CloseDraft --> `closed_drafts` -- next change --------+----+

The quoted names are fields of `State`. An acknowledged change is one that an operator sent to the leader, as
opposed to a draft. While drafts are merged on top of an acknowledged configuration (`State.merge_base`), each
new draft causes all of them to be merged again from that base, so their order of arrival does not matter.

The leader proposes a draft only if its merge result passes `check_draft`. `merge_draft` itself accepts a
result of any size, as earlier releases did: later entries of their logs are based on it. Two drafts that are
proposed at the same time may also exceed the limit together, within `configuration.MAX_STORED_BYTES`.
"""

from http import HTTPStatus

import msgspec

from lapisgrade.gateway import configuration
from lapisgrade.gateway.configuration_delta import MAX_TEXT_BYTES
from lapisgrade.gateway.configuration_values import check_values
from lapisgrade.gateway.controller.change_validation import ApplyResult, oversized_result
from lapisgrade.gateway.controller.state import State
from lapisgrade.gateway.errors import InvalidInputError
from lapisgrade.gateway.merge import three_way
from lapisgrade.gateway.merge.fields import to_fields
from lapisgrade.gateway.merge.three_way import Draft, MergeOutcome

MAX_DRAFTS = 16  # drafts merged since the last acknowledged change or with conflicts; bounds the state
MAX_DRAFT_BYTES = 128 * 1024  # maximum encoded size of one draft in the log
MAX_KNOWN_IDS = 512  # ids of merged drafts that are stored to recognize late duplicates


class MergedDrafts(msgspec.Struct, frozen=True):
    """The result of merging a draft with the current drafts.

    Attributes:
        drafts: The current drafts, with the new one.
        outcomes: Their outcomes, by draft id.
        text: The configuration as JSON, whose version is the next one; None if the newest one is unchanged.
    """

    drafts: list[Draft]
    outcomes: dict[str, MergeOutcome]
    text: bytes | None


def check_draft(state: State, draft: Draft) -> ApplyResult:
    """Return whether a draft may be proposed, without merging it.

    Returns:
        200 if it may, or if it is merged already; 409 if the result would be larger than a configuration may
        be; 400 if proxies could not read it; otherwise the status with which `merge_draft` refuses the draft.
    """
    merged = _merge(state, draft)
    if isinstance(merged, ApplyResult):
        return merged
    if merged.text is not None and len(merged.text) > MAX_TEXT_BYTES:
        return ApplyResult(HTTPStatus.CONFLICT, oversized_result(len(merged.text)).reason)
    return _check_readable(draft, merged)


def merge_draft(state: State, draft: Draft) -> ApplyResult:
    """Merge a draft with the current drafts; the result is staged like any other version."""
    merged = _merge(state, draft)
    if isinstance(merged, ApplyResult):
        return merged
    state.merge_base = state.merge_base or state.configuration
    state.outcomes = merged.outcomes
    state.drafts = merged.drafts
    state.merged_draft_ids = [*state.merged_draft_ids, draft.id][-MAX_KNOWN_IDS:]
    if merged.text is not None:
        version = state.version + 1
        state.stage(merged.text, version)
        state.merged_versions = [*state.merged_versions, version]
    return ApplyResult(HTTPStatus.OK)


def _merge(state: State, draft: Draft) -> MergedDrafts | ApplyResult:
    """Return the merge result, or the result for a draft that changes nothing."""
    if draft.id in state.merged_draft_ids:
        return ApplyResult(HTTPStatus.OK)  # a duplicate
    if len(state.drafts) + len(state.unresolved_drafts) >= MAX_DRAFTS:
        return ApplyResult(HTTPStatus.CONFLICT, f"{MAX_DRAFTS} drafts are there already: settle or drop one")
    if not state.configuration:
        return ApplyResult(HTTPStatus.CONFLICT, "there is no configuration yet")
    merge_base = msgspec.json.decode(state.merge_base or state.configuration)
    drafts = [*state.drafts, draft]
    try:
        merged, outcomes = three_way.merge_drafts(merge_base, drafts)
    except (KeyError, TypeError, ValueError, IndexError, AttributeError):  # a malformed draft from a peer
        return ApplyResult(HTTPStatus.BAD_REQUEST, "not a draft")
    text = None
    if to_fields(merged) != to_fields(msgspec.json.decode(state.configuration)):
        text = msgspec.json.encode({**merged, "Ver": state.version + 1})
    return MergedDrafts(drafts, outcomes, text)


def _check_readable(draft: Draft, merged: MergedDrafts) -> ApplyResult:
    """Return 400 if proxies could not read the merged version: a peer's draft may have any values."""
    try:
        check_values([change.new_value for change in draft.changes])
        if merged.text is not None:
            configuration.read(msgspec.json.decode(merged.text))
    except (InvalidInputError, msgspec.MsgspecError, RecursionError):
        return ApplyResult(HTTPStatus.BAD_REQUEST, "not a draft")
    return ApplyResult(HTTPStatus.OK)


def close_draft(state: State, draft_id: str) -> ApplyResult:
    """Mark the conflicts of a draft as settled or dropped."""
    if draft_id in state.unresolved_drafts:
        del state.unresolved_drafts[draft_id]
    elif draft_id in state.outcomes:
        state.closed_drafts = [*state.closed_drafts, draft_id]
    else:
        return ApplyResult(HTTPStatus.NOT_FOUND, "no such draft is open")
    return ApplyResult(HTTPStatus.OK)


def retire_drafts(state: State) -> None:
    """Empty the list of merged drafts when an acknowledged change is accepted on top of them.

    Drafts with open conflicts are kept as unresolved; the others are now part of the acknowledged
    configuration.
    """
    for draft in state.drafts:
        outcome = state.outcomes[draft.id]
        if outcome.is_open and draft.id not in state.closed_drafts:
            state.unresolved_drafts[draft.id] = (draft, outcome)
    state.merge_base = b""
    state.drafts = []
    state.outcomes = {}
    state.closed_drafts = []


def open_drafts(state: State) -> dict[str, tuple[Draft, MergeOutcome]]:
    """Return the drafts merged since the last acknowledged change, and earlier drafts with conflicts."""
    current = {draft.id: (draft, state.outcomes[draft.id]) for draft in state.drafts}
    for draft_id in state.closed_drafts:
        draft, outcome = current[draft_id]
        current[draft_id] = (draft, MergeOutcome(outcome.applied))  # without its conflicts
    return {**state.unresolved_drafts, **current}
