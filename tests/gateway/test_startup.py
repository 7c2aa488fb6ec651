"""The start of a role's process, before its code is loaded."""

import subprocess
import sys

# What a role's program imports first, and a SIGHUP before anything else.
SIGNALLED_AT_ONCE = """
import os, signal, sys
sys.argv = ["gateway", "proxy", "--settings=/nowhere.json"]
from lapisgrade.gateway import startup
os.kill(os.getpid(), signal.SIGHUP)
from lapisgrade.gateway import __main__ as gateway
sys.exit(gateway.main())
"""


def test_a_sighup_before_the_code_is_loaded_does_not_end_the_process() -> None:
    done = subprocess.run([sys.executable, "-c", SIGNALLED_AT_ONCE], capture_output=True, text=True)
    assert (done.returncode, done.stderr.count("\n")) == (2, 1), done.stderr
    assert "/nowhere.json" in done.stderr
