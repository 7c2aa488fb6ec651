"""Calls of servers and operators: which are known, and what they carry."""

import pytest

from lapisgrade.gateway import api
from lapisgrade.gateway.errors import InvalidInputError


def test_unknown_and_malformed_calls_are_rejected():
    asked = [
        ("POST", "/-/rpc?call=servers.heartbeat&of=i-1"),
        ("GET", "/-/rpc?call=conf.show"),
        ("POST", "/-/rpc?call=conf.drop"),
        ("POST", "/other"),
        ("POST", "/-/rpc?call=servers.deregister"),
    ]
    found = [each if isinstance(each := api.parse_call(*one), int) else each[0].name for one in asked]
    assert found == ["servers.heartbeat", 405, 404, 404, 400]
    with pytest.raises(InvalidInputError):
        api.parse_heartbeat("i-1", b'{"Svc":"garantie","Addr":"10.0.0.1:80","Seq":"4"}')
