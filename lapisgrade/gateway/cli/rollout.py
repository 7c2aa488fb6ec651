"""A rolling restart: machine after machine, each only while all is as well as it was at the beginning.

What decides is pure (`RolloutMonitor`); `RollingRestart` polls, runs the operator's own command and waits.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable

from attrs import define, field

from lapisgrade.gateway.cli.exit_codes import ExitCode
from lapisgrade.gateway.cli.operator_client import JsonObject, OperatorClient, Print
from lapisgrade.gateway.errors import InvalidInputError

POLL_INTERVAL_S = 0.2
UNRESPONSIVE_AFTER_MS = 2_000
"""Time without contact after which a proxy or a disk counts as gone."""

MIN_SERVERS_SHARE = 0.8
"""Of a service's servers that were up at the beginning; with fewer the rollout stops."""

HEALTHY_POLLS = 5
"""Polls in a row that must find all well before the next machine."""

Restart = Callable[[str], Awaitable[int]]


@define(slots=True)
class RolloutMonitor:
    """What `conf.status` said at the beginning, and what is worse now."""

    incarnations: dict[str, str] = field(factory=dict)  # of the proxies, by name
    servers: dict[str, int] = field(factory=dict)  # by service: how many were up
    voter_count: int = 0

    def record_baseline(self, status: JsonObject) -> None:
        """Take the state of the beginning."""
        self.incarnations = {proxy["Name"]: proxy["Life"] for proxy in status["Proxies"]}
        self.servers = {service: servers["Up"] for service, servers in status["Servers"].items()}
        self.voter_count = len(status["Voters"])

    def problems(self, status: JsonObject) -> list[str]:
        """What is worse than at the beginning: the reason to wait, or to stop."""
        return [
            *self._proxy_problems(status),
            *self._voter_problems(status["Voters"]),
            *self._server_problems(status["Servers"]),
        ]

    def is_restarted(self, name: str, status: JsonObject) -> bool:
        """Whether that machine's proxy is another process than at the beginning."""
        return any(
            proxy["Name"] == name and proxy["Life"] != self.incarnations[name] for proxy in status["Proxies"]
        )

    def _proxy_problems(self, status: JsonObject) -> list[str]:
        proxies = {proxy["Name"]: proxy for proxy in status["Proxies"]}
        missing = sorted(set(self.incarnations) - set(proxies))
        problems = [f"proxy {name} is not there" for name in missing]
        for name, proxy in proxies.items():
            if proxy["HeardMs"] > UNRESPONSIVE_AFTER_MS:
                problems.append(f"proxy {name} was heard {proxy['HeardMs']} ms ago")
            elif proxy["InForce"] < status["Newest"]:
                problems.append(f"proxy {name} acts by version {proxy['InForce']}, not {status['Newest']}")
        return problems

    def _voter_problems(self, voters: list[JsonObject]) -> list[str]:
        problems = []
        if len(voters) < self.voter_count:
            problems.append(f"{len(voters)} disks vote, not {self.voter_count}")
        problems += [
            f"disk {voter['Id']} was heard {voter['HeardMs']} ms ago"
            for voter in voters
            if voter["HeardMs"] > UNRESPONSIVE_AFTER_MS
        ]
        return problems

    def _server_problems(self, servers: JsonObject) -> list[str]:
        problems = []
        for service, before in self.servers.items():
            now = servers.get(service, {}).get("Up", 0)
            if now < MIN_SERVERS_SHARE * before:
                problems.append(f"service {service}: {now} servers are up, {before} were")
        return problems


class RollingRestart:
    """Restarts machines in turn, and stops where one isn't back and well in time."""

    def __init__(self, client: OperatorClient, restart: Restart, print_line: Print, timeout_s: float) -> None:
        """Make a rollout.

        Args:
            client: asks the controllers how things stand.
            restart: restarts the machine of that name; returns the exit code of what did it.
            print_line: called with each line of output.
            timeout_s: how long to wait for all to be well, before and after each machine.
        """
        self._client = client
        self._restart = restart
        self._print_line = print_line
        self._timeout_s = timeout_s
        self._monitor = RolloutMonitor()

    async def run(self, names: list[str]) -> ExitCode:
        """Restart those machines; where it stops, the lines say why and at which."""
        _, status = await self._client.fetch_newest()
        self._monitor.record_baseline(status)
        if unknown := sorted(set(names) - set(self._monitor.incarnations)):
            raise InvalidInputError(f"no proxy of that name: {', '.join(unknown)}")
        for number, name in enumerate(names, 1):
            if problems := await self._restart_one(f"{number} of {len(names)}: {name}", name):
                self._print_line(f"stopped at {name}:")
                for line in problems:
                    self._print_line(f"  {line}")
                return ExitCode.INCOMPLETE
        self._print_line("all are back and well")
        return ExitCode.DONE

    async def _restart_one(self, title: str, name: str) -> list[str]:
        """Restart one machine between two waits for all to be well; returns what is wrong."""
        if problems := await self._wait_until_healthy(lambda status: True):
            return problems
        self._print_line(title)
        if exit_code := await self._restart(name):
            return [f"the command ended with {exit_code}"]
        return await self._wait_until_healthy(lambda status: self._monitor.is_restarted(name, status))

    async def _wait_until_healthy(self, is_done: Callable[[JsonObject], bool]) -> list[str]:
        """Wait until it is done and all is well for a while; returns what is wrong after the time-out."""
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
        try:
            _, status = await self._client.fetch_newest()
        except InvalidInputError as error:
            return [str(error)]
        return self._monitor.problems(status) or ([] if is_done(status) else ["it has not begun a new life"])


async def run_shell(command: str, name: str) -> int:
    """Run the operator's command for one machine, `{}` in it its name; returns its exit code."""
    process = await asyncio.create_subprocess_shell(command.replace("{}", name))
    return await process.wait()
