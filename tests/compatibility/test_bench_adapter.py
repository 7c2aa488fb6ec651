"""Compatibility of the bench adapter's line protocol (`python -m lapisgrade.bench_adapter`).

`data/bench/events.txt` records the lines that a small bench of two limiters and six servers sent to revision
761b3d6, with every message type and state code; `replies.txt` records its replies. The adapter draws all
random numbers from the seed `Entropy`, so its replies are reproducible byte for byte.
"""

import re
import subprocess
import sys
from pathlib import Path

BENCH = Path(__file__).parent / "data" / "bench"


def run_adapter(events: str) -> subprocess.CompletedProcess:
    return subprocess.run(
        [sys.executable, "-m", "lapisgrade.bench_adapter"],
        input=events,
        capture_output=True,
        text=True,
        timeout=60,
    )


def test_replies_to_recorded_events_are_unchanged():
    completed = run_adapter((BENCH / "events.txt").read_text())
    assert (completed.returncode, completed.stderr) == (0, "")
    assert completed.stdout == (BENCH / "replies.txt").read_text()


def test_recording_covers_every_message_and_key():
    keys: dict[str, set[str]] = {}
    for line in (*(BENCH / "events.txt").open(), *(BENCH / "replies.txt").open()):
        name, _, rest = line.strip().partition(" ")
        keys.setdefault(name, set()).update(re.findall(r"(?:^| )([\w.]+)=", rest))
    settings = keys.pop("CONFIGURE")
    assert {key.partition(".")[0] for key in settings} == {
        "LimiterId", "Entropy", "NInstances", "SelfIndex", "Zone", "RegistryMode", "Specifics", "Ceilings",
        "Rules", "RequestClasses", "TiersOfService",
    }  # fmt: skip
    assert keys == {
        "MARK": {"SimTime"},
        "YOUR_TURN": set(),
        "POOL": {"Buffer", "Entries"},
        "ROW": {"Server", "Availability", "FailureDomain", "Bay", "Heft", "Shape", "CameUp"},
        "TOPOLOGY": {"LimiterId", "Form", "Epoch", "Buffer"},
        "ORDER": {
            "TimeBudget", "LimiterId", "Ticket", "Terms", "CostUnits", "UserKey", "Category", "EntryPoints",
            "FirstDoor", "AgainByClient",
        },
        "COMPLETED": {
            "LimiterId", "Ticket", "SendNo", "StateCode", "Duration", "DoneFlag", "Server", "Stats",
            "FinalUnits", "Metered",
        },
        "OPENED": {"LimiterId", "Ticket", "SendNo"},
        "EXPIRED": {"LimiterId", "Ticket"},
        "TALLY_BACK": {"LimiterId", "Counter", "StateCode", "ResultValue", "Duration"},
        "STATUS_BACK": {"LimiterId", "Server"},
        "PEER": {"LimiterId", "Neighbour"},
        "TICK_DUE": {"LimiterId", "Tag"},
        "DOWN": {"LimiterId"},
        "PLACE": {"LimiterId", "Ticket", "Server"},
        "WITHDRAW": {"LimiterId", "Ticket", "SendNo"},
        "RESPOND_ERROR": {"LimiterId", "Ticket"},
        "OVERLOAD_REPLY": {"LimiterId", "Ticket", "StayAway"},
        "POST_AMOUNT": {"LimiterId", "Lives", "Counter", "Step"},
        "DEFER": {"LimiterId", "Time", "Tag"},
        "STREAM_CHANGES": {"LimiterId", "Want"},
        "EOR": set(),
    }  # fmt: skip
