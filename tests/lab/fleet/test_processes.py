"""Scenarios with several real processes and faults between them, checked for rules and not for speed."""

import asyncio
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from lapisgrade.lab.emulator import scenario
from lapisgrade.lab.fleet import checker, defects, history, process, test_bed

BASE = """
[run]
name = "test"
seconds = {seconds}
limiters = {limiters}
servers = 4
customers = 6
rate = {rate}
spread = {limiters}
skew = 0
{run}
[servers]
median_ms = 10
cold_from = 1
warm_s = 0
[rules]
drain_grace_ms = 200
[clients]
retry_share = 0
leave_share = 0
[[category]]
name = "read"
hard_stop_ms = 800
share = 3
[[category]]
name = "ticket"
repeat = "deduplicated"
remembered_ms = 5000
hard_stop_ms = 800
[[category]]
name = "flash"
repeat = "unrepeatable"
hard_stop_ms = 800
[[plan]]
name = "pro"
rate = 40
burst = 80
ceiling_rate = 60
ceiling_burst = 120
ceiling_slack = 10
"""


def fault(at_s: float, kind: str, target: str = "all", for_s: float = 0.0, extra: str = "") -> str:
    """Return the text of a fault in a scenario; `extra` are further lines of its table."""
    return f'[[fault]]\nat_s = {at_s}\nkind = "{kind}"\ntarget = "{target}"\nfor_s = {for_s}\n{extra}\n'


def text(*faults: str, seconds: float = 4, limiters: int = 3, rate: float = 60, run: str = "") -> str:
    """Return the text of a scenario with these faults; `run` are further lines of its table `run`."""
    return BASE.format(seconds=seconds, limiters=limiters, rate=rate, run=run) + "".join(faults)


def run_scenario(
    scenario_text: str, folder: Path, command: tuple[str, ...] = test_bed.LIMITER
) -> checker.Findings:
    """Run a scenario and return the findings of its history."""
    parsed = scenario.parse(scenario_text, "test.toml")
    files = asyncio.run(test_bed.run(parsed, scenario_text, "test.toml", folder, command=command))
    return checker.check(history.merged(files))


def have_ended(pids: list[int]) -> bool:
    """Return whether none of these processes is running; zombies don't count as running."""
    for pid in pids:
        try:
            if "State:\tZ" not in Path(f"/proc/{pid}/status").read_text():
                return False
        except (FileNotFoundError, ProcessLookupError):
            continue
    return True


PARTITION_GROUP = '[[party]]\nname = "left"\nlimiters = "0"\nservers = "0-1"\n'


@pytest.mark.parametrize(
    ("scenario_text", "has_effect"),
    [
        (
            text(fault(1, "limiter_kill", "all", 0.3)),
            lambda findings: findings.exempt or findings.ends["broken"],
        ),
        (
            text(fault(1, "limiter_pause", "0", 2.0)),
            lambda findings: findings.exempt,
        ),  # longer than all time-outs
        (
            text(fault(1, "counter_lost", for_s=1.5), fault(3, "counter_restart")),
            lambda findings: findings.ends["finished"],
        ),
        (
            text(fault(1, "link_reset", "0-1", 0.2), fault(2, "link_cut", "2", 1.0, 'link = "server"')),
            lambda findings: findings.stampede["connections"] > 1,
        ),
        (
            text(PARTITION_GROUP, fault(1, "partition", "group:left", 1.5), fault(1.2, "server_drain", "3")),
            lambda findings: findings.ends["finished"],
        ),
        (
            text(
                fault(1, "link_slow", "0", 1.0, "delay_ms = 30\njitter_ms = 20"),
                fault(1, "limiter_term", "1", 0.2),
                fault(2, "counter_swap"),
                run="clock_offset_ms = 50",
            ),
            lambda findings: findings.ends["finished"],
        ),
        # The counter is replaced repeatedly while a limiter starts. A SIGHUP before the limiter has set its
        # signal handlers would end it.
        (
            text(
                fault(1, "limiter_kill", "1", 0.1),
                *(fault(1.1 + 0.04 * number, "counter_swap") for number in range(12)),
            ),
            lambda findings: findings.ends["finished"],
        ),
    ],
    ids=["all-killed", "paused", "counter", "links", "partition", "ending", "starting"],
)
def test_all_rules_hold_under_faults(scenario_text, has_effect, tmp_path):
    findings = run_scenario(scenario_text, tmp_path)
    assert findings.ok, findings.breaches[:5]
    assert sum(findings.ends.values()) > 150
    assert findings.ends["finished"] > 100
    assert has_effect(findings)
    assert set(findings.share) == {0, 1, 2}


