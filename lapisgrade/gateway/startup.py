"""Start-up of a role's process; imported before everything else by programs that may run a role.

Garbage collection is off while a role's code loads: loading produces no garbage, and the collections take a
tenth of the processor time of a start. A SIGHUP during loading is recorded, as the default action terminates
the process.
"""

import gc
import signal
import sys

ROLES = ("proxy", "controller")
MAX_ROLE_POSITION = 2  # last argument position of the role; the lab's runner has one argument before it

early_signals: list[int] = []  # SIGHUPs received before the role installed its handler

if any(argument in ROLES for argument in sys.argv[1 : MAX_ROLE_POSITION + 1]):
    gc.disable()
    signal.signal(signal.SIGHUP, lambda number, _: early_signals.append(number))


def finish() -> None:
    """Enable garbage collection after loading; objects that exist by now are never collected."""
    gc.freeze()
    gc.enable()
