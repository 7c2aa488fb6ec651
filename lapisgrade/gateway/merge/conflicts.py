"""Detection of conflicts between a draft's changes and a configuration. Pure.

A change conflicts if its field has neither the draft's base value nor its new value, if the field's item was
removed, if it removes an item of which a field was changed, or if a route's destination is changed in two
incompatible ways.
"""

from lapisgrade.gateway.merge import fields as merge_fields
from lapisgrade.gateway.merge.fields import FieldChange, FieldPath, Fields, format_path, is_at_or_below


def find_conflicts(
    fields: Fields, changes: list[FieldChange], changed_by: dict[FieldPath, str]
) -> dict[FieldPath, str]:
    """Return the paths of a draft's changes that can't be applied, each with the reason.

    Args:
        fields: The configuration with all earlier drafts applied.
        changes: The draft's changes, sorted by path.
        changed_by: Fields changed by earlier drafts, each with the label of its draft.
    """
    reasons = _find_field_conflicts(fields, changes, changed_by)
    reasons.update(_find_destination_conflicts(fields, changes, reasons))
    return reasons


def _find_field_conflicts(
    fields: Fields, changes: list[FieldChange], changed_by: dict[FieldPath, str]
) -> dict[FieldPath, str]:
    reasons: dict[FieldPath, str] = {}
    draft_paths = {change.path for change in changes}
    added_items: set[FieldPath] = set()  # items added by this draft
    for change in changes:  # the path of an item precedes those of its fields
        if change.removes_item:
            reason = _removal_conflict_reason(fields, change, changed_by)
        else:
            reason = _field_conflict_reason(fields, change, changed_by, draft_paths, added_items)
            if not reason and merge_fields.is_item(change.path):
                added_items.add(change.path)
        if reason:
            reasons[change.path] = reason
    return reasons


def _describe_changer(path: FieldPath, changed_by: dict[FieldPath, str]) -> str:
    """Return what changed a field since the draft's base: an earlier draft, or an acknowledged change."""
    return changed_by.get(path, "acknowledged since")


def _removal_conflict_reason(fields: Fields, change: FieldChange, changed_by: dict[FieldPath, str]) -> str:
    """Return the changed field that prevents the removal of an item; empty if the item can be removed."""
    base = {tuple(path): value for path, value in change.base_value}
    current = {path: value for path, value in fields.items() if is_at_or_below(path, change.path)}
    changed = [path for path in base.keys() | current.keys() if base.get(path) != current.get(path)]
    # A field that an earlier draft changed back to its base value counts as changed too.
    changed += [path for path in current if path in changed_by]
    if not current or not changed:
        return ""
    return f"{format_path(min(changed))}: {_describe_changer(min(changed), changed_by)}"


def _field_conflict_reason(
    fields: Fields,
    change: FieldChange,
    changed_by: dict[FieldPath, str],
    draft_paths: set[FieldPath],
    added_items: set[FieldPath],
) -> str:
    """Return why a field can't be changed; empty if it can.

    Args:
        fields: The configuration with all earlier drafts applied.
        change: The change of the field.
        changed_by: Fields changed by earlier drafts, each with the label of its draft.
        draft_paths: Paths of all the draft's changes.
        added_items: Items that the draft has added so far.
    """
    path, item = change.path, change.path[:2]
    if merge_fields.is_in_item(path) and item not in fields and item not in added_items:
        return f"{format_path(item)} is gone: {_describe_changer(item, changed_by)}"
    if not change.is_present and merge_fields.is_list(path):
        # A list is kept if it has elements that the draft doesn't remove.
        kept_paths = [each for each in fields if is_at_or_below(each, path) and each not in draft_paths]
        if kept_paths:
            return f"{format_path(min(kept_paths))}: {_describe_changer(min(kept_paths), changed_by)}"
    is_present = path in fields
    has_new_value = is_present == change.is_present and fields.get(path) == change.new_value
    has_base_value = is_present == change.was_present and fields.get(path) == change.base_value
    if not has_new_value and (not has_base_value or path in changed_by):
        return _describe_changer(path, changed_by)
    return ""


def _find_destination_conflicts(
    fields: Fields, changes: list[FieldChange], reasons: dict[FieldPath, str]
) -> dict[FieldPath, str]:
    """Return the paths of conflicting changes of routes' destinations, each with the reason.

    A split is merged service by service. If a route's destination is a single service before or after the
    draft, all changes to it conflict if one does; otherwise the route could end up with both a service and a
    split, or with parts of two splits.
    """
    conflicts: dict[FieldPath, str] = {}
    changes_by_action: dict[FieldPath, list[FieldChange]] = {}
    for change in changes:
        if merge_fields.is_destination(change.path):
            changes_by_action.setdefault(change.path[:3], []).append(change)
    for action, action_changes in changes_by_action.items():
        draft_paths = {change.path for change in action_changes}
        service_path = (*action, "Svc")
        changes_service = service_path in draft_paths
        reason = next((reasons[each.path] for each in action_changes if each.path in reasons), "")
        if service_path in fields and not changes_service:
            reason = reason or f"it goes to {fields[service_path]} alone"
        if changes_service and _has_other_destination(fields, action, draft_paths):
            reason = reason or "it is split another way"
        if reason and (changes_service or service_path in fields):
            conflicts.update(dict.fromkeys(draft_paths, reason))
    return conflicts


def _has_other_destination(fields: Fields, action: FieldPath, draft_paths: set[FieldPath]) -> bool:
    """Whether a route has a destination that the draft doesn't change."""
    return any(
        merge_fields.is_destination(path) and path[:3] == action and path not in draft_paths
        for path in fields
    )
