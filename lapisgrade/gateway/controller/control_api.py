"""Handles HTTP calls of servers and operators, listed in `api.CALLS_BY_NAME`, on any controller."""

from http import HTTPStatus
from typing import cast

import h11

from lapisgrade.gateway import api
from lapisgrade.gateway.controller.call_forwarding import CallForwarder
from lapisgrade.gateway.controller.drafts import DraftService
from lapisgrade.gateway.controller.metrics import ControllerMetrics
from lapisgrade.gateway.http_server import HttpReply
from lapisgrade.net.http import Message


class ControlApi:
    """Stores drafts on this controller, and has the leader execute all other calls."""

    def __init__(self, forwarder: CallForwarder, drafts: DraftService, metrics: ControllerMetrics) -> None:
        self._forwarder = forwarder
        self._drafts = drafts
        self._metrics = metrics

    async def handle_call(self, message: Message) -> HttpReply:
        """Return the reply to an HTTP request."""
        request = cast(h11.Request, message.head)  # an HTTP server parses only requests
        parsed = api.parse_call(request.method.decode(), request.target.decode("latin-1"))
        if isinstance(parsed, int):  # the HTTP status of the error
            return HttpReply(parsed, b'{"Err":"no such call"}')
        call, subject = parsed
        self._metrics.calls[call.name] += 1
        if message.size > call.max_body_bytes:
            return HttpReply(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, b'{"Err":"the body is too long"}')
        body = b"".join(message.body)
        if call.name == "conf.draft":
            reply = await self._drafts.accept(body)
        else:
            reply = await self._forwarder.forward(call.name, subject, body)
            if call.name == "conf.drafts":
                reply = self._drafts.add_stored_drafts(reply)
        self._metrics.call_replies[f"{call.name} {reply.status}"] += 1
        return HttpReply(reply.status, reply.body)
