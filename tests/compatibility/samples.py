"""Sample instances of all encoded types, with no field at its default.

This is the only module of these tests that names the fields of the types. If a field or class is renamed, it
is renamed here and the bytes in `data/` stay unchanged. Each number and text is used only once, so that two
swapped fields are detected.
"""

from dataclasses import dataclass
from typing import Any

import msgspec

from lapisgrade.gateway import (
    configuration,
    configuration_delta,
    registry,
    rpc_connection,
    rpc_messages,
    settings,
)
from lapisgrade.gateway.consensus import messages, records
from lapisgrade.gateway.controller import commands, state
from lapisgrade.gateway.membership import gossip, partial_view
from lapisgrade.gateway.merge import fields as merge_fields
from lapisgrade.gateway.merge import three_way
from lapisgrade.gateway.operations import outcomes, table
from lapisgrade.gateway.storage import log_format
from lapisgrade.members import host
from lapisgrade.members import messages as member_messages


@dataclass(frozen=True)
class Sample:
    """A sample of an encoded type.

    Attributes:
        instance: The value to encode.
        decoded_as: Type to decode the bytes as; a union for tagged types.
    """

    instance: Any
    decoded_as: Any


RPC_MESSAGES = {
    "rpc/forward-call": Sample(
        rpc_messages.ForwardCall(call="text-1", subject="text-2", body=b"bytes-3"), rpc_messages.Message
    ),
    "rpc/forward-call-reply": Sample(
        rpc_messages.ForwardCallReply(status=1004, body=b"bytes-5", leader_address="text-6"),
        rpc_messages.Message,
    ),
    "rpc/watch-request": Sample(
        rpc_messages.WatchRequest(
            proxy="text-7",
            address="text-8",
            incarnation="text-9",
            zone="text-10",
            active_version=1011,
            registry_incarnation="text-12",
            registry_revision=1013,
            fencing_token=1014,
            known_servers=[
                registry.Server(
                    id="text-15",
                    service="text-16",
                    address="text-17",
                    zone="text-18",
                    slots=1019,
                    state="text-20",
                    sequence_number=1021,
                    warm_up_us=1022,
                    revision=1023,
                ),
                registry.Server(
                    id="text-24",
                    service="text-25",
                    address="text-26",
                    zone="text-27",
                    slots=1028,
                    state="text-29",
                    sequence_number=1030,
                    warm_up_us=1031,
                    revision=1032,
                ),
            ],
            unreachable_proxies=["text-33", "text-34"],
            staged_version=1035,
            has_local_controller=True,
            needs_full_version=True,
            is_terminating=True,
        ),
        rpc_messages.Message,
    ),
    "rpc/watch-reply": Sample(
        rpc_messages.WatchReply(
            is_leader=True,
            leader_address="text-40",
            controllers=["text-41", "text-42"],
            active_version=1043,
            active_configuration=configuration_delta.EncodedVersion(
                version=1044, base=1045, digest=b"bytes-46", data=b"bytes-47"
            ),
            registry_incarnation="text-48",
            registry_revision=1049,
            is_registry_complete=True,
            is_full_update=True,
            servers=[
                registry.Server(
                    id="text-52",
                    service="text-53",
                    address="text-54",
                    zone="text-55",
                    slots=1056,
                    state="text-57",
                    sequence_number=1058,
                    warm_up_us=1059,
                    revision=1060,
                ),
                registry.Server(
                    id="text-61",
                    service="text-62",
                    address="text-63",
                    zone="text-64",
                    slots=1065,
                    state="text-66",
                    sequence_number=1067,
                    warm_up_us=1068,
                    revision=1069,
                ),
            ],
            fencing_token=1070,
            live_proxies={"text-71": ("text-72", "text-73", "text-74")},
            requests_known_servers=True,
            staged_versions={
                1076: configuration_delta.EncodedVersion(
                    version=1077, base=1078, digest=b"bytes-79", data=b"bytes-80"
                )
            },
            merged_versions=[1081, 1082],
            proxies_with_controller=["text-83", "text-84"],
            previous_fencing_token=1085,
            terminating_proxies=["text-86", "text-87"],
            previous_owners=["text-88", "text-89"],
            earlier_owners=[("text-90", "text-91"), ("text-92", "text-93")],
            live_proxies_delta=rpc_messages.ProxyListDelta(
                base=1094,
                changed={"text-95": ("text-96", "text-97", "text-98")},
                removed=["text-99", "text-100"],
            ),
            lacks_versions=True,
        ),
        rpc_messages.Message,
    ),
    "rpc/quota-request": Sample(
        rpc_messages.QuotaRequest(
            tenant="text-101",
            units=102.25,
            requester="text-103",
            fencing_token=1104,
            rate=105.25,
            burst=106.25,
            returned_units=107.25,
            sequence_number=1108,
            returned_from=1109,
        ),
        rpc_messages.Message,
    ),
    "rpc/quota-reply": Sample(
        rpc_messages.QuotaReply(is_accepted=True, total=111.25, active_limiters=1112, fencing_token=1113),
        rpc_messages.Message,
    ),
    "rpc/hand-over-request": Sample(
        rpc_messages.HandOverRequest(
            tenant="text-114",
            requester="text-115",
            fencing_token=1116,
            rate=117.25,
            burst=118.25,
            incarnation="text-119",
        ),
        rpc_messages.Message,
    ),
    "rpc/hand-over-reply": Sample(
        rpc_messages.HandOverReply(
            must_wait=True,
            count=rpc_messages.HandedCount(level=121.25, outstanding_grants=122.25, reserve_us=1123),
        ),
        rpc_messages.Message,
    ),
    "rpc/proxy-loads": Sample(
        rpc_messages.ProxyLoads(
            proxy="text-124", in_flight={"text-125": 1126}, unhealthy_servers=["text-127", "text-128"]
        ),
        rpc_messages.Message,
    ),
    "rpc/copy-draft": Sample(
        rpc_messages.CopyDraft(
            draft=three_way.Draft(
                id="text-129",
                author="text-130",
                controller="text-131",
                base_version=1132,
                changes=[
                    merge_fields.FieldChange(
                        path=("text-133", "text-134"),
                        was_present=True,
                        base_value=["any-136", 136],
                        is_present=True,
                        new_value=["any-138", 138],
                    ),
                    merge_fields.FieldChange(
                        path=("text-139", "text-140"),
                        was_present=True,
                        base_value=["any-142", 142],
                        is_present=True,
                        new_value=["any-144", 144],
                    ),
                ],
            )
        ),
        rpc_messages.Message,
    ),
    "rpc/copy-draft-reply": Sample(rpc_messages.CopyDraftReply(is_stored=True), rpc_messages.Message),
    "rpc/claim-request": Sample(
        rpc_messages.ClaimRequest(
            claim=table.Claim(
                tenant="text-673", key="text-674", attempt="text-675", owner="text-676", replaces="text-677"
            )
        ),
        rpc_messages.Message,
    ),
    "rpc/claim-reply": Sample(
        rpc_messages.ClaimReply(
            is_known=True, attempt="text-679", owner="text-680", leader_address="text-681"
        ),
        rpc_messages.Message,
    ),
    "rpc/outcome-request": Sample(
        rpc_messages.OutcomeRequest(attempt="text-682", wait_us=1683), rpc_messages.Message
    ),
    "rpc/outcome-reply": Sample(
        rpc_messages.OutcomeReply(
            outcome=outcomes.Outcome(
                state=outcomes.OutcomeState.ANSWERED,
                status=1685,
                header_lines=b"bytes-686",
                body=b"bytes-687",
            )
        ),
        rpc_messages.Message,
    ),
}

