"""The log on disk: what is recovered after a torn write, damage or a lost index."""

import os
import tempfile
import unittest
from unittest import mock

from lapisgrade.gateway.storage.log_format import LogFileContents, decode_records, encode_record
from lapisgrade.gateway.storage.log_store import CorruptLogError, LogStore


class Disk(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)

    def path(self, number: int) -> str:
        return os.path.join(self.folder.name, f"log-{number}.dat")

    def filled(self) -> LogStore:
        log_store = LogStore(self.folder.name)
        self.assertEqual(log_store.recover(), [])
        log_store.renew(b"begin")
        log_store.append([b"a" * 700, b"b"])
        return log_store

    def test_what_was_appended_is_recovered_without_the_index(self):
        self.filled()
        for name in os.listdir(self.folder.name):
            if not name.endswith(".dat"):
                os.remove(os.path.join(self.folder.name, name))
        self.assertEqual(LogStore(self.folder.name).recover(), [b"begin", b"a" * 700, b"b"])

    def test_every_torn_end_gives_a_beginning(self):
        self.filled()
        with open(self.path(1), "rb") as file:
            whole = file.read()
        for size in range(0, len(whole), 37):
            records = decode_records(whole[:size]).records
            self.assertEqual(records, [b"begin", b"a" * 700, b"b"][: len(records)])

    def test_a_gap_below_what_was_surely_there_is_damage_and_above_it_a_torn_end(self):
        log_store = self.filled()
        log_store.append([b"c"])
        with open(self.path(1), "r+b") as file:
            file.seek(512 + 40)
            file.write(b"?")
        with self.assertRaises(CorruptLogError):
            LogStore(self.folder.name).recover()
        torn = bytearray().join(
            each.ljust(512, b"\0")
            for each in (
                encode_record(1, 0, b"x"),
                encode_record(2, 1, b"y")[:-1] + b"?",
                encode_record(3, 1, b"z"),
            )
        )
        self.assertEqual(decode_records(bytes(torn)), LogFileContents([b"x"], 1))

    def test_a_new_generation_counts_only_once_it_is_whole(self):
        log_store = self.filled()
        with mock.patch("os.fsync", side_effect=OSError("no space")), self.assertRaises(OSError):
            log_store.renew(b"begin again")
        with open(self.path(2), "r+b") as file:
            file.truncate(20)
        self.assertEqual(LogStore(self.folder.name).recover(), [b"begin", b"a" * 700, b"b"])
        log_store.renew(b"third")
        self.assertEqual(LogStore(self.folder.name).recover(), [b"third"])
        self.assertFalse(os.path.exists(self.path(1)))
