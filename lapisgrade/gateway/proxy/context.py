"""What all parts of one proxy share: its settings, its identity, its clock and its metrics."""

import logging
from collections.abc import Callable
from random import Random

import msgspec

from lapisgrade.gateway.proxy.metrics import ProxyMetrics
from lapisgrade.gateway.settings import Settings

log = logging.getLogger("proxy")


class ProxyContext(msgspec.Struct):
    """One proxy's; the settings are replaced when they are read again."""

    settings: Settings
    random: Random
    now_us: Callable[[], int]  # the process's steady clock
    incarnation: str = ""  # of this process; another one of the same name has another
    metrics: ProxyMetrics = msgspec.field(default_factory=ProxyMetrics)

    def log_diagnostic(self, text: str) -> None:
        """Log what is of use to somebody who looks into a fault, and count it."""
        self.metrics.diagnostics += 1
        log.debug("%s", text)