CONSENSUS_MESSAGES = {
    "consensus/request-vote": Sample(
        messages.RequestVote(
            term=1146,
            candidate="text-147",
            address="text-148",
            last_log_index=1149,
            last_log_term=1150,
            pre_vote=True,
            lease_free=True,
            pre_vote_round=1153,
        ),
        messages.Message,
    ),
    "consensus/request-vote-reply": Sample(
        messages.RequestVoteReply(
            term=1154,
            voter="text-155",
            granted=True,
            pre_vote=True,
            unanimous_only=True,
            lease_free=True,
            pre_vote_round=1160,
        ),
        messages.Message,
    ),
    "consensus/append-entries": Sample(
        messages.AppendEntries(
            term=1161,
            leader="text-162",
            address="text-163",
            follower="text-164",
            prev_log_index=1165,
            prev_log_term=1166,
            leader_commit=1167,
            sent_us=1168,
            entries=[
                messages.Entry(index=1169, term=1170, data=b"bytes-171", voters={"text-172": "text-173"}),
                messages.Entry(index=1174, term=1175, data=b"bytes-176", voters={"text-177": "text-178"}),
            ],
        ),
        messages.Message,
    ),
    "consensus/append-entries-reply": Sample(
        messages.AppendEntriesReply(
            term=1179, follower="text-180", address="text-181", success=True, match_index=1183, sent_us=1184
        ),
        messages.Message,
    ),
    "consensus/install-snapshot": Sample(
        messages.InstallSnapshot(
            term=1185,
            leader="text-186",
            address="text-187",
            follower="text-188",
            last_index=1189,
            last_term=1190,
            voters={"text-191": "text-192"},
            data=b"bytes-193",
            sent_us=1194,
            offset=1195,
            total=1196,
        ),
        messages.Message,
    ),
    "consensus/install-snapshot-reply": Sample(
        messages.InstallSnapshotReply(
            term=1197,
            follower="text-198",
            address="text-199",
            last_index=1200,
            next_offset=1201,
            sent_us=1202,
        ),
        messages.Message,
    ),
    "consensus/join-request": Sample(
        messages.JoinRequest(node="text-203", address="text-204"), messages.Message
    ),
    "consensus/leader-hint": Sample(
        messages.LeaderHint(term=1205, leader="text-206", address="text-207"), messages.Message
    ),
    "consensus/leave-request": Sample(messages.LeaveRequest(node="text-208"), messages.Message),
    "consensus/timeout-now": Sample(messages.TimeoutNow(term=1209, successor="text-210"), messages.Message),
}

