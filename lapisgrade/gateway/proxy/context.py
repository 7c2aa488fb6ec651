"""State that all parts of a proxy share: settings, identity, clock and metrics."""

import logging
from collections.abc import Callable
from random import Random

import msgspec

from lapisgrade.gateway.proxy.metrics import ProxyMetrics
from lapisgrade.gateway.settings import Settings
from lapisgrade.net.rate_limited_log import RateLimitedLog

log = logging.getLogger("proxy")
_failure_log = RateLimitedLog("proxy", log.error)


class ProxyContext(msgspec.Struct):
    """Shared state of one proxy.

    Attributes:
        settings: The most recently loaded settings; a reload replaces them.
        random: The random number generator.
        now_us: Returns the time of the process's monotonic clock, in us.
        incarnation: Unique id of this process, which distinguishes it from others with the same hostname.
        metrics: The metrics of this process.
    """

    settings: Settings
    random: Random
    now_us: Callable[[], int]
    incarnation: str = ""
    metrics: ProxyMetrics = msgspec.field(default_factory=ProxyMetrics)

    def log_diagnostic(self, text: str) -> None:
        """Log a diagnostic line at the level DEBUG and count it."""
        self.metrics.diagnostics += 1
        log.debug("%s", text)

    def log_failure(self, text: str) -> None:
        """Log an exception that this process has contained, at the level ERROR and with a limited rate."""
        _failure_log.write(text)
