"""Recovery of the log on disk after a torn write, corruption or loss of the index."""

import os
from pathlib import Path
from unittest import mock

import pytest

from lapisgrade.gateway.storage.log_format import LogFileContents, decode_records, encode_record
from lapisgrade.gateway.storage.log_store import CorruptLogError, LogStore


class LogFolder:
    """A folder for a log; `name` is its path."""

    def __init__(self, tmp_path: Path) -> None:
        self.name = str(tmp_path)

    def path(self, generation: int) -> str:
        """Return the path of a generation's data file."""
        return os.path.join(self.name, f"log-{generation}.dat")

    def create_log(self) -> LogStore:
        """Write a generation of three records."""
        log_store = LogStore(self.name)
        assert log_store.recover() == []
        log_store.start_generation(b"begin")
        log_store.append([b"a" * 700, b"b"])
        return log_store


@pytest.fixture
def folder(tmp_path: Path) -> LogFolder:
    return LogFolder(tmp_path)


def test_appended_records_are_recovered_without_the_index(folder: LogFolder):
    folder.create_log()
    for name in os.listdir(folder.name):
        if not name.endswith(".dat"):
            os.remove(os.path.join(folder.name, name))
    assert LogStore(folder.name).recover() == [b"begin", b"a" * 700, b"b"]


def test_a_truncated_file_is_recovered_as_a_prefix_of_its_records(folder: LogFolder):
    folder.create_log()
    with open(folder.path(1), "rb") as file:
        contents = file.read()
    for size in range(0, len(contents), 37):
        records = decode_records(contents[:size]).records
        assert records == [b"begin", b"a" * 700, b"b"][: len(records)]


def test_an_unreadable_synced_record_is_corruption_and_an_unsynced_one_a_torn_tail(folder: LogFolder):
    log_store = folder.create_log()
    log_store.append([b"c"])
    with open(folder.path(1), "r+b") as file:
        file.seek(512 + 40)
        file.write(b"?")
    with pytest.raises(CorruptLogError):
        LogStore(folder.name).recover()
    torn = bytearray().join(
        record.ljust(512, b"\0")
        for record in (
            encode_record(1, 0, b"x"),
            encode_record(2, 1, b"y")[:-1] + b"?",
            encode_record(3, 1, b"z"),
        )
    )
    assert decode_records(bytes(torn)) == LogFileContents([b"x"], 1)


def test_a_new_generation_is_used_only_once_its_first_record_is_readable(folder: LogFolder):
    log_store = folder.create_log()
    with mock.patch("os.fsync", side_effect=OSError("no space")), pytest.raises(OSError, match="no space"):
        log_store.start_generation(b"begin again")
    with open(folder.path(2), "r+b") as file:
        file.truncate(20)
    assert LogStore(folder.name).recover() == [b"begin", b"a" * 700, b"b"]
    log_store.start_generation(b"third")
    assert LogStore(folder.name).recover() == [b"third"]
    assert not os.path.exists(folder.path(1))
