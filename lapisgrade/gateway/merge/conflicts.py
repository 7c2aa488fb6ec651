"""Which changes of a draft conflict with a configuration, and why. Pure.

A field conflicts where it has not the value any more that the draft was made on, and not the wanted one
either; further, where its item is gone, where something of an item to be removed was changed, and where a
route's destination is changed in two ways.
"""

from lapisgrade.gateway.merge import fields as merge_fields
from lapisgrade.gateway.merge.fields import FieldChange, Fields, Path, format_path, is_at_or_below


def find_conflicts(
    fields: Fields, changes: list[FieldChange], changed_by: dict[Path, str]
) -> dict[Path, str]:
    """Return the changes of a draft that can't be applied by path, with the reason of each.

    Args:
        fields: The configuration, with the drafts that come before.
        changes: What the draft changes, by path.
        changed_by: Fields that drafts before it changed, and the label of each such draft.
    """
    reasons = _find_field_conflicts(fields, changes, changed_by)
    reasons.update(_find_destination_conflicts(fields, changes, reasons))
    return reasons


def _find_field_conflicts(
    fields: Fields, changes: list[FieldChange], changed_by: dict[Path, str]
) -> dict[Path, str]:
    reasons: dict[Path, str] = {}
    own_paths = {change.path for change in changes}
    added_items: set[Path] = set()  # by this draft
    for change in changes:  # an item's own path comes before those of its fields
        if change.removes_item:
            reason = _conflict_of_removal(fields, change, changed_by)
        else:
            reason = _conflict_of_field(fields, change, changed_by, own_paths, added_items)
            if not reason and merge_fields.is_item(change.path):
                added_items.add(change.path)
        if reason:
            reasons[change.path] = reason
    return reasons


def _changer(path: Path, changed_by: dict[Path, str]) -> str:
    """Return who changed a field since a draft's base, for people."""
    return changed_by.get(path, "acknowledged since")


def _conflict_of_removal(fields: Fields, change: FieldChange, changed_by: dict[Path, str]) -> str:
    """Return why an item can't be removed: something of it was changed; empty where it can be."""
    base = {tuple(path): value for path, value in change.base_value}
    current = {path: value for path, value in fields.items() if is_at_or_below(path, change.path)}
    changed = [path for path in base.keys() | current.keys() if base.get(path) != current.get(path)]
    # One that an earlier draft put back is as it was, and was changed all the same.
    changed += [path for path in current if path in changed_by]
    if not current or not changed:
        return ""
    return f"{format_path(min(changed))}: {_changer(min(changed), changed_by)}"


def _conflict_of_field(
    fields: Fields,
    change: FieldChange,
    changed_by: dict[Path, str],
    own_paths: set[Path],
    added_items: set[Path],
) -> str:
    """Return why a field can't be changed; empty where it can be."""
    path, item = change.path, change.path[:2]
    if merge_fields.is_in_item(path) and item not in fields and item not in added_items:
        return f"{format_path(item)} is gone: {_changer(item, changed_by)}"
    if not change.is_present and merge_fields.is_list(path):
        others = [each for each in fields if is_at_or_below(each, path) and each not in own_paths]
        if others:
            return f"{format_path(min(others))}: {_changer(min(others), changed_by)}"
    is_present = path in fields
    is_as_wanted = is_present == change.is_present and fields.get(path) == change.new_value
    is_as_it_was = is_present == change.was_present and fields.get(path) == change.base_value
    if not is_as_wanted and (not is_as_it_was or path in changed_by):
        return _changer(path, changed_by)
    return ""


def _find_destination_conflicts(
    fields: Fields, changes: list[FieldChange], reasons: dict[Path, str]
) -> dict[Path, str]:
    """Return conflicts about where routes go.

    A split is merged service by service. Where a route's destination is no split before or after, it is one
    choice, and conflicts as a whole where a part does (guards against a route with both, or with half of
    each).
    """
    found: dict[Path, str] = {}
    changes_by_action: dict[Path, list[FieldChange]] = {}
    for change in changes:
        if merge_fields.is_destination(change.path):
            changes_by_action.setdefault(change.path[:3], []).append(change)
    for action, own_changes in changes_by_action.items():
        own_paths = {change.path for change in own_changes}
        service_path = (*action, "Svc")
        is_choice = service_path in own_paths
        reason = next((reasons[each.path] for each in own_changes if each.path in reasons), "")
        if service_path in fields and not is_choice:
            reason = reason or f"it goes to {fields[service_path]} alone"
        if is_choice and _has_other_destination(fields, action, own_paths):
            reason = reason or "it is split another way"
        if reason and (is_choice or service_path in fields):
            found.update(dict.fromkeys(own_paths, reason))
    return found


def _has_other_destination(fields: Fields, action: Path, own_paths: set[Path]) -> bool:
    """Whether a route goes somewhere that a draft does not mention."""
    return any(
        merge_fields.is_destination(path) and path[:3] == action and path not in own_paths for path in fields
    )
