"""Bodies of operators' calls and of their replies, as JSON."""

from http import HTTPStatus

import msgspec

from lapisgrade.gateway.controller.change_validation import ApplyResult
from lapisgrade.gateway.errors import InvalidInputError
from lapisgrade.gateway.rpc_messages import ForwardCallReply


def decode_draft_id(body: bytes) -> str:
    """Return the id of the draft that a call names; raises InvalidInputError where it names none."""
    try:
        draft_id = msgspec.json.decode(body).get("Id")
    except (msgspec.MsgspecError, AttributeError):
        draft_id = None
    if not isinstance(draft_id, str):
        raise InvalidInputError("the call names no Id")
    return draft_id


def encode_result(result: ApplyResult) -> ForwardCallReply:
    """Return the state machine's result as the caller gets it."""
    body = msgspec.json.encode({"Err": result.reason}) if result.reason else b"{}"
    return ForwardCallReply(result.status, body)


def encode_error(status: HTTPStatus, message: str) -> ForwardCallReply:
    """Return a refusal with that HTTP status and message."""
    return encode_result(ApplyResult(status, message))
