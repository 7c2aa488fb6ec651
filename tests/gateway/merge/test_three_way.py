"""Edits on both sides of a break: what drafts come to beside each other and beside what was acknowledged."""

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


def route(name: str, pfx: str, svc: str = "a", **more) -> dict:
    action = {"Svc": svc, "Timeout": "2s", **more.pop("Action", {})}
    if "Split" in action:
        del action["Svc"]
    return {"Name": name, "Mode": "mutate", "Match": {"Pfx": pfx}, "Action": action, **more}


GROUND = {
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


def put(rule: dict, host: str = "a.example") -> dict:
    return {"Upsert": {"Ports": [{"Vhost": host, "Policy": [rule]}]}}


def draft(change: dict, by: str = "edge", conf: dict = GROUND) -> Draft:
    return make_draft(conf, change, by, "m3")


def acknowledged(change: dict) -> dict:
    """What the majority's side has, once it took that."""
    return apply_change(GROUND, {"Ver": 5, **change})


def found(conf: dict, name: str) -> dict:
    return next(rule for port in conf["Ports"] for rule in port["Policy"] if rule["Name"] == name)


def outcome(ground: dict, *drafts: Draft):
    conf, outcomes = merge_drafts(ground, list(drafts))
    configuration.read(conf)
    return conf, [outcomes[each.id] for each in drafts]


def test_fields_round_trip_without_loss() -> None:
    assert from_fields(to_fields(GROUND), GROUND) == GROUND
    for seed in range(200):
        conf = ConfigurationRandom(seed).configuration()
        assert from_fields(to_fields(conf), conf) == conf


def test_the_changes_of_an_edit_lead_from_one_configuration_to_the_other() -> None:
    for seed in range(200):
        chance = ConfigurationRandom(seed)
        conf = chance.configuration()
        one = chance.drafts(conf, 1)[0]
        merged, outcomes = merge_drafts(conf, [one])
        assert not outcomes[one.id].is_open
        assert diff(to_fields(conf), to_fields(merged)) == one.changes


def test_edits_of_one_route_on_both_sides_are_both_kept() -> None:
    ours = acknowledged(put(route(CLAIM, "/claim/", Action={"Timeout": "3s"})))
    edge = draft(put(route(CLAIM, "/claim/", svc="b")))
    conf, (one,) = outcome(ours, edge)
    assert found(conf, CLAIM)["Action"] == {"Svc": "b", "Timeout": "3s"}
    assert not one.is_open


def test_a_split_is_merged_by_service() -> None:
    def split(**wt) -> dict:
        shares = [{"Svc": name, "Wt": each} for name, each in wt.items()]
        return put(route(SCRIPT, "/", Action={"Split": shares}), "b.example")

    conf, (one,) = outcome(acknowledged(split(a=90, b=10, c=5)), draft(split(a=70, b=10)))
    assert {each["Svc"]: each["Wt"] for each in found(conf, SCRIPT)["Action"]["Split"]} == {
        "a": 70,
        "b": 10,
        "c": 5,
    }
    assert not one.is_open
    # A split that became one service is one choice: nothing of the draft's is mixed into it.
    alone = acknowledged(put(route(SCRIPT, "/", svc="c"), "b.example"))
    for edit in (split(a=70, b=10), split(a=90, b=10, c=3)):
        conf, (one,) = outcome(alone, draft(edit))
        assert found(conf, SCRIPT)["Action"]["Svc"] == "c"
        assert (one.applied, bool(one.conflicts)) == ([], True)


def test_a_conflicting_field_keeps_the_acknowledged_value_and_is_reported() -> None:
    edge = draft(put(route(CLAIM, "/claim/", svc="b", Prio=0)))
    conf, (one,) = outcome(acknowledged(put(route(CLAIM, "/claim/", svc="c"))), edge)
    assert (found(conf, CLAIM)["Action"]["Svc"], found(conf, CLAIM)["Prio"]) == ("c", 0)
    assert describe_draft(edge, one)["Aside"] == [
        {"Field": "Routes/r-claim/Action/Svc", "Has": "c", "Wants": "b", "Why": "acknowledged since"}
    ]
    assert (
        (
            found(
                force_changes(conf, [op for op in edge.changes if op.path == one.conflicts[0].path]), CLAIM
            )["Action"]["Svc"]
        )
        == "b"
    )


def test_the_same_change_on_both_sides_is_applied_once() -> None:
    change = put(route(CLAIM, "/claim/", svc="b"))
    conf, (one, two) = outcome(acknowledged(change), draft(change), draft(change, "another"))
    assert found(conf, CLAIM)["Action"]["Svc"] == "b"
    assert not (one.is_open)
    assert not (two.is_open)


def test_an_edit_does_not_restore_a_deleted_route_or_service() -> None:
    edge = draft(put(route(CLAIM, "/claim/", svc="b")))
    conf, (one,) = outcome(acknowledged({"Del": {"Routes": [CLAIM]}}), edge)
    assert ("Routes", CLAIM) not in to_fields(conf)
    assert "is gone: acknowledged since" in one.conflicts[0].reason
    # A service that was taken away meanwhile: the draft stays a draft, with what is wrong.
    ours = acknowledged({"Del": {"Svcs": ["b"]}, **put(route(SCRIPT, "/"), "b.example")})
    conf, (one,) = outcome(ours, edge)
    assert (found(conf, CLAIM)["Action"]["Svc"], one.applied) == ("a", [])
    assert "'b' is not in Pools" in one.error
    with pytest.raises(InvalidInputError, match="put it whole"):
        force_changes(acknowledged({"Del": {"Routes": [CLAIM]}}), edge.changes)


def test_a_deletion_is_kept_only_where_nobody_changed_the_item() -> None:
    ends = draft({"Del": {"Routes": [CLAIM]}})
    conf, (one,) = outcome(GROUND, ends)
    assert ("Routes", CLAIM) not in to_fields(conf)
    conf, (one,) = outcome(acknowledged(put(route(CLAIM, "/claim/", Prio=0))), ends)
    assert found(conf, CLAIM)["Prio"] == 0
    assert one.conflicts[0].reason == "Routes/r-claim/Prio: acknowledged since"


def test_keys_are_merged_one_by_one_and_never_shown() -> None:
    def keys(*names: str) -> dict:
        return {"Upsert": {"Tenants": [{**GROUND["Tenants"][0], "Apikeys": list(names)}]}}

    one, two = draft(keys("key-1", "key-2")), draft(keys("key-3"))
    conf, (first, second) = outcome(GROUND, one, two)
    assert set(conf["Tenants"][0]["Apikeys"]) == {"key-2", "key-3"}
    for said in (describe_draft(one, first), describe_draft(two, second), describe_draft(two, None)):
        assert b"key-" not in msgspec.json.encode(said)
        assert b"Apikeys/(a key)" in msgspec.json.encode(said)


def test_order_of_arrival_and_duplicates_do_not_matter() -> None:
    met = 0
    for seed in range(60):
        chance = ConfigurationRandom(seed)
        ground = chance.configuration()
        drafts = chance.drafts(ground, 3)
        first = merge_drafts(ground, drafts)
        met += any(each.is_open for each in first[1].values())
        for order in permutations(drafts):
            assert merge_drafts(ground, list(order)) == first, f"seed {seed}"
        assert merge_drafts(ground, drafts + drafts[:1]) == first
    assert met > 20  # drafts that contradict each other are among them


def test_every_field_of_every_draft_is_merged_or_reported() -> None:
    for seed in range(200):
        chance = ConfigurationRandom(seed)
        base = chance.configuration()
        drafts = chance.drafts(base, 2)  # on the version before, as on a side that heard nothing since
        try:
            ground = apply_change(base, {"Ver": 10, **chance.change()})
            configuration.read(ground)
        except InvalidInputError:
            ground = base
        drafts += chance.drafts(ground, 1)  # and on the newest one
        conf, outcomes = merge_drafts(ground, drafts)
        configuration.read(conf)
        now = to_fields(conf)
        for one in drafts:
            got = outcomes[one.id]
            if got.error:
                continue
            told_of = {*got.applied, *(each.path for each in got.conflicts)}
            assert told_of == {op.path for op in one.changes}
            for op in one.changes:
                if op.path in got.applied:
                    assert (op.path in now, now.get(op.path)) == (op.is_present, op.new_value), f"seed {seed}"


def make_state_machine() -> StateMachine:
    state_machine = StateMachine()
    change = ConfigurationChange(True, msgspec.json.encode({**GROUND, "Base": 0}))
    assert state_machine.apply(1, encode_command(change)).status == 200
    return state_machine


def test_a_merged_version_is_staged_and_activated_under_a_fencing_token() -> None:
    state_machine = make_state_machine()
    one = draft(put(route(CLAIM, "/claim/", svc="b")))
    assert state_machine.apply(2, encode_command(MergeDraft(one))).status == 200
    assert (state_machine.state.version, state_machine.state.merged_versions) == (5, [5])
    assert state_machine.apply(3, encode_command(MergeDraft(one))).status == 200  # a neighbour's copy
    assert state_machine.state.version == 5
    assert [each.id for each, _ in state_machine.open_drafts().values()] == [one.id]


def test_an_open_conflict_survives_later_changes_until_it_is_closed() -> None:
    state_machine = make_state_machine()
    one = draft(put(route(CLAIM, "/claim/", svc="b")))
    change = {"Ver": 6, "Base": 4, **put(route(CLAIM, "/claim/", svc="c"))}
    assert (
        state_machine.apply(2, encode_command(ConfigurationChange(False, msgspec.json.encode(change)))).status
        == 200
    )
    state_machine.apply(3, encode_command(MergeDraft(one)))
    # nothing of it stands
    assert (state_machine.state.version, state_machine.state.merged_versions) == (6, [])
    change = {"Ver": 9, "Base": 6, "Upsert": {"Pools": [{"Name": "d"}]}}
    assert (
        state_machine.apply(4, encode_command(ConfigurationChange(False, msgspec.json.encode(change)))).status
        == 200
    )
    again = StateMachine()
    again.load(state_machine.dump())
    for each in (state_machine, again):
        assert each.open_drafts()[one.id][1].is_open
        assert each.apply(5, encode_command(CloseDraft(one.id))).status == 200
        assert each.open_drafts() == {}
        assert each.apply(6, encode_command(CloseDraft(one.id))).status == 404
        # a late copy opens nothing again
        assert each.apply(7, encode_command(MergeDraft(one))).status == 200
        assert each.open_drafts() == {}


def test_a_change_on_a_version_older_than_the_merged_one_is_rejected() -> None:
    state_machine = make_state_machine()
    state_machine.apply(2, encode_command(MergeDraft(draft(put(route(CLAIM, "/claim/", svc="b"))))))
    change = {"Ver": 6, "Base": 4, **put(route(CLAIM, "/claim/", svc="c"))}
    assert (
        state_machine.apply(3, encode_command(ConfigurationChange(False, msgspec.json.encode(change)))).status
        == 412
    )


def test_too_many_drafts_and_malformed_ones_are_rejected() -> None:
    state_machine = make_state_machine()
    drafts = [draft(put(route(CLAIM, "/claim/", Prio=i)), f"e{i}") for i in range(MAX_DRAFTS + 1)]
    answers = [state_machine.apply(2 + i, encode_command(MergeDraft(each))) for i, each in enumerate(drafts)]
    assert [each.status for each in answers] == [200] * MAX_DRAFTS + [409]
    before = state_machine.dump()
    for bad in ([["Routes"], True, None, False, None], [["Ports", "x"], False, None, True, 7],
                [["Routes", "x", "Action"], False, None, True, 7]):  # fmt: skip
        data = msgspec.msgpack.encode(["b", ["id", "by", "at", 4, [bad]]])
        make_state_machine().apply(2, data)  # no traceback, on any controller
    assert state_machine.dump() == before
