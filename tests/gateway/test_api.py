"""Calls of servers and operators: which are known, and what they carry."""

import unittest

from lapisgrade.gateway.errors import InvalidInputError
from lapisgrade.gateway import api


class Calls(unittest.TestCase):
    def test_a_call_that_is_none_is_refused(self):
        asked = [
            ("POST", "/-/rpc?call=servers.heartbeat&of=i-1"),
            ("GET", "/-/rpc?call=conf.show"),
            ("POST", "/-/rpc?call=conf.drop"),
            ("POST", "/other"),
            ("POST", "/-/rpc?call=servers.deregister"),
        ]
        found = [each if isinstance(each := api.called(*one), int) else each[0].name for one in asked]
        self.assertEqual(found, ["servers.heartbeat", 405, 404, 404, 400])
        with self.assertRaises(InvalidInputError):
            api.beat("i-1", b'{"Svc":"garantie","Addr":"10.0.0.1:80","Seq":"4"}')
