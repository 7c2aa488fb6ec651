"""Parsing of calls of servers and operators."""

import msgspec
import pytest

from lapisgrade.gateway import api
from lapisgrade.gateway.errors import InvalidInputError


def test_unknown_and_malformed_calls_are_rejected():
    requests = [
        ("POST", "/-/rpc?call=servers.heartbeat&of=i-1"),
        ("GET", "/-/rpc?call=conf.show"),
        ("POST", "/-/rpc?call=conf.drop"),
        ("POST", "/other"),
        ("POST", "/-/rpc?call=servers.deregister"),
    ]
    found = [
        call if isinstance(call := api.parse_call(*request), int) else call[0].name for request in requests
    ]
    assert found == ["servers.heartbeat", 405, 404, 404, 400]
    with pytest.raises(InvalidInputError):
        api.parse_heartbeat("i-1", b'{"Svc":"garantie","Addr":"10.0.0.1:80","Seq":"4"}')


def test_a_heartbeat_describes_a_server():
    heartbeat = {
        "Svc": "a", "Addr": "10.0.0.1:80", "Az": "z", "Ver": "v1", "Slots": 4, "State": "up",
        "Warmup_time": "900ms", "Seq": 4,
    }  # fmt: skip
    server = api.parse_heartbeat("i-1", msgspec.json.encode(heartbeat))
    assert (
        server.service,
        server.address,
        server.zone,
        server.slots,
        server.sequence_number,
        server.warm_up_us,
    ) == ("a", "10.0.0.1:80", "z", 4, 4, 900_000)
