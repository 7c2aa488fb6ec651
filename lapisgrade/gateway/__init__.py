"""The gateway around the limiter: controllers store the configuration and server registry; proxies route.

docs/design/system.md describes the parts.
"""

import time

SECOND = 1_000_000  # us; the modules without I/O use whole microseconds of one monotonic clock
STARTED_US = time.monotonic_ns() // 1000  # time at which this process started to load its code