DURABLE_RECORDS = {
    "record/hard-state": Sample(records.HardState(term=1211, voted_for="text-212"), records.Record),
    "record/entries-record": Sample(
        records.EntriesRecord(
            entries=[
                messages.Entry(index=1213, term=1214, data=b"bytes-215", voters={"text-216": "text-217"}),
                messages.Entry(index=1218, term=1219, data=b"bytes-220", voters={"text-221": "text-222"}),
            ],
            commit_index=1223,
        ),
        records.Record,
    ),
    "record/snapshot-record": Sample(
        records.SnapshotRecord(
            identity="text-224",
            term=1225,
            voted_for="text-226",
            snapshot_index=1227,
            snapshot_term=1228,
            voters={"text-229": "text-230"},
            state=b"bytes-231",
            entries=[
                messages.Entry(index=1232, term=1233, data=b"bytes-234", voters={"text-235": "text-236"}),
                messages.Entry(index=1237, term=1238, data=b"bytes-239", voters={"text-240": "text-241"}),
            ],
            commit_index=1242,
        ),
        records.Record,
    ),
}

LOG_ENTRIES = {
    "entry/change": Sample(
        commands.ConfigurationChange(replaces_all=True, body=b"bytes-244"), commands.LogCommand
    ),
    "entry/new-version": Sample(
        commands.NewVersion(
            change_digest=b"bytes-245",
            encoded=configuration_delta.EncodedVersion(
                version=1246, base=1247, digest=b"bytes-248", data=b"bytes-249"
            ),
        ),
        commands.LogCommand,
    ),
    "entry/server-leaving": Sample(
        commands.ServerLeaving(server="text-250", is_gone=True), commands.LogCommand
    ),
    "entry/live-proxies": Sample(
        commands.LiveProxies(
            members={"text-252": ("text-253", "text-254", "text-255")},
            proxies_with_controller=["text-256", "text-257"],
            terminating_proxies=["text-258", "text-259"],
        ),
        commands.LogCommand,
    ),
    "entry/server-snapshot": Sample(
        commands.ServerSnapshot(
            servers=[
                registry.Server(
                    id="text-260",
                    service="text-261",
                    address="text-262",
                    zone="text-263",
                    slots=1264,
                    state="text-265",
                    sequence_number=1266,
                    warm_up_us=1267,
                    revision=1268,
                ),
                registry.Server(
                    id="text-269",
                    service="text-270",
                    address="text-271",
                    zone="text-272",
                    slots=1273,
                    state="text-274",
                    sequence_number=1275,
                    warm_up_us=1276,
                    revision=1277,
                ),
            ]
        ),
        commands.LogCommand,
    ),
    "entry/activate": Sample(commands.Activate(version=1278), commands.LogCommand),
    "entry/merge-draft": Sample(
        commands.MergeDraft(
            draft=three_way.Draft(
                id="text-279",
                author="text-280",
                controller="text-281",
                base_version=1282,
                changes=[
                    merge_fields.FieldChange(
                        path=("text-283", "text-284"),
                        was_present=True,
                        base_value=["any-286", 286],
                        is_present=True,
                        new_value=["any-288", 288],
                    ),
                    merge_fields.FieldChange(
                        path=("text-289", "text-290"),
                        was_present=True,
                        base_value=["any-292", 292],
                        is_present=True,
                        new_value=["any-294", 294],
                    ),
                ],
            )
        ),
        commands.LogCommand,
    ),
    "entry/close-draft": Sample(commands.CloseDraft(draft_id="text-295"), commands.LogCommand),
    "entry/claim-operations": Sample(
        commands.ClaimOperations(
            elapsed_us=1688,
            retention_us=1689,
            claims=[
                table.Claim(
                    tenant="text-690",
                    key="text-691",
                    attempt="text-692",
                    owner="text-693",
                    replaces="text-694",
                ),
                table.Claim(
                    tenant="text-695",
                    key="text-696",
                    attempt="text-697",
                    owner="text-698",
                    replaces="text-699",
                ),
            ],
        ),
        commands.LogCommand,
    ),
}

GOSSIP_MESSAGES = {
    "gossip/shuffle": Sample(
        partial_view.Shuffle(
            is_reply=True,
            control_hint=partial_view.ControlHint(
                term=1297, leader="text-298", controllers=["text-299", "text-300"]
            ),
            updates=[
                partial_view.Neighbour(address="text-301", zone="text-302", age=1303),
                partial_view.Neighbour(address="text-304", zone="text-305", age=1306),
            ],
        ),
        partial_view.Shuffle,
    ),
}