@pytest.mark.parametrize("name", list(defects.DEFECTS))
def test_a_deliberate_defect_in_a_process_is_detected(name, tmp_path):
    rule = defects.DEFECTS[name][1]
    command = (sys.executable, "-m", "lapisgrade.lab.fleet.defects", name)
    run = "over_bound = 30" if name == "unmetered" else ""
    drained = [fault(0.3, "server_drain", "1")] if name == "deaf" else []
    rate = 600 if name == "unmetered" else 60
    # A busy machine admits fewer operations per second; those over the quota must still exceed the bound.
    seconds = {"deaf": 3.5, "unmetered": 6.0}.get(name, 2.5)
    scenario_text = text(*drained, seconds=seconds, limiters=2, rate=rate, run=run)
    scenario_text = scenario_text.replace(
        "drain_grace_ms = 200", "drain_grace_ms = 700"
    )  # a draining server stays up for four times the grace
    if name == "deaf":  # with only two servers, a limiter sends again to the one that rejects everything
        scenario_text = scenario_text.replace("servers = 4", "servers = 2")
    findings = run_scenario(scenario_text, tmp_path, command)
    broken_rules = {each.rule for each in findings.breaches}
    assert rule in broken_rules, (broken_rules, findings.ends)
    if name == "unmetered":
        assert 0 in broken_rules  # the stated bound is exceeded as well
    else:
        assert broken_rules == {rule}


@pytest.mark.parametrize("signal_number", [signal.SIGINT, signal.SIGKILL])
def test_no_process_is_left_however_the_test_bed_ends(signal_number, tmp_path):
    scenario_path = tmp_path / "scene.toml"
    scenario_path.write_text(text(fault(0.2, "limiter_pause", "0", 20), seconds=30))
    args = [
        sys.executable,
        "-m",
        "lapisgrade.cli",
        "lab",
        "fleet",
        "run",
        str(scenario_path),
        "--out",
        str(tmp_path / "out"),
    ]
    child = subprocess.Popen(
        args,
        cwd=process.ROOT,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.PIPE,
        text=True,
        # Restores the default: a background job of a shell ignores SIGINT, and its children inherit that.
        preexec_fn=lambda: signal.signal(signal.SIGINT, signal.SIG_DFL),
    )
    try:
        pids: list[int] = []
        deadline = time.monotonic() + 30
        while len(pids) < 5 and time.monotonic() < deadline:  # three limiters, servers, clients
            time.sleep(0.1)
            children = Path(f"/proc/{child.pid}/task/{child.pid}/children")
            pids = [int(each) for each in children.read_text().split()]
        assert len(pids) == 5
        time.sleep(1.0)
        child.send_signal(signal_number)
        _, error_output = child.communicate(timeout=30)
    finally:
        child.kill()
    if signal_number is signal.SIGINT:
        assert child.returncode == 130
        assert "Traceback" not in error_output
    deadline = time.monotonic() + 10
    while not have_ended(pids) and time.monotonic() < deadline:
        time.sleep(0.05)
    assert have_ended(pids)


def test_a_scenario_that_cannot_run_is_rejected_without_a_traceback(tmp_path):
    scenario_path = tmp_path / "scene.toml"
    scenario_path.write_text(text(fault(1, "limiter_pause", "0", 2)))
    args = [sys.executable, "-m", "lapisgrade.cli", "lab", "run", str(scenario_path)]
    result = subprocess.run(args, cwd=process.ROOT, capture_output=True, text=True)
    line = scenario_path.read_text().splitlines().index('kind = "limiter_pause"') + 1
    assert result.returncode == 2
    assert f"scene.toml:{line}: the emulator can't play" in result.stderr
    scenario_path.write_text(text(fault(1, "partition", "group:nobody", 2)))
    args[4] = "fleet"
    args[5:] = ["run", str(scenario_path)]
    result = subprocess.run(args, cwd=process.ROOT, capture_output=True, text=True)
    assert result.returncode == 2
    assert "no [[party]] named 'nobody'" in result.stderr
    assert "Traceback" not in result.stderr


def test_a_limiter_that_ends_while_starting_fails_the_run(tmp_path):
    scenario_text = text(limiters=2)
    with pytest.raises(process.ProcessFailedError, match="ended while starting"):
        run_scenario(scenario_text, tmp_path, (sys.executable, "-c", "raise SystemExit(3)"))


def test_disk_faults_delete_truncate_flip_a_bit_and_refuse_writes(tmp_path):
    state = tmp_path / "state"
    (state / "deep").mkdir(parents=True)
    (state / "old").write_bytes(b"old")
    os.utime(state / "old", (1, 1))
    (state / "deep" / "new").write_bytes(bytes(range(100)))
    process.flip_bit(state)
    assert (state / "deep" / "new").read_bytes()[50] == 50 ^ 0x10
    process.truncate(state)
    assert (state / "deep" / "new").read_bytes() == bytes(range(50))
    process.wipe(state)
    assert list(state.iterdir()) == []

    async def exit_code_when_writes_fail() -> int:
        program = "import os, time\ntime.sleep(0.5)\nos.write(os.open('f', os.O_WRONLY | os.O_CREAT), b'x')\n"
        child = process.Process("writer", [sys.executable, "-c", program], tmp_path / "log", cwd=state)
        async with process.Supervisor() as supervisor:
            await supervisor.start(child)
            child.refuse_writes(True)
            return await child.wait()

    assert asyncio.run(exit_code_when_writes_fail()) != 0
    assert b"File too large" in (tmp_path / "log").read_bytes()
