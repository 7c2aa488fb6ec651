"""`dump`: the report on a controller's disk."""

import json
import os
from pathlib import Path

import msgspec
import pytest
from support.sample_configuration import SAMPLE_CONFIGURATION

from lapisgrade.gateway import __main__ as gateway_main
from lapisgrade.gateway.cli.disk_report import DiskReport
from lapisgrade.gateway.cli.exit_codes import ExitCode
from lapisgrade.gateway.consensus.messages import Entry
from lapisgrade.gateway.consensus.records import EntriesRecord, HardState, Record, SnapshotRecord
from lapisgrade.gateway.controller.commands import (
    Activate,
    CloseDraft,
    ConfigurationChange,
    LiveProxies,
    MergeDraft,
    ServerLeaving,
    encode_command,
)
from lapisgrade.gateway.errors import InvalidInputError
from lapisgrade.gateway.local_cluster import SAMPLE
from lapisgrade.gateway.merge.three_way import make_draft
from lapisgrade.gateway.storage.log_store import LogStore


class StoredLog:
    """A log on disk with a configuration and a merged draft; `draft_id` is the draft's id."""

    def __init__(self, tmp_path: Path) -> None:
        self.folder = str(tmp_path)
        log_store = LogStore(self.folder)
        log_store.recover()
        change = encode_command(ConfigurationChange(True, msgspec.json.encode(SAMPLE)))
        rule = {**SAMPLE["Ports"][0]["Policy"][1], "Prio": 9}
        edit = {"Upsert": {"Ports": [{"Vhost": "a.example", "Policy": [rule]}]}}
        draft = make_draft(SAMPLE_CONFIGURATION, edit, "amel", "m1")
        entries = [Entry(1, 1, b"", {"first": "10.0.0.1:7660"}), Entry(2, 1, change),
                   Entry(3, 2, encode_command(MergeDraft(draft)))]  # fmt: skip
        snapshot = SnapshotRecord("first", 1, "first", 0, 0, {"first": "10.0.0.1:7660"}, b"", entries[:1])
        log_store.start_generation(msgspec.msgpack.encode(snapshot))
        records = (HardState(2, "first"), EntriesRecord(entries[1:]))
        log_store.append([msgspec.msgpack.encode(each) for each in records])
        log_store.close()
        self.draft_id = draft.id

    def modification_times(self) -> dict[str, int]:
        """Modification times of the files in the folder, in ns, by path."""
        paths = [os.path.join(self.folder, name) for name in os.listdir(self.folder)]
        return {path: os.stat(path).st_mtime_ns for path in paths}


@pytest.fixture
def stored_log(tmp_path: Path) -> StoredLog:
    return StoredLog(tmp_path)


def test_a_dump_reports_the_log_without_writing(stored_log: StoredLog) -> None:
    before = stored_log.modification_times()
    report = DiskReport(stored_log.folder)
    assert report.summary() == [
        "disk first, generation 1, 3 sound records",
        "term 2; a snapshot up to entry 0 (version 0), 3 entries after it",
        "voters: first at 10.0.0.1:7660",
        "newest version 2, in force 0; servers that left 0, proxies in the list of live proxies 0",
        f"draft {stored_log.draft_id} by amel: stands",
    ]
    assert json.loads(report.state_machine.state.configuration)["Ports"][0]["Policy"][1]["Prio"] == 9
    assert stored_log.modification_times() == before


def test_the_history_lists_the_effect_of_each_entry_and_the_changes_of_each_version(
    stored_log: StoredLog,
) -> None:
    log_store = LogStore(stored_log.folder)
    old = [msgspec.msgpack.decode(each, type=Record) for each in log_store.recover()]
    deletion = {"Del": {"Routes": ["r-stock"]}}
    outdated, current = ({"Ver": 4, "Base": 1, **deletion}, {"Ver": 5, "Base": 2, **deletion})
    commands = [
        *(ConfigurationChange(False, msgspec.json.encode(each)) for each in (outdated, current)),
        Activate(5),
    ]
    commands += [ServerLeaving("i-1", False), ServerLeaving("i-1", True)]
    commands += [LiveProxies({name: ("p", "1", "z") for name in ("m1", "m2")}), CloseDraft("nobody")]
    entries = [*old[0].entries, *old[2].entries]
    entries += [Entry(4 + number, 2, encode_command(each)) for number, each in enumerate(commands)]
    log_store.start_generation(msgspec.msgpack.encode(msgspec.structs.replace(old[0], entries=entries)))
    log_store.close()
    history = "\n".join(DiskReport(stored_log.folder).history)
    assert history[history.index("entry 3") :] == (
        f"""\
entry 3, term 2: draft {stored_log.draft_id} by amel: merged as version 2
    Routes/r-claim/Prio: 1 -> 9
entry 4, term 2: a change was refused: 412 version 2 is in force, not 1
entry 5, term 2: version 5 on 2 was updated
  - Routes/r-stock
entry 6, term 2: version 5 comes into force
entry 7, term 2: server i-1 drains
entry 8, term 2: server i-1 is gone
entry 9, term 2: 2 proxies live: m1, m2
entry 10, term 2: draft nobody: closed"""
    )
    first_entries = (
        "entry 1, term 1: voters: first\nentry 2, term 1: version 1 on 0 was put\n    Caps/BodyBytes: "
    )
    assert first_entries in history
    assert "key-of-sfax" not in history


def test_corruption_is_reported_and_a_torn_tail_is_ignored(stored_log: StoredLog) -> None:
    path = os.path.join(stored_log.folder, "log-1.dat")
    with open(path, "ab") as file:
        file.write(b"LGD1 torn")
    assert DiskReport(stored_log.folder).record_count == 3
    with open(path, "r+b") as file:  # flips one bit of a complete record
        file.seek(40)
        byte = file.read(1)
        file.seek(40)
        file.write(bytes([byte[0] ^ 1]))
    with pytest.raises(InvalidInputError):
        DiskReport(stored_log.folder)


def test_an_entry_of_a_later_release_is_named_in_one_line(
    stored_log: StoredLog, caplog: pytest.LogCaptureFixture
) -> None:
    log_store = LogStore(stored_log.folder)
    records = [msgspec.msgpack.decode(each, type=Record) for each in log_store.recover()]
    later = Entry(4, 2, msgspec.msgpack.encode(["?", 1]))
    entries = [*records[0].entries, *records[2].entries, later]
    log_store.start_generation(msgspec.msgpack.encode(msgspec.structs.replace(records[0], entries=entries)))
    log_store.close()
    assert gateway_main.main(["dump", stored_log.folder]) == ExitCode.UNREADABLE_LOG
    assert [message.partition(":")[0] for message in caplog.messages] == [
        "cannot decode log entry 4, which a later release has written"
    ]
