"""HTTP client for operators' calls to the controllers.

Requests and replies are plain JSON objects in the format of the control API, not typed records.
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
"""Maximum number of attempts at a change, if other operators' changes are applied first each time."""

POLL_INTERVAL_S = 0.2
"""Interval between polls of a change's progress."""

JsonObject = dict[str, Any]
Print = Callable[[str], None]


class OperatorClient:
    """Sends calls to the first controller that replies, and prints the results."""

    def __init__(self, controllers: list[Address], print_line: Print) -> None:
        """Create a client.

        Args:
            controllers: Control addresses of the controllers, tried in this order.
            print_line: Called with each line of output.
        """
        self._controllers = controllers
        self._print_line = print_line

    async def call(self, name: str, body: bytes = b"") -> tuple[int, JsonObject]:
        """Make a call; try the next controller if one does not reply, or replies with a server error (5xx).

        Args:
            name: The name of the call, as in `api.CALLS_BY_NAME`.
            body: The body of the call.

        Returns:
            The HTTP status and the reply. If no controller could execute the call: the last server error,
            or 0 if none replied, and an empty reply.
        """
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
        """Return the newest configuration, empty if there is none, and the reply of `conf.status`.

        Raises:
            InvalidInputError: No controller replies, or there is no leader.
        """
        _, configuration = await self.call("conf.show")
        status_code, status = await self.call("conf.status")
        if status_code != HTTPStatus.OK:
            raise InvalidInputError("no controller replied, or the cluster has no leader")
        return ({} if "Ver" not in configuration else configuration), status

    async def wait_until_active(self, version: int, timeout_s: float) -> ExitCode:
        """Wait until a version is active at every proxy, and print the progress.

        Returns INCOMPLETE after `timeout_s`, and prints the proxies that lag behind.
        """
        deadline_s = time.monotonic() + timeout_s
        last_active_count = -1
        while True:
            _, status = await self.fetch_newest()
            lagging = lagging_proxies(status, version)
            active_count = len(status["Proxies"]) - len(lagging)
            if active_count != last_active_count:
                self._print_line(
                    f"proxies with version {version} active: {active_count} of {len(status['Proxies'])}"
                )
                last_active_count = active_count
            if not lagging and status["InForce"] >= version:
                return ExitCode.DONE
            if time.monotonic() > deadline_s:
                for line in lagging:
                    self._print_line(f"  not active at {line}")
                return ExitCode.INCOMPLETE
            await asyncio.sleep(POLL_INTERVAL_S)

    async def print_status(self) -> ExitCode:
        """Print the versions, missing voters, lagging proxies, servers per service, and operation keys."""
        _, status = await self.fetch_newest()
        self._print_line(f"newest version {status['Newest']}, in force {status['InForce']}")
        for line in refusal_lines(status):
            self._print_line(f"  {line}")
        for line in voter_lines(status):
            self._print_line(f"  {line}")
        for line in lagging_proxies(status, status["Newest"]):
            self._print_line(f"  {line}")
        for service, servers in sorted(status["Servers"].items()):
            self._print_line(f"  service {service}: {servers['Up']} servers up, {servers['Slots']} slots")
        operations = status.get("Operations", 0)
        if operations:
            self._print_line(f"  {operations} operation keys recorded")
        return ExitCode.DONE


def refusal_lines(status: JsonObject) -> list[str]:
    """Describe a missing configuration and the last refused change; earlier releases report neither."""
    lines = []
    if not status.get("EverAccepted", True):
        lines.append("no configuration was ever accepted: every request gets 503")
    if refused := status.get("LastRefused"):
        answer = f"{refused['Call']}, {refused['Status']}, {refused['AgoMs'] / 1000:.0f} s ago"
        lines.append(f"last refused change: {answer}: {refused['Reason']}")
    return lines


def voter_lines(status: JsonObject) -> list[str]:
    """Describe voters that can't tolerate the losses in `Faults`; earlier releases don't report it."""
    faults = status.get("Faults")
    if not faults:
        return []
    lines = []
    if not faults["Sufficient"]:
        lines.append(
            f"{len(status['Voters'])} voters, {faults['Needed']} are needed: a loss that Faults allows "
            "leaves no majority, and what was acknowledged can't be read"
        )
    if faults["WithoutVoter"]:
        lines.append(f"machines with a disk but without a voter: {', '.join(faults['WithoutVoter'])}")
    return lines


def lagging_proxies(status: JsonObject, version: int) -> list[str]:
    """Describe the proxies at which the version is not active yet, with their progress."""
    return [_lagging_proxy(proxy, version) for proxy in status["Proxies"] if proxy["InForce"] < version]


def _lagging_proxy(proxy: JsonObject, version: int) -> str:
    is_staged = proxy["Held"] >= version
    progress = f"version {proxy['Held']} staged" if is_staged else f"newest staged version {proxy['Held']}"
    return (
        f"{proxy['Name']}: {progress}, active version {proxy['InForce']}, "
        f"last contact {proxy['HeardMs']} ms ago"
    )
