"""Calls of operators and servers, as messages of the simulated network in place of HTTP."""

import msgspec

from lapisgrade.gateway import rpc_messages

RPC_PORT = 7600
OPERATOR_PORT = 8407  # where operators and servers call


class OperatorCall(msgspec.Struct, array_like=True, tag="oc", frozen=True):
    """A call of an operator or server, as HTTP would bring it."""

    call: str
    subject: str
    body: bytes


class CallReply(msgspec.Struct, array_like=True, tag="or", frozen=True):
    """The reply to such a call, with an HTTP status."""

    status: int
    body: bytes = b""


Message = rpc_messages.Message | OperatorCall | CallReply
"""All messages of the simulated network."""