MEMBER_MESSAGES = {
    "member/ping": Sample(
        member_messages.Ping(
            number=1307,
            name="text-308",
            updates=[
                member_messages.Update(
                    name="text-309", address="text-310", incarnation=1311, state=1312, reporter="text-313"
                ),
                member_messages.Update(
                    name="text-314", address="text-315", incarnation=1316, state=1317, reporter="text-318"
                ),
            ],
        ),
        member_messages.Message,
    ),
    "member/ask": Sample(
        member_messages.PingRequest(
            number=1319,
            name="text-320",
            address="text-321",
            updates=[
                member_messages.Update(
                    name="text-322", address="text-323", incarnation=1324, state=1325, reporter="text-326"
                ),
                member_messages.Update(
                    name="text-327", address="text-328", incarnation=1329, state=1330, reporter="text-331"
                ),
            ],
        ),
        member_messages.Message,
    ),
    "member/ack": Sample(
        member_messages.Ack(
            number=1332,
            missed=True,
            updates=[
                member_messages.Update(
                    name="text-334", address="text-335", incarnation=1336, state=1337, reporter="text-338"
                ),
                member_messages.Update(
                    name="text-339", address="text-340", incarnation=1341, state=1342, reporter="text-343"
                ),
            ],
        ),
        member_messages.Message,
    ),
    "member/sync": Sample(
        member_messages.Sync(
            is_reply=True,
            updates=[
                member_messages.Update(
                    name="text-345", address="text-346", incarnation=1347, state=1348, reporter="text-349"
                ),
                member_messages.Update(
                    name="text-350", address="text-351", incarnation=1352, state=1353, reporter="text-354"
                ),
            ],
        ),
        member_messages.Message,
    ),
}

