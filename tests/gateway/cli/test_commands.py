"""Output and exit codes of operators' commands."""

import asyncio
import contextlib
import io
import json
import os
import sys
from pathlib import Path
from unittest import mock

import msgspec
import pytest
from support.local_clusters import serving_cluster
from support.sample_configuration import (
    CLAIM_ROUTE,
    SAMPLE_CONFIGURATION,
    STOCK_ROUTE,
    action_of,
    edited_configuration,
    set_split,
)

from lapisgrade.gateway import __main__ as main_module
from lapisgrade.gateway.local_cluster import CONTROL_PORT


class Program:
    """Runs the program's commands in this process, with files in a folder."""

    def __init__(self, tmp_path: Path) -> None:
        self.folder = str(tmp_path)

    def write(self, name: str, data: bytes) -> str:
        """Write a file; return its path."""
        path = os.path.join(self.folder, name)
        with open(path, "wb") as file:
            file.write(data)
        return path

    def run_command(self, *arguments: str) -> tuple[int, str, str]:
        """Run a command; return its exit code, standard output and standard error."""
        out, err = io.StringIO(), io.StringIO()
        argv = mock.patch("sys.argv", ["lapisgrade-gateway", *arguments])
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err), argv:
            code = main_module.main()
        return code, out.getvalue(), err.getvalue()


@pytest.fixture
def program(tmp_path: Path) -> Program:
    return Program(tmp_path)


def test_check_conf(program: Program) -> None:
    good = program.write("good", msgspec.json.encode(SAMPLE_CONFIGURATION))
    assert program.run_command("check", "conf", good) == (0, "it can be taken\n", "")
    bad = program.write(
        "bad", edited_configuration(lambda c, r: (action_of(r).update(Timeout="0s"), r[0].update(Mode="x")))
    )
    code, out, _ = program.run_command("check", "conf", bad)
    assert (code, out.count("\n")) == (1, 3), out
    short = program.write("short", msgspec.json.encode(SAMPLE_CONFIGURATION)[:-9])
    assert program.run_command("check", "conf", short)[0] == 1
    code, out, err = program.run_command("check", "conf", "/nowhere")
    assert (code, out, err.count("\n")) == (2, "", 1)


def test_diff_of_two_files(program: Program) -> None:
    def edit(raw: dict, rules: list) -> None:
        rules[CLAIM_ROUTE]["Prio"] = 4
        set_split(rules, garantie=9, b=1)
        rules[STOCK_ROUTE]["Name"] = "r-new"
        raw["Pools"].append({"Name": "b"})
        raw["Tenants"][0]["Apikeys"] = ["another"]

    original, edited = (
        program.write("original", msgspec.json.encode(SAMPLE_CONFIGURATION)),
        program.write("edited", edited_configuration(edit)),
    )
    assert program.run_command("diff", edited, original) == (
        1,
        """changes:
  + Pools/b
    Routes/r-claim/Action/Split: none -> []
    Routes/r-claim/Action/Split/b: none -> {"Wt":1}
    Routes/r-claim/Action/Split/garantie: none -> {"Wt":9}
    Routes/r-claim/Action/Svc: "garantie" -> none
    Routes/r-claim/Prio: 1 -> 4
  + Routes/r-new
  - Routes/r-stock
    Tenants/sfax/Apikeys/(a key): none -> true
    Tenants/sfax/Apikeys/(a key): true -> none
""",
        "",
    )
    assert program.run_command("diff", original, original) == (0, "", "")


def test_an_unreachable_target_is_reported_in_one_line_with_exit_code_2(program: Program) -> None:
    path = program.write("conf", msgspec.json.encode(SAMPLE_CONFIGURATION))
    unreachable = "--ctl=127.0.0.1:1"
    commands = [("show",), ("status", "--json"), ("plan", path), ("diff", path), ("loss", "m1")]
    for arguments in (
        *((*command, unreachable) for command in commands),
        ("dump", "/nowhere"),
        ("dump", program.folder),
    ):
        code, out, err = program.run_command(*arguments)
        assert (code, out, err.count("\n")) == (2, "", 1), err


async def test_json_output_has_the_documented_keys() -> None:
    async with serving_cluster() as site:
        control_option = f"--ctl={site.ip['m1']}:{CONTROL_PORT}"
        versions = {"Newest", "InForce", "EverAccepted", "LastRefused"}
        status = versions | {"Proxies", "Servers", "Leader", "Term", "Voters", "Faults", "Operations"}
        for command, keys in (("status", status), ("drafts", {"Leader", "Newest", "Drafts"})):
            arguments = (sys.executable, "-m", "lapisgrade.gateway", command, control_option, "--json")
            process = await asyncio.create_subprocess_exec(*arguments, stdout=asyncio.subprocess.PIPE)
            out, _ = await process.communicate()
            assert (process.returncode, set(json.loads(out))) == (0, keys)
