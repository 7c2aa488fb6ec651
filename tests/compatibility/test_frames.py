"""Compatibility of the framing of messages on connections, in datagrams and on disk."""

import json
import struct
import zlib
from pathlib import Path

from . import samples

FRAMES: dict[str, str] = json.loads((Path(__file__).parent / "data" / "frames.json").read_text())


def instance(name):
    """Return the sample instance of that name."""
    return samples.ALL_SAMPLES[name].instance


def test_rpc_frames_on_a_connection():
    for frame, number, sample in (
        ("rpc/call", 7, "rpc/quota-request"),
        ("rpc/notification", 0, "rpc/proxy-loads"),
        ("rpc/consensus", 0, "consensus/append-entries"),
    ):
        data = bytes.fromhex(FRAMES[frame])
        assert samples.rpc_frame(number, instance(sample)) == data
        assert samples.read_rpc_frames(data) == [(number, instance(sample))]
        assert int.from_bytes(data[:4], "big") == len(data) - 4


def test_gossip_datagrams_between_proxies():
    data = bytes.fromhex(FRAMES["gossip"])
    assert samples.gossip_frame("m1", 12345678901, instance("gossip/shuffle")) == data
    assert samples.read_gossip_frame(data) == ("m1", 12345678901, instance("gossip/shuffle"))


def test_membership_datagrams_between_limiters():
    data = bytes.fromhex(FRAMES["member"])
    assert samples.member_frame("limiter-1", 12345678901, instance("member/ping")) == data
    assert samples.read_member_frame(data) == ("limiter-1", 12345678901, instance("member/ping"))


def test_record_in_a_log_data_file():
    data = bytes.fromhex(FRAMES["stored-record"])
    assert samples.stored_record(3, 2, b"a record") == data
    magic, size, sequence, durable_count, checksum = struct.unpack(">4sIQQI", data[:28])
    assert (magic, size, sequence, durable_count, data[28:]) == (b"LGD1", 8, 3, 2, b"a record")
    assert checksum == zlib.crc32(struct.pack(">QQ", 3, 2) + b"a record")


def test_records_are_aligned_to_blocks_of_512_bytes():
    first, second = samples.stored_record(1, 0, b"first"), samples.stored_record(2, 1, b"second")
    assert samples.read_stored_records(first + b"\0" * (512 - len(first)) + second) == (
        [b"first", b"second"],
        1,
    )