SAVED_STATES = {
    "state/state": Sample(
        state.State(
            configuration=b"bytes-355",
            version=1356,
            applied_changes={1357: b"bytes-358"},
            departed_servers={"text-359": True},
            live_proxies={"text-361": ("text-362", "text-363", "text-364")},
            proxies_with_controller=["text-365", "text-366"],
            server_snapshot=[
                registry.Server(
                    id="text-367",
                    service="text-368",
                    address="text-369",
                    zone="text-370",
                    slots=1371,
                    state="text-372",
                    sequence_number=1373,
                    warm_up_us=1374,
                    revision=1375,
                ),
                registry.Server(
                    id="text-376",
                    service="text-377",
                    address="text-378",
                    zone="text-379",
                    slots=1380,
                    state="text-381",
                    sequence_number=1382,
                    warm_up_us=1383,
                    revision=1384,
                ),
            ],
            fencing_token=1385,
            active_configuration=b"bytes-386",
            active_version=1387,
            staged_versions={1388: b"bytes-389"},
            merge_base=b"bytes-390",
            drafts=[
                three_way.Draft(
                    id="text-391",
                    author="text-392",
                    controller="text-393",
                    base_version=1394,
                    changes=[
                        merge_fields.FieldChange(
                            path=("text-395", "text-396"),
                            was_present=True,
                            base_value=["any-398", 398],
                            is_present=True,
                            new_value=["any-400", 400],
                        ),
                        merge_fields.FieldChange(
                            path=("text-401", "text-402"),
                            was_present=True,
                            base_value=["any-404", 404],
                            is_present=True,
                            new_value=["any-406", 406],
                        ),
                    ],
                ),
                three_way.Draft(
                    id="text-407",
                    author="text-408",
                    controller="text-409",
                    base_version=1410,
                    changes=[
                        merge_fields.FieldChange(
                            path=("text-411", "text-412"),
                            was_present=True,
                            base_value=["any-414", 414],
                            is_present=True,
                            new_value=["any-416", 416],
                        ),
                        merge_fields.FieldChange(
                            path=("text-417", "text-418"),
                            was_present=True,
                            base_value=["any-420", 420],
                            is_present=True,
                            new_value=["any-422", 422],
                        ),
                    ],
                ),
            ],
            outcomes={
                "text-423": three_way.MergeOutcome(
                    applied=[("text-424", "text-425"), ("text-426", "text-427")],
                    conflicts=[
                        three_way.MergeConflict(
                            path=("text-428", "text-429"),
                            current_value=["any-430", 430],
                            wanted_value=["any-431", 431],
                            reason="text-432",
                        ),
                        three_way.MergeConflict(
                            path=("text-433", "text-434"),
                            current_value=["any-435", 435],
                            wanted_value=["any-436", 436],
                            reason="text-437",
                        ),
                    ],
                    error="text-438",
                )
            },
            unresolved_drafts={
                "text-439": (
                    three_way.Draft(
                        id="text-440",
                        author="text-441",
                        controller="text-442",
                        base_version=1443,
                        changes=[
                            merge_fields.FieldChange(
                                path=("text-444", "text-445"),
                                was_present=True,
                                base_value=["any-447", 447],
                                is_present=True,
                                new_value=["any-449", 449],
                            ),
                            merge_fields.FieldChange(
                                path=("text-450", "text-451"),
                                was_present=True,
                                base_value=["any-453", 453],
                                is_present=True,
                                new_value=["any-455", 455],
                            ),
                        ],
                    ),
                    three_way.MergeOutcome(
                        applied=[("text-456", "text-457"), ("text-458", "text-459")],
                        conflicts=[
                            three_way.MergeConflict(
                                path=("text-460", "text-461"),
                                current_value=["any-462", 462],
                                wanted_value=["any-463", 463],
                                reason="text-464",
                            ),
                            three_way.MergeConflict(
                                path=("text-465", "text-466"),
                                current_value=["any-467", 467],
                                wanted_value=["any-468", 468],
                                reason="text-469",
                            ),
                        ],
                        error="text-470",
                    ),
                )
            },
            closed_drafts=["text-471", "text-472"],
            merged_draft_ids=["text-473", "text-474"],
            merged_versions=[1475, 1476],
            previous_fencing_token=1477,
            terminating_proxies=["text-478", "text-479"],
            previous_owners=["text-480", "text-481"],
            forgotten_version=1482,
            operations=table.OperationTable(
                clock_us=1700,
                records={
                    "text-701": table.OperationRecord(attempt="text-702", owner="text-703", claimed_us=1704)
                },
                tenant_records={"text-705": 1706},
            ),
        ),
        state.State,
    ),
    "state/saved-state": Sample(
        state.SavedState(
            state=state.State(
                configuration=b"bytes-483",
                version=1484,
                applied_changes={1485: b"bytes-486"},
                departed_servers={"text-487": True},
                live_proxies={"text-489": ("text-490", "text-491", "text-492")},
                proxies_with_controller=["text-493", "text-494"],
                server_snapshot=[
                    registry.Server(
                        id="text-495",
                        service="text-496",
                        address="text-497",
                        zone="text-498",
                        slots=1499,
                        state="text-500",
                        sequence_number=1501,
                        warm_up_us=1502,
                        revision=1503,
                    ),
                    registry.Server(
                        id="text-504",
                        service="text-505",
                        address="text-506",
                        zone="text-507",
                        slots=1508,
                        state="text-509",
                        sequence_number=1510,
                        warm_up_us=1511,
                        revision=1512,
                    ),
                ],
                fencing_token=1513,
                active_configuration=b"bytes-514",
                active_version=1515,
                staged_versions={1516: b"bytes-517"},
                merge_base=b"bytes-518",
                drafts=[
                    three_way.Draft(
                        id="text-519",
                        author="text-520",
                        controller="text-521",
                        base_version=1522,
                        changes=[
                            merge_fields.FieldChange(
                                path=("text-523", "text-524"),
                                was_present=True,
                                base_value=["any-526", 526],
                                is_present=True,
                                new_value=["any-528", 528],
                            ),
                            merge_fields.FieldChange(
                                path=("text-529", "text-530"),
                                was_present=True,
                                base_value=["any-532", 532],
                                is_present=True,
                                new_value=["any-534", 534],
                            ),
                        ],
                    ),
                    three_way.Draft(
                        id="text-535",
                        author="text-536",
                        controller="text-537",
                        base_version=1538,
                        changes=[
                            merge_fields.FieldChange(
                                path=("text-539", "text-540"),
                                was_present=True,
                                base_value=["any-542", 542],
                                is_present=True,
                                new_value=["any-544", 544],
                            ),
                            merge_fields.FieldChange(
                                path=("text-545", "text-546"),
                                was_present=True,
                                base_value=["any-548", 548],
                                is_present=True,
                                new_value=["any-550", 550],
                            ),
                        ],
                    ),
                ],
                outcomes={
                    "text-551": three_way.MergeOutcome(
                        applied=[("text-552", "text-553"), ("text-554", "text-555")],
                        conflicts=[
                            three_way.MergeConflict(
                                path=("text-556", "text-557"),
                                current_value=["any-558", 558],
                                wanted_value=["any-559", 559],
                                reason="text-560",
                            ),
                            three_way.MergeConflict(
                                path=("text-561", "text-562"),
                                current_value=["any-563", 563],
                                wanted_value=["any-564", 564],
                                reason="text-565",
                            ),
                        ],
                        error="text-566",
                    )
                },
                unresolved_drafts={
                    "text-567": (
                        three_way.Draft(
                            id="text-568",
                            author="text-569",
                            controller="text-570",
                            base_version=1571,
                            changes=[
                                merge_fields.FieldChange(
                                    path=("text-572", "text-573"),
                                    was_present=True,
                                    base_value=["any-575", 575],
                                    is_present=True,
                                    new_value=["any-577", 577],
                                ),
                                merge_fields.FieldChange(
                                    path=("text-578", "text-579"),
                                    was_present=True,
                                    base_value=["any-581", 581],
                                    is_present=True,
                                    new_value=["any-583", 583],
                                ),
                            ],
                        ),
                        three_way.MergeOutcome(
                            applied=[("text-584", "text-585"), ("text-586", "text-587")],
                            conflicts=[
                                three_way.MergeConflict(
                                    path=("text-588", "text-589"),
                                    current_value=["any-590", 590],
                                    wanted_value=["any-591", 591],
                                    reason="text-592",
                                ),
                                three_way.MergeConflict(
                                    path=("text-593", "text-594"),
                                    current_value=["any-595", 595],
                                    wanted_value=["any-596", 596],
                                    reason="text-597",
                                ),
                            ],
                            error="text-598",
                        ),
                    )
                },
                closed_drafts=["text-599", "text-600"],
                merged_draft_ids=["text-601", "text-602"],
                merged_versions=[1603, 1604],
                previous_fencing_token=1605,
                terminating_proxies=["text-606", "text-607"],
                previous_owners=["text-608", "text-609"],
                forgotten_version=1610,
                operations=table.OperationTable(
                    clock_us=1707,
                    records={
                        "text-708": table.OperationRecord(
                            attempt="text-709", owner="text-710", claimed_us=1711
                        )
                    },
                    tenant_records={"text-712": 1713},
                ),
            ),
            configuration=b"bytes-611",
            active_configuration=configuration_delta.EncodedVersion(
                version=1612, base=1613, digest=b"bytes-614", data=b"bytes-615"
            ),
            merge_base=configuration_delta.EncodedVersion(
                version=1616, base=1617, digest=b"bytes-618", data=b"bytes-619"
            ),
            staged_versions={
                1620: configuration_delta.EncodedVersion(
                    version=1621, base=1622, digest=b"bytes-623", data=b"bytes-624"
                )
            },
        ),
        state.SavedState,
    ),
}

