"""Three-way merge of drafts with each other and with changes acknowledged during a partition."""

from itertools import permutations

import msgspec
import pytest

from lapisgrade.gateway import configuration
from lapisgrade.gateway.configuration_change import apply_change
from lapisgrade.gateway.controller.commands import CloseDraft, ConfigurationChange, MergeDraft, encode_command
from lapisgrade.gateway.controller.draft_merging import MAX_DRAFTS
from lapisgrade.gateway.controller.state_machine import StateMachine
from lapisgrade.gateway.errors import InvalidInputError
from lapisgrade.gateway.merge.fields import diff, from_fields, to_fields
from lapisgrade.gateway.merge.three_way import Draft, describe_draft, force_changes, make_draft, merge_drafts
from lapisgrade.lab.explore.rejoin import ConfigurationRandom

CLAIM, SCRIPT = "r-claim", "r-script"


def route(name: str, pfx: str, svc: str = "a", **other_fields) -> dict:
    """Return a route; fields in `Action` are added to its action, and a split replaces its service."""
    action = {"Svc": svc, "Timeout": "2s", **other_fields.pop("Action", {})}
    if "Split" in action:
        del action["Svc"]
    return {"Name": name, "Mode": "mutate", "Match": {"Pfx": pfx}, "Action": action, **other_fields}


BASE = {
    "Ver": 4,
    "Caps": {"Idle": "15s"},
    "Tenants": [{"Name": "sfax", "Apikeys": ["key-1"], "RateS": 10, "Burst": 10}],
    "Ports": [
        {"Vhost": "a.example", "Policy": [route(CLAIM, "/claim/"), route("r-stock", "/stock/")]},
        {
            "Vhost": "b.example",
            "Policy": [
                route(SCRIPT, "/", Action={"Split": [{"Svc": "a", "Wt": 90}, {"Svc": "b", "Wt": 10}]})
            ],
        },
    ],
    "Pools": [{"Name": "a", "Proto": "h1"}, {"Name": "b"}, {"Name": "c"}],
}


def upsert_route(rule: dict, host: str = "a.example") -> dict:
    """Return a change that adds or replaces a route."""
    return {"Upsert": {"Ports": [{"Vhost": host, "Policy": [rule]}]}}


def new_draft(change: dict, author: str = "edge", conf: dict = BASE) -> Draft:
    return make_draft(conf, change, author, "m3")


def acknowledged(change: dict) -> dict:
    """Return the configuration on the majority's side after it has acknowledged the change."""
    return apply_change(BASE, {"Ver": 5, **change})


def find_route(conf: dict, name: str) -> dict:
    return next(rule for port in conf["Ports"] for rule in port["Policy"] if rule["Name"] == name)


def merge(base: dict, *drafts: Draft):
    """Merge drafts into a configuration; return the valid result, and each draft's outcome in their order."""
    conf, outcomes = merge_drafts(base, list(drafts))
    configuration.read(conf)
    return conf, [outcomes[each.id] for each in drafts]


def test_fields_round_trip_without_loss() -> None:
    assert from_fields(to_fields(BASE), BASE) == BASE
    for seed in range(200):
        conf = ConfigurationRandom(seed).configuration()
        assert from_fields(to_fields(conf), conf) == conf


def test_merging_a_single_draft_applies_exactly_its_changes() -> None:
    for seed in range(200):
        random = ConfigurationRandom(seed)
        conf = random.configuration()
        draft = random.drafts(conf, 1)[0]
        merged, outcomes = merge_drafts(conf, [draft])
        assert not outcomes[draft.id].is_open
        assert diff(to_fields(conf), to_fields(merged)) == draft.changes


def test_edits_of_different_fields_of_a_route_on_both_sides_are_both_kept() -> None:
    majority_conf = acknowledged(upsert_route(route(CLAIM, "/claim/", Action={"Timeout": "3s"})))
    edge_draft = new_draft(upsert_route(route(CLAIM, "/claim/", svc="b")))
    conf, (outcome,) = merge(majority_conf, edge_draft)
    assert find_route(conf, CLAIM)["Action"] == {"Svc": "b", "Timeout": "3s"}
    assert not outcome.is_open


def test_a_split_is_merged_by_service() -> None:
    def split(**weights) -> dict:
        shares = [{"Svc": name, "Wt": weight} for name, weight in weights.items()]
        return upsert_route(route(SCRIPT, "/", Action={"Split": shares}), "b.example")

    conf, (outcome,) = merge(acknowledged(split(a=90, b=10, c=5)), new_draft(split(a=70, b=10)))
    assert {share["Svc"]: share["Wt"] for share in find_route(conf, SCRIPT)["Action"]["Split"]} == {
        "a": 70,
        "b": 10,
        "c": 5,
    }
    assert not outcome.is_open
    # If the split was replaced by a single service, no share of the draft's split is applied.
    single_service = acknowledged(upsert_route(route(SCRIPT, "/", svc="c"), "b.example"))
    for change in (split(a=70, b=10), split(a=90, b=10, c=3)):
        conf, (outcome,) = merge(single_service, new_draft(change))
        assert find_route(conf, SCRIPT)["Action"]["Svc"] == "c"
        assert (outcome.applied, bool(outcome.conflicts)) == ([], True)


