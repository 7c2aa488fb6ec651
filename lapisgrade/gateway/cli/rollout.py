"""A rolling restart: machines restart one by one, while the system is as healthy as at the start.

`RolloutMonitor` compares states without I/O; `RollingRestart` polls, runs the operator's command and waits.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable

from attrs import define, field

from lapisgrade.gateway.cli.exit_codes import ExitCode
from lapisgrade.gateway.cli.operator_client import JsonObject, OperatorClient, Print
from lapisgrade.gateway.errors import InvalidInputError

POLL_INTERVAL_S = 0.2
"""Interval between polls of `conf.status`."""

UNRESPONSIVE_AFTER_MS = 2_000
"""Time without contact with the leader after which a proxy or voter counts as unhealthy."""

MIN_SERVERS_SHARE = 0.8
"""Share of a service's servers at the start that must be up; with fewer, the rollout waits, then stops."""

HEALTHY_POLLS = 5
"""Consecutive healthy polls required before the next machine."""

Restart = Callable[[str], Awaitable[int]]
"""Restarts the machine with the given name, and returns the exit code of the restart command."""


@define(slots=True)
class RolloutMonitor:
    """Compares the state in `conf.status` with that at the start of a rollout.

    Attributes:
        incarnations: The incarnation of each proxy's process at the start, by proxy.
        servers: The number of servers that were up at the start, by service.
        voter_count: The number of voters at the start.
    """

    incarnations: dict[str, str] = field(factory=dict)
    servers: dict[str, int] = field(factory=dict)
    voter_count: int = 0

    def record_baseline(self, status: JsonObject) -> None:
        """Store the state at the start."""
        self.incarnations = {proxy["Name"]: proxy["Life"] for proxy in status["Proxies"]}
        self.servers = {service: servers["Up"] for service, servers in status["Servers"].items()}
        self.voter_count = len(status["Voters"])

    def problems(self, status: JsonObject) -> list[str]:
        """Return what is worse than at the start: the reasons to wait or to stop."""
        return [
            *self._proxy_problems(status),
            *self._voter_problems(status["Voters"]),
            *self._server_problems(status["Servers"]),
        ]

    def is_restarted(self, name: str, status: JsonObject) -> bool:
        """Return whether the machine's proxy is a new process since the start."""
        return any(
            proxy["Name"] == name and proxy["Life"] != self.incarnations[name] for proxy in status["Proxies"]
        )

    def _proxy_problems(self, status: JsonObject) -> list[str]:
        proxies = {proxy["Name"]: proxy for proxy in status["Proxies"]}
        missing = sorted(set(self.incarnations) - set(proxies))
        problems = [f"proxy {name} is missing" for name in missing]
        for name, proxy in proxies.items():
            if proxy["HeardMs"] > UNRESPONSIVE_AFTER_MS:
                problems.append(f"proxy {name}: last contact {proxy['HeardMs']} ms ago")
            elif proxy["InForce"] < status["Newest"]:
                problems.append(f"proxy {name}: active version is {proxy['InForce']}, not {status['Newest']}")
        return problems

    def _voter_problems(self, voters: list[JsonObject]) -> list[str]:
        problems = []
        if len(voters) < self.voter_count:
            problems.append(f"{len(voters)} voters left of {self.voter_count}")
        problems += [
            f"voter {voter['Id']}: last contact {voter['HeardMs']} ms ago"
            for voter in voters
            if voter["HeardMs"] > UNRESPONSIVE_AFTER_MS
        ]
        return problems

    def _server_problems(self, servers: JsonObject) -> list[str]:
        problems = []
        for service, before in self.servers.items():
            now = servers.get(service, {}).get("Up", 0)
            if now < MIN_SERVERS_SHARE * before:
                problems.append(f"service {service}: {now} servers are up, {before} at the start")
        return problems


class RollingRestart:
    """Restarts machines one by one, and stops if the system is not healthy again in time."""

    def __init__(self, client: OperatorClient, restart: Restart, print_line: Print, timeout_s: float) -> None:
        """Create a rollout.

        Args:
            client: Client for `conf.status`.
            restart: Restarts the machine with the given name; returns the exit code of the command.
            print_line: Called with each line of output.
            timeout_s: Time-out for the system to become healthy, before and after each restart.
        """
        self._client = client
        self._restart = restart
        self._print_line = print_line
        self._timeout_s = timeout_s
        self._monitor = RolloutMonitor()

    async def run(self, names: list[str]) -> ExitCode:
        """Restart the machines of these proxies in order; on failure, print the machine and the problems.

        Raises:
            InvalidInputError: A name is not that of a proxy, or no controller replies at the start.
        """
        _, status = await self._client.fetch_newest()
        self._monitor.record_baseline(status)
        if unknown := sorted(set(names) - set(self._monitor.incarnations)):
            raise InvalidInputError(f"unknown proxies: {', '.join(unknown)}")
        for number, name in enumerate(names, 1):
            if problems := await self._restart_one(f"{number} of {len(names)}: {name}", name):
                self._print_line(f"stopped at {name}:")
                for line in problems:
                    self._print_line(f"  {line}")
                return ExitCode.INCOMPLETE
        self._print_line("all machines are restarted and healthy")
        return ExitCode.DONE

    async def _restart_one(self, title: str, name: str) -> list[str]:
        """Restart one machine, waiting for a healthy system before and after; return the problems."""
        if problems := await self._wait_until_healthy(lambda status: True):
            return problems
        self._print_line(title)
        if exit_code := await self._restart(name):
            return [f"the restart command exited with code {exit_code}"]
        return await self._wait_until_healthy(lambda status: self._monitor.is_restarted(name, status))

    async def _wait_until_healthy(self, is_done: Callable[[JsonObject], bool]) -> list[str]:
        """Wait for `HEALTHY_POLLS` consecutive polls that are healthy and for which `is_done` holds.

        Returns the problems of the last poll if the time-out is reached first.
        """
        deadline_s = time.monotonic() + self._timeout_s
        healthy_polls = 0
        while healthy_polls < HEALTHY_POLLS:
            problems = await self._poll(is_done)
            healthy_polls = 0 if problems else healthy_polls + 1
            if problems and time.monotonic() > deadline_s:
                return problems
            await asyncio.sleep(POLL_INTERVAL_S)
        return []

    async def _poll(self, is_done: Callable[[JsonObject], bool]) -> list[str]:
        """Return the current problems; a restart that is not done is one of them."""
        try:
            _, status = await self._client.fetch_newest()
        except InvalidInputError as error:
            return [str(error)]
        return self._monitor.problems(status) or ([] if is_done(status) else ["the proxy has not restarted"])


async def run_shell(command: str, name: str) -> int:
    """Run the operator's command for one machine, with `{}` replaced by its name; return the exit code."""
    process = await asyncio.create_subprocess_shell(command.replace("{}", name))
    return await process.wait()
