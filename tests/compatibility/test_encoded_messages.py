"""Compatibility of the encoding of RPC and datagram messages, durable records and log entries.

`data/encoded.json` contains the encoding of each sample by revision 761b3d6, in hexadecimal.
`data/defaults.json` contains the encoding of the same samples, by that revision, after decoding them without
their optional fields. Types and fields added later were recorded when they were added; for the samples that
gained a field, `data/earlier.json` keeps the encoding by revision 761b3d6.
"""

import json
from pathlib import Path
from typing import Any

import msgspec
import pytest

from lapisgrade.gateway.operations.table import OperationTable

from . import samples

DATA = Path(__file__).parent / "data"
ENCODED: dict[str, str] = json.loads((DATA / "encoded.json").read_text())
EARLIER: dict[str, str] = json.loads((DATA / "earlier.json").read_text())
DEFAULTS: dict[str, dict[str, Any]] = json.loads((DATA / "defaults.json").read_text())


def test_every_sample_has_golden_bytes():
    assert sorted(ENCODED) == sorted(samples.ALL_SAMPLES)


@pytest.mark.parametrize("name", sorted(ENCODED))
def test_sample_is_encoded_to_the_golden_bytes(name):
    assert msgspec.msgpack.encode(samples.ALL_SAMPLES[name].instance).hex() == ENCODED[name]


@pytest.mark.parametrize("name", sorted(ENCODED))
def test_golden_bytes_are_decoded_to_the_sample(name):
    sample = samples.ALL_SAMPLES[name]
    decoded = msgspec.msgpack.decode(bytes.fromhex(ENCODED[name]), type=sample.decoded_as)
    assert decoded == sample.instance
    assert type(decoded) is type(sample.instance)
    assert msgspec.msgpack.encode(decoded).hex() == ENCODED[name]


@pytest.mark.parametrize("name", sorted(DEFAULTS))
def test_defaults_of_omitted_fields_are_unchanged(name):
    decoded_as = samples.ALL_SAMPLES[name].decoded_as
    fields = msgspec.msgpack.decode(bytes.fromhex(ENCODED[name]))
    required = DEFAULTS[name]["required"]
    shortest = msgspec.msgpack.decode(msgspec.msgpack.encode(fields[:required]), type=decoded_as)
    assert msgspec.msgpack.encode(shortest).hex() == DEFAULTS[name]["encoded"]
    with pytest.raises(msgspec.ValidationError):
        msgspec.msgpack.decode(msgspec.msgpack.encode(fields[: required - 1]), type=decoded_as)


def test_bytes_of_an_earlier_revision_are_decoded_with_defaults_for_later_fields():
    current = {name: samples.ALL_SAMPLES[name] for name in EARLIER}
    state = msgspec.structs.replace(current["state/state"].instance, operations=OperationTable())
    saved = current["state/saved-state"].instance
    saved = msgspec.structs.replace(
        saved, state=msgspec.structs.replace(saved.state, operations=OperationTable())
    )
    reply = msgspec.structs.replace(current["rpc/watch-reply"].instance, lacks_versions=False)
    earlier = {"state/state": state, "state/saved-state": saved, "rpc/watch-reply": reply}
    assert sorted(earlier) == sorted(EARLIER)
    for name, expected in earlier.items():
        assert msgspec.msgpack.decode(bytes.fromhex(EARLIER[name]), type=current[name].decoded_as) == expected


def test_defaults_of_a_saved_state_without_fields_are_unchanged():
    decoded = msgspec.msgpack.decode(b"\x80", type=samples.ALL_SAMPLES["state/state"].decoded_as)
    expected = json.loads((DATA / "empty_state.json").read_text())
    assert msgspec.msgpack.encode(decoded).hex() == expected


def test_field_names_of_the_saved_state_are_unchanged():
    fields = msgspec.msgpack.decode(bytes.fromhex(ENCODED["state/state"]))
    assert list(fields) == [
        "conf",
        "ver",
        "taken",
        "left",
        "cast",
        "core",
        "roll",
        "fence",
        "acting",
        "acting_ver",
        "staged",
        "ground",
        "drafts",
        "outcomes",
        "past",
        "shut",
        "seen",
        "merged",
        "prior",
        "leaving",
        "prior_owners",
        "forgotten",
        "operations",
    ]