def test_a_conflicting_field_keeps_the_acknowledged_value_and_is_reported() -> None:
    edge_draft = new_draft(upsert_route(route(CLAIM, "/claim/", svc="b", Prio=0)))
    conf, (outcome,) = merge(acknowledged(upsert_route(route(CLAIM, "/claim/", svc="c"))), edge_draft)
    assert (find_route(conf, CLAIM)["Action"]["Svc"], find_route(conf, CLAIM)["Prio"]) == ("c", 0)
    assert describe_draft(edge_draft, outcome)["Aside"] == [
        {"Field": "Routes/r-claim/Action/Svc", "Has": "c", "Wants": "b", "Why": "acknowledged since"}
    ]
    assert (
        (
            find_route(
                force_changes(
                    conf, [each for each in edge_draft.changes if each.path == outcome.conflicts[0].path]
                ),
                CLAIM,
            )["Action"]["Svc"]
        )
        == "b"
    )


def test_the_same_change_on_both_sides_is_applied_once() -> None:
    change = upsert_route(route(CLAIM, "/claim/", svc="b"))
    conf, (first_outcome, second_outcome) = merge(
        acknowledged(change), new_draft(change), new_draft(change, "another")
    )
    assert find_route(conf, CLAIM)["Action"]["Svc"] == "b"
    assert not (first_outcome.is_open)
    assert not (second_outcome.is_open)


def test_a_draft_does_not_restore_a_deleted_route_or_service() -> None:
    edge_draft = new_draft(upsert_route(route(CLAIM, "/claim/", svc="b")))
    conf, (outcome,) = merge(acknowledged({"Del": {"Routes": [CLAIM]}}), edge_draft)
    assert ("Routes", CLAIM) not in to_fields(conf)
    assert "is gone: acknowledged since" in outcome.conflicts[0].reason
    # The draft's service was deleted: the draft isn't applied and has an error.
    majority_conf = acknowledged({"Del": {"Svcs": ["b"]}, **upsert_route(route(SCRIPT, "/"), "b.example")})
    conf, (outcome,) = merge(majority_conf, edge_draft)
    assert (find_route(conf, CLAIM)["Action"]["Svc"], outcome.applied) == ("a", [])
    assert "'b' is not in Pools" in outcome.error
    with pytest.raises(InvalidInputError, match="put it whole"):
        force_changes(acknowledged({"Del": {"Routes": [CLAIM]}}), edge_draft.changes)


def test_a_deletion_is_applied_only_if_the_item_was_not_changed() -> None:
    deletion = new_draft({"Del": {"Routes": [CLAIM]}})
    conf, (outcome,) = merge(BASE, deletion)
    assert ("Routes", CLAIM) not in to_fields(conf)
    conf, (outcome,) = merge(acknowledged(upsert_route(route(CLAIM, "/claim/", Prio=0))), deletion)
    assert find_route(conf, CLAIM)["Prio"] == 0
    assert outcome.conflicts[0].reason == "Routes/r-claim/Prio: acknowledged since"


def test_api_keys_are_merged_one_by_one_and_never_shown() -> None:
    def keys(*names: str) -> dict:
        return {"Upsert": {"Tenants": [{**BASE["Tenants"][0], "Apikeys": list(names)}]}}

    first_draft, second_draft = new_draft(keys("key-1", "key-2")), new_draft(keys("key-3"))
    conf, (first_outcome, second_outcome) = merge(BASE, first_draft, second_draft)
    assert set(conf["Tenants"][0]["Apikeys"]) == {"key-2", "key-3"}
    for described in (
        describe_draft(first_draft, first_outcome),
        describe_draft(second_draft, second_outcome),
        describe_draft(second_draft, None),
    ):
        assert b"key-" not in msgspec.json.encode(described)
        assert b"Apikeys/(a key)" in msgspec.json.encode(described)


def test_order_of_arrival_and_duplicates_do_not_change_the_result() -> None:
    conflict_count = 0
    for seed in range(60):
        random = ConfigurationRandom(seed)
        base = random.configuration()
        drafts = random.drafts(base, 3)
        expected = merge_drafts(base, drafts)
        conflict_count += any(each.is_open for each in expected[1].values())
        for order in permutations(drafts):
            assert merge_drafts(base, list(order)) == expected, f"seed {seed}"
        assert merge_drafts(base, drafts + drafts[:1]) == expected
    assert conflict_count > 20  # the random drafts include conflicting ones


