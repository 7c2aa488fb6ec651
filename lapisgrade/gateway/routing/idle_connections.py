"""How long a connection to a server may be idle and still be reused. Does no I/O.

A server may drop an idle connection without closing it. When the next request is sent on it, the server
resets the connection, and the proxy cannot know whether the request ran. An idempotent request is retried,
and `SAFETY_FACTOR` times the connection's idle time becomes the limit for the service. While the limit is in
force, a non-idempotent request is not sent on a connection that was idle for at least that long, but on a new
one: a reset would make the proxy answer 502 for a request that never ran. The reset counts little against the
server's health, as the server works well on other connections.
"""

from typing import Any

from lapisgrade.gateway import SECOND

# After a shorter idle time, a reset is counted as the server's failure. Several responses fit into this time.
MIN_IDLE_US = 100_000
# Maximum time from sending a request to the reset of a dropped connection: a few round trips between zones.
MAX_RESET_DELAY_US = 30_000
# Lifetime of a limit after the last reset. Idempotent requests ignore the limit and so keep testing longer
# idle times.
LIMIT_TTL_US = 4 * SECOND
SAFETY_FACTOR = 0.7  # the limit as a fraction of the shortest idle time before a reset
MAX_ENTRIES = 4096  # maximum number of attempts in flight, and of services, that are tracked; others are not


class IdleConnections:
    """The idle time limits of a proxy's connections, by service."""

    def __init__(self) -> None:
        self._idle_us: dict[Any, int] = {}  # by attempt in flight, its connection's idle time
        # By service, the shortest idle time before a reset and when the last reset occurred, both in us.
        self._reset_idle_times: dict[str, tuple[int, int]] = {}

    def limit_us(self, now_us: int, service: str) -> int:
        """Return the maximum idle time of reused connections to a service; 0 if there is no limit."""
        idle_us, seen_us = self._reset_idle_times.get(service, (0, 0))
        return int(SAFETY_FACTOR * idle_us) if idle_us and now_us - seen_us < LIMIT_TTL_US else 0

    def is_trusted(self, now_us: int, service: str, idle_us: int, is_idempotent: bool) -> bool:
        """Return whether a request to a service may reuse a connection that was idle for `idle_us`."""
        limit_us = self.limit_us(now_us, service)
        return is_idempotent or not limit_us or idle_us < limit_us

    def on_reuse(self, attempt: Any, idle_us: int) -> None:
        """Record the idle time of the connection that an attempt reuses."""
        if len(self._idle_us) < MAX_ENTRIES:
            self._idle_us[attempt] = idle_us

    def on_attempt_finished(
        self, now_us: int, attempt: Any, service: str, was_broken: bool, duration_us: int
    ) -> bool:
        """Update the service's limit from the end of an attempt.

        Args:
            now_us: The current time.
            attempt: The attempt, as passed to `on_reuse`.
            service: The service of its server.
            was_broken: Whether the connection was lost or reset during the attempt.
            duration_us: Time from the start to the end of the attempt.

        Returns:
            Whether the server had probably dropped the connection while it was idle.
        """
        idle_us = self._idle_us.pop(attempt, 0)
        if not was_broken or idle_us < MIN_IDLE_US or duration_us > MAX_RESET_DELAY_US:
            return False
        previous_us = self.limit_us(now_us, service) / SAFETY_FACTOR
        if len(self._reset_idle_times) < MAX_ENTRIES or service in self._reset_idle_times:
            self._reset_idle_times[service] = (
                int(min(previous_us, idle_us)) if previous_us else idle_us,
                now_us,
            )
        return True
