"""The gateway round the limiter: controllers keep the configuration and the server registry, proxies route.

docs/design/system.md says which part does what.
"""

import time

SECOND = 1_000_000  # us; all times inside the pure parts are whole microseconds of one steady clock
STARTED_US = time.monotonic_ns() // 1000  # when this process began to load its code
