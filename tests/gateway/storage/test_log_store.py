"""The log on disk: what is recovered after a torn write, damage or a lost index."""

import os
from pathlib import Path
from unittest import mock

import pytest

from lapisgrade.gateway.storage.log_format import LogFileContents, decode_records, encode_record
from lapisgrade.gateway.storage.log_store import CorruptLogError, LogStore


class Folder:
    """A folder for a log; `filled` writes a few records to it."""

    def __init__(self, tmp_path: Path) -> None:
        self.name = str(tmp_path)

    def path(self, number: int) -> str:
        return os.path.join(self.name, f"log-{number}.dat")

    def filled(self) -> LogStore:
        log_store = LogStore(self.name)
        assert log_store.recover() == []
        log_store.start_generation(b"begin")
        log_store.append([b"a" * 700, b"b"])
        return log_store


@pytest.fixture
def folder(tmp_path: Path) -> Folder:
    return Folder(tmp_path)


def test_what_was_appended_is_recovered_without_the_index(folder: Folder):
    folder.filled()
    for name in os.listdir(folder.name):
        if not name.endswith(".dat"):
            os.remove(os.path.join(folder.name, name))
    assert LogStore(folder.name).recover() == [b"begin", b"a" * 700, b"b"]


def test_every_torn_tail_is_cut_to_a_prefix(folder: Folder):
    folder.filled()
    with open(folder.path(1), "rb") as file:
        whole = file.read()
    for size in range(0, len(whole), 37):
        records = decode_records(whole[:size]).records
        assert records == [b"begin", b"a" * 700, b"b"][: len(records)]


def test_a_gap_below_the_synced_length_is_corruption_and_above_it_a_torn_tail(folder: Folder):
    log_store = folder.filled()
    log_store.append([b"c"])
    with open(folder.path(1), "r+b") as file:
        file.seek(512 + 40)
        file.write(b"?")
    with pytest.raises(CorruptLogError):
        LogStore(folder.name).recover()
    torn = bytearray().join(
        each.ljust(512, b"\0")
        for each in (
            encode_record(1, 0, b"x"),
            encode_record(2, 1, b"y")[:-1] + b"?",
            encode_record(3, 1, b"z"),
        )
    )
    assert decode_records(bytes(torn)) == LogFileContents([b"x"], 1)


def test_a_new_generation_counts_only_once_it_is_complete(folder: Folder):
    log_store = folder.filled()
    with mock.patch("os.fsync", side_effect=OSError("no space")), pytest.raises(OSError, match="no space"):
        log_store.start_generation(b"begin again")
    with open(folder.path(2), "r+b") as file:
        file.truncate(20)
    assert LogStore(folder.name).recover() == [b"begin", b"a" * 700, b"b"]
    log_store.start_generation(b"third")
    assert LogStore(folder.name).recover() == [b"third"]
    assert not os.path.exists(folder.path(1))
