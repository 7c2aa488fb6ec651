"""The data file of a log: how records are laid out, and which of them can be trusted. Pure.

A file is a row of records; each begins at a multiple of `BLOCK_BYTES` (dbm.dumb's block), gaps are zeros:

    0       4        8          16         24      28                     512 * n
    +-------+--------+----------+----------+-------+-----------+----------+----------
    | magic | length | sequence | durable  | CRC32 | data      | zeros    | next record
    +-------+--------+----------+----------+-------+-----------+----------+----------
       4s      u32       u64        u64       u32    length bytes        all big-endian

* sequence: 1 for the first record of the file, then one more each.
* durable: the sequence of the last record that was synced before this one was written.
* CRC32: of sequence, durable and data.

A crash may leave the end of the file torn: the first record that is unreadable, or out of sequence, ends the
log. Records behind it are read only for their `durable`: where it says that the missing record was synced,
the file is not torn but corrupt.
"""

import struct
import zlib

import msgspec

BLOCK_BYTES = 512

_HEADER = struct.Struct(">4sIQQI")  # magic, length, sequence, durable, CRC32
_CHECKED_HEADER = struct.Struct(">QQ")  # the part of the header that the CRC32 covers
_MAGIC = b"LGD1"


class LogFileContents(msgspec.Struct, frozen=True):
    """What a data file holds.

    Attributes:
        records: The records before the first gap, in sequence.
        durable_count: How many records were surely on disk, by what any readable record says.
    """

    records: list[bytes]
    durable_count: int

    def is_corrupt(self) -> bool:
        """Return whether a record that was surely on disk is missing."""
        return self.durable_count > len(self.records)


def encode_record(sequence: int, durable: int, data: bytes) -> bytes:
    """Return a record with its header, without padding."""
    return _HEADER.pack(_MAGIC, len(data), sequence, durable, _checksum(sequence, durable, data)) + data


def decode_records(blob: bytes) -> LogFileContents:
    """Return the records of a data file."""
    records: list[bytes] = []
    durable_count = 0
    has_gap = False
    offset = 0
    while offset + _HEADER.size <= len(blob):
        magic, length, sequence, durable, checksum = _HEADER.unpack_from(blob, offset)
        start = offset + _HEADER.size
        data = blob[start : start + length]
        is_readable = (
            magic == _MAGIC and len(data) == length and checksum == _checksum(sequence, durable, data)
        )
        if not is_readable:
            has_gap = True
            offset += BLOCK_BYTES
            continue
        durable_count = max(durable_count, durable)
        if not has_gap and sequence == len(records) + 1:
            records.append(data)
        else:
            has_gap = True
        offset = _next_block(start + length)
    return LogFileContents(records, durable_count)


def _next_block(offset: int) -> int:
    return offset + -offset % BLOCK_BYTES


def _checksum(sequence: int, durable: int, data: bytes) -> int:
    return zlib.crc32(_CHECKED_HEADER.pack(sequence, durable) + data)
