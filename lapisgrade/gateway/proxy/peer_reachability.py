"""Tracks which machines reply to this proxy: whether it is isolated, and which proxies have terminated."""

from lapisgrade.gateway.proxy.context import ProxyContext

ISOLATED_AFTER_US = 1_500_000  # time without a reply from another machine after which a proxy is isolated


class PeerReachability:
    """Results of this proxy's calls to controllers and other proxies."""

    def __init__(self, context: ProxyContext) -> None:
        self._context = context
        self._last_reply_us = 0  # time of the last reply from another machine or from the leader
        self.terminated_proxies: set[str] = set()  # proxies whose machine refuses connections

    def on_reply(self, address: tuple[str, int], is_leader: bool = False) -> None:
        """Record a reply from `address`; of the replies from this machine, only the leader's count."""
        if is_leader or address[0] != self._context.settings.ip:
            self._last_reply_us = self._context.now_us()

    def on_call_finished(self, name: str, is_refused: bool) -> None:
        """Record the end of a call to a proxy; `is_refused` if its machine refused the connection."""
        if is_refused:
            self.terminated_proxies.add(name)
        else:
            self.terminated_proxies.discard(name)

    def is_isolated(self, live_proxy_count: int) -> bool:
        """Return whether no other machine replies although other proxies are live.

        An isolated proxy can't reach the owners of quotas and would answer 429 to clients within their
        quotas, so it reports itself as not ready and the platform directs clients to other proxies.
        """
        return live_proxy_count > 1 and self._context.now_us() - self._last_reply_us > ISOLATED_AFTER_US
