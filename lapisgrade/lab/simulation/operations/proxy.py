"""Proxies of the simulation of keyed operations, with clients' connections."""

import asyncio
from typing import TYPE_CHECKING

from lapisgrade.gateway.settings import Settings
from lapisgrade.lab.simulation.operations.servers import RecordedPool
from lapisgrade.lab.simulation.proxies import ProxyMachine, SimulatedProxy
from lapisgrade.lab.simulation.virtual_loop import Process

if TYPE_CHECKING:
    from lapisgrade.lab.simulation.operations.exchange import Exchange
    from lapisgrade.lab.simulation.operations.simulation import KeyedSimulation


class KeyedProxy(SimulatedProxy):
    """A proxy whose servers record runs, and which drains its requests on a graceful shutdown."""

    simulation: "KeyedSimulation"

    def __init__(self, simulation: "KeyedSimulation", settings: Settings, process: Process) -> None:
        super().__init__(simulation, settings, process)
        self.router.random.seed(simulation.loop.random.getrandbits(64))

    def make_pool(self, max_connections: int) -> RecordedPool:
        """Return a pool of connections to the recording servers."""
        return RecordedPool(self.simulation.recording_servers, self)

    async def work(self) -> None:
        """Run the process until its graceful shutdown is complete."""
        loop = asyncio.get_running_loop()
        await self.rpc.listen(self.rpc_address)
        tasks = [loop.create_task(self.host.run()), loop.create_task(self.watch_client.run())]
        await self._shutdown.wait()
        await self._drain()
        self.rpc.close()
        for task in tasks:
            task.cancel()
        self.simulation.cluster.note(f"{self.settings.hostname} has exited")
        self.process.is_alive = False


class KeyedProxyMachine(ProxyMachine):
    """A host with at most one `KeyedProxy` process."""

    simulation: "KeyedSimulation"

    def __init__(self, simulation: "KeyedSimulation", number: int) -> None:
        super().__init__(simulation, number)
        self.exchanges: list[Exchange] = []  # since the last kill

    def make_proxy(self, settings: Settings, process: Process) -> KeyedProxy:
        """Create the proxy of a process."""
        return KeyedProxy(self.simulation, settings, process)

    def kill(self) -> None:
        """Kill the process, and break its clients' connections."""
        super().kill()
        exchanges, self.exchanges = self.exchanges, []
        for exchange in exchanges:
            exchange.reset()