STORED_DRAFTS = {
    "drafts/kept": Sample(
        [
            three_way.Draft(
                id="text-625",
                author="text-626",
                controller="text-627",
                base_version=1628,
                changes=[
                    merge_fields.FieldChange(
                        path=("text-629", "text-630"),
                        was_present=True,
                        base_value=["any-632", 632],
                        is_present=True,
                        new_value=["any-634", 634],
                    ),
                    merge_fields.FieldChange(
                        path=("text-635", "text-636"),
                        was_present=True,
                        base_value=["any-638", 638],
                        is_present=True,
                        new_value=["any-640", 640],
                    ),
                ],
            ),
            three_way.Draft(
                id="text-641",
                author="text-642",
                controller="text-643",
                base_version=1644,
                changes=[
                    merge_fields.FieldChange(
                        path=("text-645", "text-646"),
                        was_present=True,
                        base_value=["any-648", 648],
                        is_present=True,
                        new_value=["any-650", 650],
                    ),
                    merge_fields.FieldChange(
                        path=("text-651", "text-652"),
                        was_present=True,
                        base_value=["any-654", 654],
                        is_present=True,
                        new_value=["any-656", 656],
                    ),
                ],
            ),
        ],
        list[three_way.Draft],
    ),
}

# Instances with differing flags, so that two swapped flags are detected.
FLAG_VARIANTS = {
    "rpc/watch-request/flags-1": Sample(
        msgspec.structs.replace(RPC_MESSAGES["rpc/watch-request"].instance, needs_full_version=False),
        rpc_messages.Message,
    ),
    "rpc/watch-request/flags-2": Sample(
        msgspec.structs.replace(RPC_MESSAGES["rpc/watch-request"].instance, is_terminating=False),
        rpc_messages.Message,
    ),
    "rpc/watch-reply/flags-1": Sample(
        msgspec.structs.replace(
            RPC_MESSAGES["rpc/watch-reply"].instance, is_registry_complete=False, requests_known_servers=False
        ),
        rpc_messages.Message,
    ),
    "rpc/watch-reply/flags-2": Sample(
        msgspec.structs.replace(
            RPC_MESSAGES["rpc/watch-reply"].instance, is_full_update=False, requests_known_servers=False
        ),
        rpc_messages.Message,
    ),
    "consensus/request-vote/flags-1": Sample(
        msgspec.structs.replace(CONSENSUS_MESSAGES["consensus/request-vote"].instance, lease_free=False),
        messages.Message,
    ),
    "consensus/request-vote-reply/flags-1": Sample(
        msgspec.structs.replace(
            CONSENSUS_MESSAGES["consensus/request-vote-reply"].instance, pre_vote=False, lease_free=False
        ),
        messages.Message,
    ),
    "consensus/request-vote-reply/flags-2": Sample(
        msgspec.structs.replace(
            CONSENSUS_MESSAGES["consensus/request-vote-reply"].instance,
            unanimous_only=False,
            lease_free=False,
        ),
        messages.Message,
    ),
    "drafts/kept/flags-1": Sample(
        [
            three_way.Draft(
                id="text-657",
                author="text-658",
                controller="text-659",
                base_version=1660,
                changes=[
                    merge_fields.FieldChange(
                        path=("text-661", "text-662"),
                        was_present=False,
                        base_value=["any-664", 664],
                        is_present=True,
                        new_value=["any-666", 666],
                    ),
                    merge_fields.FieldChange(
                        path=("text-667", "text-668"),
                        was_present=False,
                        base_value=["any-670", 670],
                        is_present=True,
                        new_value=["any-672", 672],
                    ),
                ],
            )
        ],
        list[three_way.Draft],
    ),
}

