"""Start-up of a role's process, before its code is loaded."""

import subprocess
import sys

# Imports `startup` first, as a role's program does, and receives a SIGHUP before any other import.
PROGRAM_WITH_EARLY_SIGHUP = """
import os, signal, sys
sys.argv = ["gateway", "proxy", "--settings=/nowhere.json"]
from lapisgrade.gateway import startup
os.kill(os.getpid(), signal.SIGHUP)
from lapisgrade.gateway import __main__ as gateway
sys.exit(gateway.main())
"""


def test_a_sighup_before_the_code_is_loaded_does_not_end_the_process() -> None:
    result = subprocess.run([sys.executable, "-c", PROGRAM_WITH_EARLY_SIGHUP], capture_output=True, text=True)
    assert (result.returncode, result.stderr.count("\n")) == (2, 1), result.stderr
    assert "/nowhere.json" in result.stderr
