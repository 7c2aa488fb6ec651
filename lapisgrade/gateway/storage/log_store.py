"""A log of records on disk, in generations with one data file each, written through dbm.dumb.

dbm.dumb appends the value of a new key at the next block of its data file and never syncs. So each key is
written only once, each value contains its sequence, length and checksum (`log_format`), and only the data
file is synced and read by recovery; the index that dbm.dumb keeps beside it may be torn or lost.

On disk after each call has returned:

    call                        log-N.dat              log-(N+1).dat
    start_generation(first)     removed, or unused     first, synced; the folder is synced too
    append(records)                                    first ... records, synced in this order
    (append fails)                                     first ... and any part of the records

After a failed sync the caller must not append to the file, as its last records may or may not be on disk.
Instead it writes the complete state as the next generation, which is valid once its first record is readable;
until then the previous generation is valid. A generation with unreadable synced records is reported as
corrupt and never skipped.

Sources: Pillai et al., "All File Systems Are Not Created Equal", 2014; Rebello et al., "Can Applications
Recover from fsync Failures?", 2020.
"""

import contextlib
import dbm.dumb
import os
from typing import Any

from lapisgrade.errors import LapisgradeError
from lapisgrade.gateway.storage.log_format import decode_records, encode_record

_PREFIX = "log-"
_DATA_SUFFIX = ".dat"


class CorruptLogError(LapisgradeError):
    """Records that were synced can no longer be read."""


class LogStore:
    """The log in one folder. Calls block, and only one thread at a time may make them."""

    def __init__(self, folder: str) -> None:
        """Create a log store without reading or writing the folder."""
        self.generation = 0
        self._folder = folder
        self._database: Any = None
        self._sequence = 0  # sequence of the last record written to this generation
        self._durable = 0  # sequence of the last record synced

    def recover(self) -> list[bytes]:
        """Return the records of the newest generation with a readable first record; none on an empty disk.

        Raises:
            CorruptLogError: A synced record can't be read.
            OSError: The folder or a file can't be read.
        """
        os.makedirs(self._folder, exist_ok=True)
        for generation in self._generations_on_disk():
            with open(self._data_path(generation), "rb") as file:
                contents = decode_records(file.read())
            if contents.is_corrupt():
                raise CorruptLogError(
                    f"generation {generation} is corrupt: only the first {len(contents.records)} of "
                    f"{contents.durable_count} synced records can be read"
                )
            if contents.records:
                self.generation = generation
                return contents.records
        return []

    def start_generation(self, first_record: bytes) -> None:
        """Start the next generation with a record of the complete state, and remove older generations.

        After an OSError here or in `append`, do not append until this call has succeeded. The record must be
        complete because a failed write may still be on disk after a power loss and then replaces the previous
        generation.
        """
        generation = self.generation + 1
        while os.path.exists(self._data_path(generation)):
            generation += 1
        self.close()
        self._database = dbm.dumb.open(self._data_path(generation).removesuffix(_DATA_SUFFIX), "c")  # noqa: SIM115
        self._sequence = 0
        self._durable = 0
        self._put([first_record])
        self._sync_data(generation)
        self._sync_folder()
        self.generation = generation
        self._durable = self._sequence
        self._remove_before(generation)

    def append(self, records: list[bytes]) -> None:
        """Write and sync records in order.

        Raises:
            OSError: The records may not be on disk.
        """
        self._put(records)
        self._sync_data(self.generation)
        self._durable = self._sequence

    def close(self) -> None:
        """Close the file; ignore errors, as dbm.dumb only writes its index here, which is never read."""
        with contextlib.suppress(OSError):
            if self._database is not None:
                self._database.close()
        self._database = None

    def _put(self, records: list[bytes]) -> None:
        """Write records without syncing them."""
        for data in records:
            self._sequence += 1
            self._database[str(self._sequence)] = encode_record(self._sequence, self._durable, data)

    def _sync_data(self, generation: int) -> None:
        _sync(self._data_path(generation), os.O_RDWR)

    def _sync_folder(self) -> None:
        _sync(self._folder, os.O_RDONLY)

    def _generations_on_disk(self) -> list[int]:
        """Return the generations that have a data file, newest first."""
        numbers = [
            name.removeprefix(_PREFIX).removesuffix(_DATA_SUFFIX)
            for name in os.listdir(self._folder)
            if name.startswith(_PREFIX) and name.endswith(_DATA_SUFFIX)
        ]
        return sorted((int(number) for number in numbers if number.isdigit()), reverse=True)

    def _data_path(self, generation: int) -> str:
        return os.path.join(self._folder, f"{_PREFIX}{generation}{_DATA_SUFFIX}")

    def _remove_before(self, generation: int) -> None:
        """Remove all files of older generations; ignore files that can't be removed."""
        for name in os.listdir(self._folder):
            number = name.removeprefix(_PREFIX).partition(".")[0]
            if name.startswith(_PREFIX) and number.isdigit() and int(number) < generation:
                with contextlib.suppress(OSError):
                    os.remove(os.path.join(self._folder, name))


def _sync(path: str, flags: int) -> None:
    descriptor = os.open(path, flags)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
