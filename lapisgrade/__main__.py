"""`python -m lapisgrade`: runs one limiter, configured by the file that $ROUTER_CONFIG names."""

import asyncio
import contextlib
import gc
import os
import sys
from collections.abc import Callable

from lapisgrade.net import event_loop
from lapisgrade.net.service import Service, serve
from lapisgrade.settings import MalformedInputError

EXIT_OK = 0
EXIT_BAD_CONFIGURATION = 2


def main(companion: Callable[[Service], contextlib.AbstractAsyncContextManager[None]] | None = None) -> int:
    """Run the limiter until it has shut down; returns the exit code.

    Args:
        companion: Returns a context manager that stays entered while the service runs; None for none.
    """
    try:
        gc.freeze()
        with asyncio.Runner(loop_factory=event_loop.new_event_loop) as runner:
            runner.run(serve(os.environ.get("ROUTER_CONFIG", ""), companion))
    except MalformedInputError as error:
        print(f"the configuration: {error}", file=sys.stderr)
        return EXIT_BAD_CONFIGURATION
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
