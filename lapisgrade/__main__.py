"""python -m lapisgrade: one limiter on sockets, told all it needs by the file that $ROUTER_CONFIG names."""

import asyncio
import gc
import os
import sys

from lapisgrade.net import event_loop
from lapisgrade.net.service import serve
from lapisgrade.settings import MalformedInputError


def main(beside=None) -> int:
    """The limiter until it has ended; `beside` it runs what the command line was told of."""
    try:
        gc.freeze()
        with asyncio.Runner(loop_factory=event_loop.new_event_loop) as runner:
            runner.run(serve(os.environ.get("ROUTER_CONFIG", ""), beside))
    except MalformedInputError as wrong:
        print(f"the configuration: {wrong}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
