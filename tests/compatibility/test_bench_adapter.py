"""The bench adapter (`python -m lapisgrade.bench_adapter`) understands and says the same lines.

`data/bench/events.txt` is what a small bench of two limiters and six servers sent to revision 761b3d6, with
each kind of message and each state code; `replies.txt` is what it answered. All chance in the adapter comes
from `Entropy`, so the answers are the same to the byte.
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


def test_the_recorded_events_get_the_recorded_replies():
    run = run_adapter((BENCH / "events.txt").read_text())
    assert (run.returncode, run.stderr) == (0, "")
    assert run.stdout == (BENCH / "replies.txt").read_text()


def test_the_recording_holds_each_message_with_these_keys():
    keys: dict[str, set[str]] = {}
    for line in (*(BENCH / "events.txt").open(), *(BENCH / "replies.txt").open()):
        name, _, rest = line.strip().partition(" ")
        keys.setdefault(name, set()).update(re.findall(r"(?:^| )([\w.]+)=", rest))
    settings = keys.pop("CONFIGURE")
    assert {each.partition(".")[0] for each in settings} == {
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
