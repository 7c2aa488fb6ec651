"""Three-way merge of drafts with each other and with the acknowledged configuration. Pure.

A draft contains each changed field with its base value, so merging needs no history (Khanna, Kunal, Pierce,
"A Formal Investigation of Diff3", 2007). Rules:

1. Acknowledged changes take precedence: a draft changes a field only if it still has its base value.
2. Drafts on a newer base version are merged first; of those on the same version, the one with the lower id.
3. All fields without a conflict are applied; every other field is reported as a conflict, never dropped.
4. If the fields without a conflict would make the configuration invalid, none of the draft is applied, and it
   stays a draft with the error.

`merge_drafts` starts from the last acknowledged change and merges all later drafts again in the order of
these rules, so neither their order of arrival nor duplicates affect the result.
"""

from hashlib import blake2b
from typing import Any

import msgspec

from lapisgrade.gateway import configuration
from lapisgrade.gateway.configuration_change import apply_change
from lapisgrade.gateway.configuration_values import is_encodable
from lapisgrade.gateway.errors import ConfigurationError, InvalidInputError
from lapisgrade.gateway.merge import fields as merge_fields
from lapisgrade.gateway.merge.conflicts import find_conflicts
from lapisgrade.gateway.merge.fields import FieldChange, FieldPath, Fields, Json, format_path, is_at_or_below

MAX_CHANGES = 4096  # maximum number of changed fields in a draft; enough for several hundred routes
MAX_AUTHOR_LENGTH = 200  # characters; a longer name is truncated
ID_BYTES = 6  # size of the digest in a draft's id
REMOVED, ABSENT = "(gone)", "(none)"  # shown in place of a missing value


class Draft(msgspec.Struct, array_like=True, frozen=True):
    """An edit made without contact with a majority of controllers; it takes effect only once it is merged.

    Attributes:
        id: Digest of the other fields.
        author: Name of the author, as given by the author.
        controller: The controller that accepted the draft.
        base_version: The configuration version that the draft is based on.
        changes: The changes, sorted by path.
    """

    id: str
    author: str
    controller: str
    base_version: int
    changes: list[FieldChange]

    @property
    def sort_key(self) -> tuple[int, str]:
        """Sort key of the order in which drafts are merged."""
        return (-self.base_version, self.id)

    @property
    def label(self) -> str:
        """Description of the draft in the reason of a conflict."""
        return f"draft {self.id} of {self.author} on version {self.base_version}"


class MergeConflict(msgspec.Struct, array_like=True, frozen=True):
    """A field for which a draft's change was not applied.

    Attributes:
        path: The path of the field.
        current_value: Its current value.
        wanted_value: Its value in the draft.
        reason: Why the change was not applied, for operators.
    """

    path: FieldPath
    current_value: Any
    wanted_value: Any
    reason: str


class MergeOutcome(msgspec.Struct, array_like=True, frozen=True):
    """The result of merging one draft.

    Attributes:
        applied: Paths of the fields that have the draft's values.
        conflicts: The fields that don't.
        error: Why the draft would make the configuration invalid, in which case none of it is applied; else
            empty.
    """

    applied: list[FieldPath] = []
    conflicts: list[MergeConflict] = []
    error: str = ""

    @property
    def is_open(self) -> bool:
        """Whether an operator has to settle the draft."""
        return bool(self.conflicts or self.error)


def make_draft(current: Json, change: Json, author: str, controller: str) -> Draft:
    """Return a draft of a change to named items of `current`.

    Raises:
        ConfigurationError: The change is invalid, has no effect, or changes more than `MAX_CHANGES` fields.
    """
    base_version = current.get("Ver", 0)
    changed = apply_change(current, {**change, "Ver": base_version})
    configuration.read(changed)
    changes = merge_fields.diff(merge_fields.to_fields(current), merge_fields.to_fields(changed))
    if not changes:
        raise ConfigurationError("nothing would change")
    if len(changes) > MAX_CHANGES:
        raise ConfigurationError(f"{len(changes)} fields are too many for a draft")
    if not is_encodable(changes):
        raise ConfigurationError("a number of the changed fields has more than 64 bits")
    author = author[:MAX_AUTHOR_LENGTH]
    content = msgspec.json.encode((author, controller, base_version, changes), order="sorted")
    draft_id = blake2b(content, digest_size=ID_BYTES).hexdigest()
    return Draft(draft_id, author, controller, base_version, changes)


