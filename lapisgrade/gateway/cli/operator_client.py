"""Calls of an operator to the controllers, over HTTP.

What goes in and out is JSON in the form that the controllers' calls have; the typed records are theirs.
"""

import asyncio
import time
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import h11
import msgspec

from lapisgrade.gateway.cli.exit_codes import ExitCode
from lapisgrade.gateway.errors import InvalidInputError
from lapisgrade.gateway.http_client import send_request
from lapisgrade.gateway.settings import Address
from lapisgrade.net.http import MalformedMessageError

MAX_ATTEMPTS = 5
"""Times that a change is made anew where another operator's came first."""

POLL_INTERVAL_S = 0.2
"""Between two looks at how far a change has come."""

JsonObject = dict[str, Any]
Print = Callable[[str], None]


class OperatorClient:
    """Sends calls to whichever controller answers, and prints what came of them."""

    def __init__(self, controllers: list[Address], print_line: Print) -> None:
        """Make a client.

        Args:
            controllers: where controllers take calls; they are tried in this order.
            print_line: called with each line of output.
        """
        self._controllers = controllers
        self._print_line = print_line

    async def call(self, name: str, body: bytes = b"") -> tuple[int, JsonObject]:
        """Make a call; returns the status and the reply, status 0 where no controller answers."""
        status = 0
        for controller in self._controllers:
            try:
                message = await send_request(controller, "POST", f"/-/rpc?call={name}", body)
                assert isinstance(message.head, h11.Response)
                status = message.head.status_code
                if status < HTTPStatus.INTERNAL_SERVER_ERROR:
                    reply = b"".join(message.body)
                    return status, msgspec.json.decode(reply) if reply else {}
            except (OSError, TimeoutError, MalformedMessageError, msgspec.MsgspecError):
                continue
        return status, {}

    async def fetch_newest(self) -> tuple[JsonObject, JsonObject]:
        """Return the newest configuration, empty for none, and `conf.status`.

        Raises:
            InvalidInputError: no controller answers, or none leads.
        """
        _, configuration = await self.call("conf.show")
        status_code, status = await self.call("conf.status")
        if status_code != HTTPStatus.OK:
            raise InvalidInputError("no controller answers, or none leads")
        return ({} if "Ver" not in configuration else configuration), status

    async def wait_until_active(self, version: int, timeout_s: float) -> ExitCode:
        """Follow a version until it is in force at every proxy; else print which ones hold it back."""
        deadline_s = time.monotonic() + timeout_s
        last_active_count = -1
        while True:
            _, status = await self.fetch_newest()
            lagging = lagging_proxies(status, version)
            active_count = len(status["Proxies"]) - len(lagging)
            if active_count != last_active_count:
                self._print_line(f"version {version}: in force at {active_count} of {len(status['Proxies'])}")
                last_active_count = active_count
            if not lagging and status["InForce"] >= version:
                return ExitCode.DONE
            if time.monotonic() > deadline_s:
                for line in lagging:
                    self._print_line(f"  holds back: {line}")
                return ExitCode.INCOMPLETE
            await asyncio.sleep(POLL_INTERVAL_S)

    async def print_status(self) -> ExitCode:
        """Print which version is in force, which proxies lag, the servers of each service, and held keys."""
        _, status = await self.fetch_newest()
        self._print_line(f"newest version {status['Newest']}, in force {status['InForce']}")
        for line in refusal_lines(status):
            self._print_line(f"  {line}")
        for line in lagging_proxies(status, status["Newest"]):
            self._print_line(f"  {line}")
        for service, servers in sorted(status["Servers"].items()):
            self._print_line(f"  service {service}: {servers['Up']} servers up, {servers['Slots']} slots")
        operations = status.get("Operations", 0)
        if operations:
            self._print_line(f"  {operations} operation keys are held")
        return ExitCode.DONE


def refusal_lines(status: JsonObject) -> list[str]:
    """Describe why nothing may be served, and the last refused change; controllers of before tell neither."""
    lines = []
    if not status.get("EverAccepted", True):
        lines.append("no configuration was ever accepted: every request gets 503")
    if refused := status.get("LastRefused"):
        answer = f"{refused['Call']}, {refused['Status']}, {refused['AgoMs'] / 1000:.0f} s ago"
        lines.append(f"last refused change: {answer}: {refused['Reason']}")
    return lines


def lagging_proxies(status: JsonObject, version: int) -> list[str]:
    """Describe the proxies that don't act by that version yet, and what holds each back."""
    return [_lagging_proxy(proxy, version) for proxy in status["Proxies"] if proxy["InForce"] < version]


def _lagging_proxy(proxy: JsonObject, version: int) -> str:
    is_staged = proxy["Held"] >= version
    progress = f"holds {proxy['Held']} ready" if is_staged else f"last told of {proxy['Held']}"
    return f"{proxy['Name']}: {progress}, acts by {proxy['InForce']}, heard {proxy['HeardMs']} ms ago"
