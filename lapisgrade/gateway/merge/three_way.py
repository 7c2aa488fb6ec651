"""Drafts, and what they come to beside each other and beside what was acknowledged: pure.

A draft holds each field that it changes with the value that it was made on, so no history is needed to merge
it (three-way merge; Khanna, Kunal, Pierce, "A Formal Investigation of Diff3", 2007). The rule:

1. What was acknowledged since stands: a draft changes a field only where that still has the value it was
   made on.
2. Of two drafts, the one made on the newer version comes first; of those on one, the one with the lower id.
3. Fields that nobody else touched all come to stand; one that can't is set aside and told, never lost.
4. A draft whose remaining fields would make an invalid configuration stays a draft as a whole, with what is
   wrong.

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
from lapisgrade.gateway.merge.fields import Fields, Op, Path

MOST_OPS = 4096  # fields of one draft; a configuration of several hundred routes
GONE, NONE = "(gone)", "(none)"  # how an absent value is told
MOST_WORDS = 200  # characters of who made it, as is kept


class Draft(msgspec.Struct, array_like=True, frozen=True):
    """An edit that was made where no majority could be asked. Never in force by itself."""

    id: str
    by: str  # who made it, as they say
    at: str  # at which controller
    base: int  # the version that it was made on
    ops: list[Op]

    @property
    def rank(self) -> tuple[int, str]:
        return (-self.base, self.id)


class Aside(msgspec.Struct, array_like=True, frozen=True):
    """A field that a draft wanted otherwise than it stands, and why it stands so."""

    path: Path
    has: Any
    wants: Any
    why: str


class Outcome(msgspec.Struct, array_like=True, frozen=True):
    """What came of one draft: the fields that stand as it wants, those set aside, or what is wrong."""

    stand: list[Path] = []
    aside: list[Aside] = []
    wrong: str = ""

    @property
    def open(self) -> bool:
        return bool(self.aside or self.wrong)


def drafted(conf: dict, change: dict, by: str, at: str) -> Draft:
    """Return a change of named items on top of `conf` as a draft.

    Raises:
        ConfigurationError: The change can't be read, or changes nothing.
    """
    base = conf.get("Ver", 0)
    made = apply_change(conf, {**change, "Ver": base})
    configuration.read(made)
    ops = merge_fields.ops(merge_fields.fields(conf), merge_fields.fields(made))
    if not ops:
        raise ConfigurationError("nothing would change")
    if len(ops) > MOST_OPS:
        raise ConfigurationError(f"{len(ops)} fields are too many for a draft")
    by, words = by[:MOST_WORDS], msgspec.json.encode((by[:MOST_WORDS], at, base, ops), order="sorted")
    return Draft(blake2b(words, digest_size=6).hexdigest(), by, at, base, ops)


def merge_drafts(ground: dict, drafts: list[Draft]) -> tuple[dict, dict[str, Outcome]]:
    """The configuration that the drafts make of the last acknowledged one, and what came of each."""
    conf, found = ground, merge_fields.fields(ground)
    holders: dict[Path, Draft] = {}  # who changed a field since that
    outcomes: dict[str, Outcome] = {}
    for draft in sorted(drafts, key=lambda each: each.rank):
        merged, outcome = _beside(found, draft, holders)
        if outcome.stand:
            made = merge_fields.built(merged, conf)
            try:
                configuration.read(made)
            except InvalidInputError as wrong:
                outcomes[draft.id] = Outcome(wrong=str(wrong))
                continue
            conf, found = made, merged
            holders.update({path: draft for path in outcome.stand})
        outcomes[draft.id] = outcome
    return conf, outcomes


def _beside(found: Fields, draft: Draft, holders: dict[Path, Draft]) -> tuple[Fields, Outcome]:
    """The fields with that draft's beside them, as far as nothing speaks against it."""
    lost = _against(found, draft.ops, holders)
    lost.update(_places(found, draft.ops, lost))
    merged, stand, aside = dict(found), [], []
    for op in draft.ops:
        if op.path in lost:
            has = found.get(op.path, GONE if op.had else NONE)
            aside.append(Aside(op.path, has, op.new if op.has else GONE, lost[op.path]))
            continue
        stand.append(op.path)
        if op.ends_item:
            for path in [path for path in merged if path[: len(op.path)] == op.path]:
                del merged[path]
        elif op.has:
            merged[op.path] = op.new
        else:
            merged.pop(op.path, None)
    return merged, Outcome(stand, aside)