def merge_drafts(acknowledged: Json, drafts: list[Draft]) -> tuple[Json, dict[str, MergeOutcome]]:
    """Return the last acknowledged configuration with the drafts merged into it, and each draft's outcome."""
    merged, fields = acknowledged, merge_fields.to_fields(acknowledged)
    changed_by: dict[FieldPath, str] = {}  # label of the merged draft that changed a field, by path
    outcomes: dict[str, MergeOutcome] = {}
    for draft in sorted(drafts, key=lambda draft: draft.sort_key):
        new_fields, outcome = _merge_draft(fields, draft, changed_by)
        if outcome.applied:
            candidate = merge_fields.from_fields(new_fields, merged)
            try:
                configuration.read(candidate)
            except InvalidInputError as error:
                outcomes[draft.id] = MergeOutcome(error=str(error))
                continue
            merged, fields = candidate, new_fields
            changed_by.update(dict.fromkeys(outcome.applied, draft.label))
        outcomes[draft.id] = outcome
    return merged, outcomes


def _merge_draft(
    fields: Fields, draft: Draft, changed_by: dict[FieldPath, str]
) -> tuple[Fields, MergeOutcome]:
    """Return the fields after those of a draft's changes that have no conflict, and the draft's outcome."""
    reasons = find_conflicts(fields, draft.changes, changed_by)
    merged = dict(fields)
    applied: list[FieldPath] = []
    conflicts: list[MergeConflict] = []
    for change in draft.changes:
        if change.path in reasons:
            conflicts.append(_make_conflict(fields, change, reasons[change.path]))
            continue
        applied.append(change.path)
        _apply_field_change(merged, change)
    return merged, MergeOutcome(applied, conflicts)


def _make_conflict(fields: Fields, change: FieldChange, reason: str) -> MergeConflict:
    current = fields.get(change.path, REMOVED if change.was_present else ABSENT)
    wanted = change.new_value if change.is_present else REMOVED
    return MergeConflict(change.path, _storable(current), wanted, reason)


def _storable(value: Any) -> Any:
    """Return a value, or its JSON if it has integers that can't be stored; earlier releases accepted them."""
    return value if is_encodable(value) else msgspec.json.encode(value).decode()


def _apply_field_change(fields: Fields, change: FieldChange) -> None:
    """Apply a change to `fields` in place; the removal of an item removes all of its fields."""
    if change.removes_item:
        for path in [path for path in fields if is_at_or_below(path, change.path)]:
            del fields[path]
    elif change.is_present:
        fields[change.path] = change.new_value
    else:
        fields.pop(change.path, None)


def force_changes(current: Json, changes: list[FieldChange]) -> Json:
    """Return the configuration with the changes applied regardless of the current values.

    Operators settle the conflicts of a draft this way.

    Raises:
        ConfigurationError: The result is not a valid configuration.
    """
    fields = merge_fields.to_fields(current)
    for change in changes:
        for path in [path for path in fields if _is_replaced(path, change)]:
            del fields[path]
        if change.is_present:
            fields[change.path] = change.new_value
    for path in fields:
        if merge_fields.is_in_item(path) and path[:2] not in fields:
            raise ConfigurationError(f"{format_path(path[:2])} is gone: put it whole")
    forced = merge_fields.from_fields(fields, current)
    configuration.read(forced)
    return forced


def _is_replaced(path: FieldPath, change: FieldChange) -> bool:
    """Whether applying a change removes a field."""
    if is_at_or_below(path, change.path):
        return not change.is_present
    # A route has either a single service or a split.
    is_of_same_route = (
        merge_fields.is_destination(path)
        and merge_fields.is_destination(change.path)
        and path[:3] == change.path[:3]
    )
    return change.is_present and is_of_same_route and (path[3] == "Svc") != (change.path[3] == "Svc")


def describe_draft(draft: Draft, outcome: MergeOutcome | None) -> Json:
    """Return a draft as JSON for operators, without API keys; `outcome` is None if it isn't merged yet."""
    described: Json = {
        "Id": draft.id,
        "By": draft.author,
        "At": draft.controller,
        "Base": draft.base_version,
    }
    if outcome is None:
        return {
            **described,
            "State": "kept",
            "Fields": [format_path(change.path) for change in draft.changes],
        }
    conflicts = [
        {
            "Field": format_path(conflict.path),
            "Has": conflict.current_value,
            "Wants": conflict.wanted_value,
            "Why": conflict.reason,
        }
        for conflict in outcome.conflicts
    ]
    return {
        **described,
        "State": "invalid" if outcome.error else "aside" if outcome.conflicts else "stands",
        "Stands": [format_path(path) for path in outcome.applied],
        "Aside": conflicts,
        "Wrong": outcome.error,
    }
