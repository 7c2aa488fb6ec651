"""The JSON bodies of operators' calls and of the replies."""

from http import HTTPStatus

import msgspec

from lapisgrade.gateway.controller.change_validation import ApplyResult
from lapisgrade.gateway.errors import InvalidInputError
from lapisgrade.gateway.rpc_messages import ForwardCallReply


def decode_draft_id(body: bytes) -> str:
    """Return the draft id in the body of a call; raises InvalidInputError if there is none."""
    try:
        draft_id = msgspec.json.decode(body).get("Id")
    except (msgspec.MsgspecError, RecursionError, AttributeError):
        draft_id = None
    if not isinstance(draft_id, str):
        raise InvalidInputError("the call names no Id")
    return draft_id


def encode_result(result: ApplyResult) -> ForwardCallReply:
    """Return the reply for a result of the state machine."""
    body = msgspec.json.encode({"Err": result.reason}) if result.reason else b"{}"
    return ForwardCallReply(result.status, body)


def encode_error(status: HTTPStatus, message: str) -> ForwardCallReply:
    """Return an error reply with that HTTP status and message."""
    return encode_result(ApplyResult(status, message))
