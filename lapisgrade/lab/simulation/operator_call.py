"""Calls of operators and servers, sent as messages of the simulated network instead of HTTP."""

import msgspec

from lapisgrade.gateway import rpc_messages

RPC_PORT = 7600
OPERATOR_PORT = 8407  # receives the calls of operators and servers


class OperatorCall(msgspec.Struct, array_like=True, tag="oc", frozen=True):
    """A call of an operator or server, which HTTP transports in production."""

    call: str
    subject: str
    body: bytes


class CallReply(msgspec.Struct, array_like=True, tag="or", frozen=True):
    """The reply to an `OperatorCall`, with an HTTP status."""

    status: int
    body: bytes = b""


Message = rpc_messages.Message | OperatorCall | CallReply
"""All messages of the simulated network."""
