"""How long a connection to a server may be idle before it is no longer trusted. Pure.

Servers may drop an idle connection without closing it; what is written on it next is reset, and whether it
ran can't be known. An idempotent request is then retried, and teaches us which idle time was too long; one
that may run only once is sent on a new connection for as long as that limit holds (guards it against a 502
for a request that never ran). A server is hardly blamed for it: it answers well on connections that it knows.
"""

from typing import Any

from lapisgrade.gateway import SECOND

MIN_IDLE_US = 100_000  # below which a broken connection is the server's fault: several of its answers fit in
MAX_RESET_US = 30_000  # in which the reset of a dropped connection comes, some round trips between zones
LIMIT_HOLDS_US = 4 * SECOND  # that a limit holds; idempotent requests go on testing it
SAFETY_FACTOR = 0.7  # of the shortest idle time that was too long
MAX_REMEMBERED = 4096  # attempts in flight, and services; more are not remembered


class IdleConnections:
    """What one proxy has learned of each service's idle connections."""

    def __init__(self) -> None:
        self._idle_us: dict[Any, int] = {}  # by attempt in flight: how long its connection had been idle
        self._too_long: dict[
            str, tuple[int, int]
        ] = {}  # by service: the idle time in us, and when it was seen

    def limit_us(self, now_us: int, service: str) -> int:
        """Idle time up to which connections to a service are trusted; 0: without limit."""
        idle_us, seen_us = self._too_long.get(service, (0, 0))
        return int(SAFETY_FACTOR * idle_us) if idle_us and now_us - seen_us < LIMIT_HOLDS_US else 0

    def is_trusted(self, now_us: int, service: str, idle_us: int, is_idempotent: bool) -> bool:
        """Whether a request may go on a connection that has been idle for so long."""
        limit_us = self.limit_us(now_us, service)
        return is_idempotent or not limit_us or idle_us < limit_us

    def on_reuse(self, attempt: Any, idle_us: int) -> None:
        """An attempt goes on a connection that has been idle for so long."""
        if len(self._idle_us) < MAX_REMEMBERED:
            self._idle_us[attempt] = idle_us

    def on_attempt_finished(
        self, now_us: int, attempt: Any, service: str, was_broken: bool, took_us: int
    ) -> bool:
        """Learn from how an attempt ended; whether its connection had likely been dropped by the server."""
        idle_us = self._idle_us.pop(attempt, 0)
        if not was_broken or idle_us < MIN_IDLE_US or took_us > MAX_RESET_US:
            return False
        known_us = self.limit_us(now_us, service) / SAFETY_FACTOR
        if len(self._too_long) < MAX_REMEMBERED or service in self._too_long:
            self._too_long[service] = (int(min(known_us, idle_us)) if known_us else idle_us, now_us)
        return True