ALL_SAMPLES: dict[str, Sample] = {
    **RPC_MESSAGES,
    **CONSENSUS_MESSAGES,
    **DURABLE_RECORDS,
    **LOG_ENTRIES,
    **GOSSIP_MESSAGES,
    **MEMBER_MESSAGES,
    **SAVED_STATES,
    **STORED_DRAFTS,
    **FLAG_VARIANTS,
}


def rpc_frame(number: int, message: Any) -> bytes:
    """Return an RPC message encoded as a frame on a connection."""
    return rpc_connection.Codec(rpc_messages.Message).encode(number, message)


def read_rpc_frames(data: bytes) -> list[tuple[int, Any]]:
    """Return the call numbers and messages of the RPC frames in `data`."""
    return rpc_connection.Codec(rpc_messages.Message).decode(bytearray(data))


def gossip_frame(name: str, incarnation: int, message: Any) -> bytes:
    """Return a gossip datagram as one proxy sends it to another."""
    return gossip.CODEC.encode(name, incarnation, message)


def read_gossip_frame(data: bytes) -> tuple[str, int, Any]:
    """Return sender, incarnation and message of a gossip datagram."""
    frame = gossip.CODEC.decode(data)
    return frame.name, frame.incarnation, frame.message


def member_frame(name: str, incarnation: int, message: Any) -> bytes:
    """Return a membership datagram as one limiter sends it to another."""
    return host.CODEC.encode(name, incarnation, message)


def read_member_frame(data: bytes) -> tuple[str, int, Any]:
    """Return sender, incarnation and message of a membership datagram."""
    frame = host.CODEC.decode(data)
    return frame.name, frame.incarnation, frame.message


def stored_record(sequence: int, durable_count: int, data: bytes) -> bytes:
    """Return a record encoded for a log's data file."""
    return log_format.encode_record(sequence, durable_count, data)


def read_stored_records(data: bytes) -> tuple[list[bytes], int]:
    """Return the records of a data file before the first gap, and how many records it marks as synced."""
    contents = log_format.decode_records(data)
    return contents.records, contents.durable_count


# A settings file with every field set to a value other than its default, and the settings read from it.
SETTINGS_FILE = {
    "Hostname": "m7",
    "Ip": "10.0.0.7",
    "Az": "zone-2",
    "Bind": {"Http": "10.0.0.7:8405", "Readyz": "10.0.0.7:8406", "Ctl": "10.0.0.7:8407"},
    "Portrange": [7660, 7675],
    "Peers": ["10.0.0.1:8407", "10.0.0.2:8407"],
    "Bootstrap": True,
    "Quorum": True,
    "Datadir": "data",
    "Heartbeat": "1250ms",
    "Caps": {"Nofile": 2048, "MemMb": 512, "Cpu": 0.5},
    "Slo": {
        "Drain": "2.25s",
        "Grace": "5s",
        "Contact": "2750ms",
        "RetryRatio": 0.25,
        "RetryWindow": "9s",
        "RetryExtra": 19,
        "KeyWin": "45s",
        "QuotaWin": "4s",
        "QuotaExcess": 0.05,
        "QuotaExtra": 18.5,
    },
    "Unknown": "is ignored",
}
SETTINGS = settings.Settings(
    hostname="m7",
    ip="10.0.0.7",
    az="zone-2",
    bind=settings.Bind(
        http=settings.Address(("10.0.0.7", 8405)),
        readyz=settings.Address(("10.0.0.7", 8406)),
        ctl=settings.Address(("10.0.0.7", 8407)),
    ),
    portrange=(7660, 7675),
    peers=(settings.Address(("10.0.0.1", 8407)), settings.Address(("10.0.0.2", 8407))),
    bootstrap=True,
    quorum=True,
    datadir="data",
    heartbeat=settings.Span(1_250_000),
    caps=settings.Caps(nofile=2048, mem_mb=512, cpu=0.5),
    slo=settings.Slo(
        drain=settings.Span(2_250_000),
        grace=settings.Span(5_000_000),
        contact=settings.Span(2_750_000),
        retry_ratio=0.25,
        retry_window=settings.Span(9_000_000),
        retry_extra=19,
        key_win=settings.Span(45_000_000),
        quota_win=settings.Span(4_000_000),
        quota_excess=0.05,
        quota_extra=18.5,
    ),
)
REQUIRED_SETTINGS_FILE = {
    "Hostname": "m7",
    "Ip": "10.0.0.7",
    "Az": "zone-2",
    "Bind": {"Http": None},
    "Portrange": [7660, 7675],
}
DEFAULT_SETTINGS = settings.Settings(
    hostname="m7",
    ip="10.0.0.7",
    az="zone-2",
    bind=settings.Bind(http=None, readyz=None, ctl=None),
    portrange=(7660, 7675),
    peers=(),
    bootstrap=False,
    quorum=False,
    datadir="",
    heartbeat=settings.Span(1_500_000),
    caps=settings.Caps(nofile=1024, mem_mb=256, cpu=1.0),
    slo=settings.Slo(
        drain=settings.Span(2_500_000),
        grace=settings.Span(6_000_000),
        contact=settings.Span(3_000_000),
        retry_ratio=0.2,
        retry_window=settings.Span(10_000_000),
        retry_extra=20.0,
        key_win=settings.Span(60_000_000),
        quota_win=settings.Span(5_000_000),
        quota_excess=0.1,
        quota_extra=20.0,
    ),
)