def _against(found: Fields, ops: list[Op], holders: dict[Path, Draft]) -> dict[Path, str]:
    """Which of a draft's fields can't come to stand, with why."""
    lost: dict[Path, str] = {}
    touched = {op.path for op in ops}
    added: set[Path] = set()  # items that this draft brings in

    def held(path: Path) -> str:
        other = holders.get(path)
        return f"draft {other.id} of {other.by} on version {other.base}" if other else "acknowledged since"

    for op in ops:  # an item's own path comes before those of its fields
        item = op.path[:2]
        if op.ends_item:
            base = {tuple(path): value for path, value in op.base}
            there = {path: value for path, value in found.items() if path[: len(op.path)] == op.path}
            changed = [path for path in base.keys() | there.keys() if base.get(path) != there.get(path)]
            # One that a draft before this one put back is as it was, and held all the same.
            changed += [path for path in there if path in holders]
            if there and changed:
                lost[op.path] = f"{merge_fields.shown(min(changed))}: {held(min(changed))}"
            continue
        if merge_fields.in_item(op.path) and item not in found and item not in added:
            lost[op.path] = f"{merge_fields.shown(item)} is gone: {held(item)}"
            continue
        if not op.has and merge_fields.is_list(op.path):
            more = [path for path in found if path[: len(op.path)] == op.path and path not in touched]
            if more:
                lost[op.path] = f"{merge_fields.shown(min(more))}: {held(min(more))}"
                continue
        has = op.path in found
        same = has == op.has and found.get(op.path) == op.new
        if not same and (has != op.had or found.get(op.path) != op.base or op.path in holders):
            lost[op.path] = held(op.path)
        elif merge_fields.is_item(op.path):
            added.add(op.path)
    return lost


def _places(found: Fields, ops: list[Op], lost: dict[Path, str]) -> dict[Path, str]:
    """A split is merged service by service; where a route's place is no split before or after, it is one
    choice, and all of it is lost where a part is (guards against a route with both, or with half of each)."""
    more: dict[Path, str] = {}
    places: dict[Path, list[Op]] = {}
    for op in ops:
        if merge_fields.is_place(op.path):
            places.setdefault(op.path[:3], []).append(op)
    for action, mine in places.items():
        alone, own = (*action, "Svc"), {op.path for op in mine}
        moved = alone in own
        why = next((lost[op.path] for op in mine if op.path in lost), "")
        if alone in found and not moved:
            why = why or f"it goes to {found[alone]} alone"
        if moved and any(
            merge_fields.is_place(path) and path[:3] == action and path not in own for path in found
        ):
            why = why or "it is split another way"
        if why and (moved or alone in found):
            more.update(dict.fromkeys(own, why))
    return more


def forced(conf: dict, ops: list[Op]) -> dict:
    """The configuration with those fields as they are wanted, whatever they are now: an operator's word that
    settles a draft.

    Raises:
        ConfigurationError: That makes no configuration.
    """
    found = merge_fields.fields(conf)
    for op in ops:
        for path in [path for path in found if _gives_way(path, op)]:
            del found[path]
        if op.has:
            found[op.path] = op.new
    for path in found:
        if merge_fields.in_item(path) and path[:2] not in found:
            raise ConfigurationError(f"{merge_fields.shown(path[:2])} is gone: put it whole")
    made = merge_fields.built(found, conf)
    configuration.read(made)
    return made


def _gives_way(path: Path, op: Op) -> bool:
    if path[: len(op.path)] == op.path:
        return not op.has
    # A route goes to one service or to a split, not to both.
    other = merge_fields.is_place(path) and merge_fields.is_place(op.path) and path[:3] == op.path[:3]
    return op.has and other and (path[3] == "Svc") != (op.path[3] == "Svc")


def told(draft: Draft, outcome: Outcome | None) -> dict[str, Any]:
    """A draft for people: whose it is, what of it stands, what does not and why. Keys are not told."""
    out: dict[str, Any] = {"Id": draft.id, "By": draft.by, "At": draft.at, "Base": draft.base}
    if outcome is None:
        return {**out, "State": "kept", "Fields": [merge_fields.shown(op.path) for op in draft.ops]}
    state = "invalid" if outcome.wrong else "aside" if outcome.aside else "stands"
    aside = [
        {"Field": merge_fields.shown(each.path), "Has": each.has, "Wants": each.wants, "Why": each.why}
        for each in outcome.aside
    ]
    stand = [merge_fields.shown(path) for path in outcome.stand]
    return {**out, "State": state, "Stands": stand, "Aside": aside, "Wrong": outcome.wrong}
