"""The data file of a log: layout of its records, and detection of torn and corrupt ones. Pure.

A file is a sequence of records; each starts at a multiple of `BLOCK_BYTES` (dbm.dumb's block size), and gaps
are filled with zeros:

    0       4        8          16         24      28                     512 * n
    +-------+--------+----------+----------+-------+-----------+----------+----------
    | magic | length | sequence | durable  | CRC32 | data      | zeros    | next record
    +-------+--------+----------+----------+-------+-----------+----------+----------
       4s      u32       u64        u64       u32    length bytes        all big-endian

* sequence: number of the record in the file, starting at 1.
* durable: sequence of the last record that had been synced when this one was written.
* CRC32: checksum of sequence, durable and data.

A crash may leave a torn tail: the log ends before the first record that is unreadable or out of sequence. Of
later records only `durable` is read: if it shows that the missing record was synced, the file is corrupt, not
torn.
"""

import struct
import zlib

import msgspec

BLOCK_BYTES = 512

_HEADER = struct.Struct(">4sIQQI")  # magic, length, sequence, durable, CRC32
_CHECKED_HEADER = struct.Struct(">QQ")  # sequence, durable: the part of the header covered by the CRC32
_MAGIC = b"LGD1"


class LogFileContents(msgspec.Struct, frozen=True):
    """The contents of a data file.

    Attributes:
        records: The records before the first gap, in sequence.
        durable_count: Number of records that were synced: the highest `durable` of all readable records.
    """

    records: list[bytes]
    durable_count: int

    def is_corrupt(self) -> bool:
        """Return whether a record that was synced is missing or unreadable."""
        return self.durable_count > len(self.records)


def encode_record(sequence: int, durable: int, data: bytes) -> bytes:
    """Return a record with its header, unpadded."""
    return _HEADER.pack(_MAGIC, len(data), sequence, durable, _checksum(sequence, durable, data)) + data


def decode_records(blob: bytes) -> LogFileContents:
    """Return the records of a data file; `blob` is the complete file."""
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
        if not is_readable:  # its length may be wrong, so the next record is searched for block by block
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
    """Return the first block boundary at or after `offset`."""
    return offset + -offset % BLOCK_BYTES


def _checksum(sequence: int, durable: int, data: bytes) -> int:
    return zlib.crc32(_CHECKED_HEADER.pack(sequence, durable) + data)