def read_settings(path: str) -> settings.Settings:
    """Read a settings file."""
    return settings.read(path)


# A configuration with every field set to a value other than its default, and the result of reading it.
CONFIGURATION_FILE = {
    "Ver": 41,
    "Base": 40,
    "Ports": [
        {
            "Vhost": "a.example",
            "Policy": [
                {
                    "Name": "r-1",
                    "Mode": "idem",
                    "Match": {"Pfx": "/one/"},
                    "Action": {"Timeout": "2s", "Svc": "s-1", "Tries": 3},
                    "Target_time": "300ms",
                    "Prio": 4,
                    "Public": True,
                },
                {
                    "Name": "r-2",
                    "Match": {"Pfx": "/"},
                    "Action": {
                        "Timeout": "1500ms",
                        "Split": [{"Svc": "s-1", "Wt": 1}, {"Svc": "s-2", "Wt": 2.5}],
                    },
                },
            ],
        }
    ],
    "Pools": [{"Name": "s-1", "Hcheck": "/alive", "Maxconn": 90, "Dedup": True}, {"Name": "s-2"}],
    "Tenants": [{"Name": "t-1", "Apikeys": ["k-1", "k-2"], "Prio": 5, "RateS": 6.5, "Burst": 7.5}],
    "Caps": {"HdrBytes": 4096, "BodyBytes": 8192, "Hdr": "1s", "Idle": "2s"},
    "Unknown": "is ignored",
}
CONFIGURATION = configuration.Configuration(
    ver=41,
    ports=(
        configuration.Port(
            vhost="a.example",
            policy=(
                configuration.Rule(
                    name="r-1",
                    match=configuration.Match(pfx="/one/"),
                    action=configuration.Action(timeout=settings.Span(2_000_000), svc="s-1", tries=3),
                    mode="idem",
                    target_time=settings.Span(300_000),
                    prio=4,
                    public=True,
                ),
                configuration.Rule(
                    name="r-2",
                    match=configuration.Match(pfx="/"),
                    action=configuration.Action(
                        timeout=settings.Span(1_500_000),
                        split=(
                            configuration.Share(svc="s-1", wt=1),
                            configuration.Share(svc="s-2", wt=2.5),
                        ),
                        tries=2,
                    ),
                    mode="mutate",
                    target_time=settings.Span(1_000_000),
                    prio=1,
                    public=False,
                ),
            ),
        ),
    ),
    pools=(
        configuration.Pool(name="s-1", hcheck="/alive", maxconn=90, dedup=True),
        configuration.Pool(name="s-2", hcheck="/healthz", maxconn=100, dedup=False),
    ),
    tenants=(configuration.Tenant(name="t-1", apikeys=("k-1", "k-2"), prio=5, rate_s=6.5, burst=7.5),),
    caps=configuration.Caps(
        hdr_bytes=4096, body_bytes=8192, hdr=settings.Span(1_000_000), idle=settings.Span(2_000_000)
    ),
)
DEFAULT_CONFIGURATION = configuration.Configuration(
    ver=1,
    ports=(),
    pools=(),
    tenants=None,
    caps=configuration.Caps(
        hdr_bytes=16_384,
        body_bytes=64 * 1024 * 1024,
        hdr=settings.Span(3_000_000),
        idle=settings.Span(15_000_000),
    ),
)


def read_configuration(raw: Any) -> configuration.Configuration:
    """Read and validate a configuration as sent by an operator."""
    return configuration.read(raw)
