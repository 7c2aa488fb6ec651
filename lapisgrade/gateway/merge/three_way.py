"""Drafts, and what they come to beside each other and beside what was acknowledged. Pure.

A draft holds each field that it changes with the value that it was made on, so no history is needed to merge
it (three-way merge; Khanna, Kunal, Pierce, "A Formal Investigation of Diff3", 2007). The rule:

1. What was acknowledged since stands: a draft changes a field only where that still has the value it was
   made on.
2. Of two drafts, the one made on the newer version comes first; of those on one, the one with the lower id.
3. Fields that nobody else changed are all applied; one that can't be is reported as a conflict, never lost.
4. A draft whose remaining fields would make an invalid configuration stays a draft as a whole, with the
   error.

`merge_drafts` works all drafts since the last acknowledged change out anew from that change, in the rule's
order: so the order in which they came does not matter, nor whether one came twice.
"""

from hashlib import blake2b
from typing import Any

import msgspec

from lapisgrade.gateway import configuration
from lapisgrade.gateway.configuration_change import apply_change
from lapisgrade.gateway.errors import ConfigurationError, InvalidInputError
from lapisgrade.gateway.merge import fields as merge_fields
from lapisgrade.gateway.merge.conflicts import find_conflicts
from lapisgrade.gateway.merge.fields import FieldChange, Fields, Json, Path, format_path, is_at_or_below

MAX_CHANGES = 4096  # fields of one draft; a configuration of several hundred routes
MAX_AUTHOR_LENGTH = 200  # characters
ID_BYTES = 6
REMOVED, ABSENT = "(gone)", "(none)"  # how a value that is not there is shown


class Draft(msgspec.Struct, array_like=True, frozen=True):
    """An edit that was made where no majority could be asked. Never in force by itself.

    Attributes:
        id: A digest of the rest.
        author: Who made it, as they say.
        controller: The controller that took it.
        base_version: The version that it was made on.
        changes: What it changes, by path.
    """

    id: str
    author: str
    controller: str
    base_version: int
    changes: list[FieldChange]

    @property
    def sort_key(self) -> tuple[int, str]:
        """Its place in the order in which drafts are merged."""
        return (-self.base_version, self.id)

    @property
    def label(self) -> str:
        """The draft in a conflict's reason, for people."""
        return f"draft {self.id} of {self.author} on version {self.base_version}"


class MergeConflict(msgspec.Struct, array_like=True, frozen=True):
    """A field that a draft wants otherwise than it stands.

    Attributes:
        path: Where the field is.
        current_value: What it is.
        wanted_value: What the draft wants it to be.
        reason: Why it stands, for people.
    """

    path: Path
    current_value: Any
    wanted_value: Any
    reason: str


class MergeOutcome(msgspec.Struct, array_like=True, frozen=True):
    """What came of one draft.

    Attributes:
        applied: The fields that are as the draft wants them.
        conflicts: The fields that are not.
        error: Why nothing of the draft could be applied; empty where that is not so.
    """

    applied: list[Path] = []
    conflicts: list[MergeConflict] = []
    error: str = ""

    @property
    def is_open(self) -> bool:
        """Whether an operator has to settle something."""
        return bool(self.conflicts or self.error)


def make_draft(current: Json, change: Json, author: str, controller: str) -> Draft:
    """Return a change of named items on top of `current` as a draft.

    Raises:
        ConfigurationError: The change can't be read, or changes nothing.
    """
    base_version = current.get("Ver", 0)
    changed = apply_change(current, {**change, "Ver": base_version})
    configuration.read(changed)
    changes = merge_fields.diff(merge_fields.to_fields(current), merge_fields.to_fields(changed))
    if not changes:
        raise ConfigurationError("nothing would change")
    if len(changes) > MAX_CHANGES:
        raise ConfigurationError(f"{len(changes)} fields are too many for a draft")
    author = author[:MAX_AUTHOR_LENGTH]
    content = msgspec.json.encode((author, controller, base_version, changes), order="sorted")
    draft_id = blake2b(content, digest_size=ID_BYTES).hexdigest()
    return Draft(draft_id, author, controller, base_version, changes)


def merge_drafts(acknowledged: Json, drafts: list[Draft]) -> tuple[Json, dict[str, MergeOutcome]]:
    """Return the configuration that the drafts make of the last acknowledged one, and each one's outcome."""
    merged, fields = acknowledged, merge_fields.to_fields(acknowledged)
    changed_by: dict[Path, str] = {}  # fields that were changed since that, and by which draft
    outcomes: dict[str, MergeOutcome] = {}
    for draft in sorted(drafts, key=lambda each: each.sort_key):
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


def _merge_draft(fields: Fields, draft: Draft, changed_by: dict[Path, str]) -> tuple[Fields, MergeOutcome]:
    """Return the fields with a draft's changes, as far as nothing conflicts with them."""
    reasons = find_conflicts(fields, draft.changes, changed_by)
    merged = dict(fields)
    applied: list[Path] = []
    conflicts: list[MergeConflict] = []
    for change in draft.changes:
        if change.path in reasons:
            conflicts.append(_conflict(fields, change, reasons[change.path]))
            continue
        applied.append(change.path)
        _apply(merged, change)
    return merged, MergeOutcome(applied, conflicts)


def _conflict(fields: Fields, change: FieldChange, reason: str) -> MergeConflict:
    current = fields.get(change.path, REMOVED if change.was_present else ABSENT)
    wanted = change.new_value if change.is_present else REMOVED
    return MergeConflict(change.path, current, wanted, reason)


def _apply(fields: Fields, change: FieldChange) -> None:
    if change.removes_item:
        for path in [path for path in fields if is_at_or_below(path, change.path)]:
            del fields[path]
    elif change.is_present:
        fields[change.path] = change.new_value
    else:
        fields.pop(change.path, None)


def force_changes(current: Json, changes: list[FieldChange]) -> Json:
    """Return the configuration with those fields as wanted, whatever they are now.

    This is how an operator settles the conflicts of a draft.

    Raises:
        ConfigurationError: That makes no configuration.
    """
    fields = merge_fields.to_fields(current)
    for change in changes:
        for path in [path for path in fields if _gives_way(path, change)]:
            del fields[path]
        if change.is_present:
            fields[change.path] = change.new_value
    for path in fields:
        if merge_fields.is_in_item(path) and path[:2] not in fields:
            raise ConfigurationError(f"{format_path(path[:2])} is gone: put it whole")
    forced = merge_fields.from_fields(fields, current)
    configuration.read(forced)
    return forced


def _gives_way(path: Path, change: FieldChange) -> bool:
    """Whether a field has to go for a change."""
    if is_at_or_below(path, change.path):
        return not change.is_present
    # A route goes to one service or to a split, not to both.
    is_of_same_route = (
        merge_fields.is_destination(path)
        and merge_fields.is_destination(change.path)
        and path[:3] == change.path[:3]
    )
    return change.is_present and is_of_same_route and (path[3] == "Svc") != (change.path[3] == "Svc")


def describe_draft(draft: Draft, outcome: MergeOutcome | None) -> Json:
    """Return a draft for people, without an outcome one that was not merged yet; keys are not shown."""
    described: Json = {
        "Id": draft.id,
        "By": draft.author,
        "At": draft.controller,
        "Base": draft.base_version,
    }
    if outcome is None:
        return {**described, "State": "kept", "Fields": [format_path(each.path) for each in draft.changes]}
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
