"""Imported before all else by a program that may run a role.

A role's code loads without garbage collection: nothing of it is garbage, and looking for some costs a tenth
of a start's processor time. A SIGHUP that comes meanwhile is kept, as one without a handler ends the process.
"""

import gc
import signal
import sys

ROLES = ("proxy", "controller")
MAX_ROLE_POSITION = 2  # of the role among the arguments; the laboratory's runner has one before it

early_signals: list[int] = []  # the SIGHUPs that came before the role could act on them

if any(argument in ROLES for argument in sys.argv[1 : MAX_ROLE_POSITION + 1]):
    gc.disable()
    signal.signal(signal.SIGHUP, lambda number, _: early_signals.append(number))


def finish() -> None:
    """All code is loaded: what there is stays, and the collector looks at what comes after it."""
    gc.freeze()
    gc.enable()