def test_every_field_of_every_draft_is_merged_or_reported() -> None:
    for seed in range(200):
        random = ConfigurationRandom(seed)
        base = random.configuration()
        drafts = random.drafts(base, 2)  # on the previous version, as on the minority side of a partition
        try:
            newest = apply_change(base, {"Ver": 10, **random.change()})
            configuration.read(newest)
        except InvalidInputError:
            newest = base
        drafts += random.drafts(newest, 1)  # and on the newest version
        conf, outcomes = merge_drafts(newest, drafts)
        configuration.read(conf)
        fields = to_fields(conf)
        for draft in drafts:
            outcome = outcomes[draft.id]
            if outcome.error:
                continue
            reported = {*outcome.applied, *(each.path for each in outcome.conflicts)}
            assert reported == {change.path for change in draft.changes}
            for change in draft.changes:
                if change.path in outcome.applied:
                    assert (change.path in fields, fields.get(change.path)) == (
                        change.is_present,
                        change.new_value,
                    ), f"seed {seed}"


def make_state_machine() -> StateMachine:
    """Return a controller's state machine with `BASE` as its configuration."""
    state_machine = StateMachine()
    change = ConfigurationChange(True, msgspec.json.encode({**BASE, "Base": 0}))
    assert state_machine.apply(1, encode_command(change)).status == 200
    return state_machine


def test_a_merged_draft_becomes_a_new_version_and_a_copy_of_it_changes_nothing() -> None:
    state_machine = make_state_machine()
    draft = new_draft(upsert_route(route(CLAIM, "/claim/", svc="b")))
    assert state_machine.apply(2, encode_command(MergeDraft(draft))).status == 200
    assert (state_machine.state.version, state_machine.state.merged_versions) == (5, [5])
    assert state_machine.apply(3, encode_command(MergeDraft(draft))).status == 200  # a peer's copy
    assert state_machine.state.version == 5
    assert [each.id for each, _ in state_machine.open_drafts().values()] == [draft.id]


def test_an_open_conflict_survives_later_changes_until_it_is_closed() -> None:
    state_machine = make_state_machine()
    draft = new_draft(upsert_route(route(CLAIM, "/claim/", svc="b")))
    change = {"Ver": 6, "Base": 4, **upsert_route(route(CLAIM, "/claim/", svc="c"))}
    assert (
        state_machine.apply(2, encode_command(ConfigurationChange(False, msgspec.json.encode(change)))).status
        == 200
    )
    state_machine.apply(3, encode_command(MergeDraft(draft)))
    # The draft conflicts and is not applied.
    assert (state_machine.state.version, state_machine.state.merged_versions) == (6, [])
    change = {"Ver": 9, "Base": 6, "Upsert": {"Pools": [{"Name": "d"}]}}
    assert (
        state_machine.apply(4, encode_command(ConfigurationChange(False, msgspec.json.encode(change)))).status
        == 200
    )
    restored = StateMachine()
    restored.load(state_machine.dump())
    for each in (state_machine, restored):
        assert each.open_drafts()[draft.id][1].is_open
        assert each.apply(5, encode_command(CloseDraft(draft.id))).status == 200
        assert each.open_drafts() == {}
        assert each.apply(6, encode_command(CloseDraft(draft.id))).status == 404
        # A late copy doesn't reopen the draft.
        assert each.apply(7, encode_command(MergeDraft(draft))).status == 200
        assert each.open_drafts() == {}


def test_a_change_on_a_version_older_than_the_merged_one_is_rejected() -> None:
    state_machine = make_state_machine()
    state_machine.apply(
        2, encode_command(MergeDraft(new_draft(upsert_route(route(CLAIM, "/claim/", svc="b")))))
    )
    change = {"Ver": 6, "Base": 4, **upsert_route(route(CLAIM, "/claim/", svc="c"))}
    assert (
        state_machine.apply(3, encode_command(ConfigurationChange(False, msgspec.json.encode(change)))).status
        == 412
    )


def test_too_many_drafts_and_malformed_ones_are_rejected() -> None:
    state_machine = make_state_machine()
    drafts = [
        new_draft(upsert_route(route(CLAIM, "/claim/", Prio=i)), f"e{i}") for i in range(MAX_DRAFTS + 1)
    ]
    results = [state_machine.apply(2 + i, encode_command(MergeDraft(each))) for i, each in enumerate(drafts)]
    assert [each.status for each in results] == [200] * MAX_DRAFTS + [409]
    before = state_machine.dump()
    for malformed in ([["Routes"], True, None, False, None], [["Ports", "x"], False, None, True, 7],
                      [["Routes", "x", "Action"], False, None, True, 7]):  # fmt: skip
        data = msgspec.msgpack.encode(["b", ["id", "by", "at", 4, [malformed]]])
        make_state_machine().apply(2, data)  # must not raise, as it would on every controller
    assert state_machine.dump() == before
