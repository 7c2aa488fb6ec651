"""The adapter as a process, with valid and malformed input. Unknown settings and fields are ignored."""

import subprocess
import sys

START = (
    "CONFIGURE LimiterId=0 Entropy=5 NInstances=1 SelfIndex=0 Strange.Key=1 Specifics.SharedCounter=true"
    " Ceilings.AttemptsCap=3 Rules.ColdFrom=0.2 Rules.Cold=1000.0 Rules.Fall=500.0 Rules.FallMultiple=3.0"
    " RequestClasses.count=1 RequestClasses.0.Name=look RequestClasses.0.Idempotency=repeatable"
    " RequestClasses.0.Aim=500.0 RequestClasses.0.Deadline=1000.0 RequestClasses.0.Worth=1.0"
    " TiersOfService.count=1 TiersOfService.0.Name=small TiersOfService.0.UnitsPerS=2"
    " TiersOfService.0.Burst=4\nPOOL Buffer=3 Entries=1\nROW Server=10.0.0.1:80 Novel=7\n"
    "TOPOLOGY LimiterId=0 Form=restored Epoch=1 Buffer=3\n"
)
ORDER = "ORDER TimeBudget=900.0 LimiterId=0 Ticket=11 Terms=small CostUnits=1 UserKey=ab Category=look\n"


def run_adapter(*batches):
    """Run the process on the batches, which are 2 ms apart; returns the completed process."""
    text = "".join(f"MARK SimTime={1000 + 2 * i}.0\n{batch}YOUR_TURN\n" for i, batch in enumerate(batches))
    return subprocess.run(
        [sys.executable, "-m", "lapisgrade.bench_adapter"],
        input=text,
        capture_output=True,
        text=True,
        timeout=30,
    )


def test_an_operation_is_served():
    completed = (
        "COMPLETED LimiterId=0 Ticket=11 SendNo=0 StateCode=200 Duration=3 DoneFlag=1 Server=10.0.0.1:80\n"
    )
    first_run = run_adapter(START, ORDER)
    call = next(line for line in first_run.stdout.splitlines() if line.startswith("POST_AMOUNT"))
    counter_id = dict(part.split("=") for part in call.split()[1:])["Counter"]
    reply = f"TALLY_BACK LimiterId=0 Counter={counter_id} StateCode=200 ResultValue=1 Duration=1.5\n"
    run = run_adapter(START, ORDER, reply, completed + "EXPIRED LimiterId=0 Ticket=11\n")
    assert run.returncode == 0
    assert not run.stderr
    assert run.stdout.count("EOR\n") == 4
    assert "PLACE LimiterId=0 Ticket=11 Server=10.0.0.1:80" in run.stdout
    assert "BUG" not in run.stdout


def test_each_malformed_line_gets_one_error_message():
    for line, message in [
        ("NOVELTY LimiterId=0", "unknown message 'NOVELTY'"),
        ("ORDER LimiterId=0 Ticket=x Terms=small UserKey=ab Category=look", "Ticket is not an integer: 'x'"),
        (
            "ORDER LimiterId=0 Ticket=1 Terms=other UserKey=ab Category=look TimeBudget=1",
            "Terms has the unknown value 'other'",
        ),
        ("ORDER LimiterId=9 Ticket=1", "LimiterId 9 has not been configured"),
        ("TOPOLOGY LimiterId=0 Form=update Epoch=1 Buffer=5", "Buffer refers to an unknown endpoint list: 5"),
        ("POOL Buffer=1 Entries=2", "2 more ROW lines expected"),
        ("TICK_DUE LimiterId=0 Tag", "is not name=value"),
    ]:
        run = run_adapter(START, line + "\n")
        assert run.returncode != 0, line
        assert message in run.stderr, line
        assert "line 8" not in run.stdout, line
        assert run.stderr.count("\n") == 1, run.stderr
        assert run.stderr.startswith("line "), run.stderr
