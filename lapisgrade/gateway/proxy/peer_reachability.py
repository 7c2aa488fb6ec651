"""Which other machines this proxy reaches: whether it is isolated, and which proxies have terminated."""

from lapisgrade.gateway.proxy.context import ProxyContext

ISOLATED_AFTER_US = 1_500_000  # without a reply of another machine; clients are better off elsewhere then


class PeerReachability:
    """What calls to controllers and other proxies have shown."""

    def __init__(self, context: ProxyContext) -> None:
        self._context = context
        self._replied_us = 0  # when another machine, or a controller that leads, last replied
        self.terminated: set[str] = set()  # proxies whose machine says that nobody listens there

    def on_reply(self, address: tuple[str, int], is_leader: bool = False) -> None:
        """A controller or another proxy has replied; on this machine only a leader says anything."""
        if is_leader or address[0] != self._context.settings.ip:
            self._replied_us = self._context.now_us()

    def on_call_finished(self, name: str, is_refused: bool) -> None:
        """A call to a proxy has ended; `is_refused`: its machine refused the connection."""
        if is_refused:
            self.terminated.add(name)
        else:
            self.terminated.discard(name)

    def is_isolated(self, live_proxies: int) -> bool:
        """Whether no other machine replies, though others of so many proxies live.

        Its tenants' quotas are out of reach then, and the platform does better to send clients to the others
        (guards them from 429 within their quotas).
        """
        return live_proxies > 1 and self._context.now_us() - self._replied_us > ISOLATED_AFTER_US
