"""The toolbox: checks of a configuration before it is sent, what a change would do, what a disk holds.
Approved transcripts; every kind of mistake has its words, its place and how it is mended."""

import asyncio
import contextlib
import copy
import io
import json
import os
import sys
import tempfile
import unittest
from unittest import mock

import msgspec

from support.loopback_network import reserve_loopback_network
from lapisgrade.gateway import __main__ as program
from lapisgrade.gateway import configuration
from lapisgrade.gateway.cli import rollout, check
from lapisgrade.gateway.cli.onboarding import OperatorClient
from lapisgrade.gateway.storage.log_store import LogStore
from lapisgrade.gateway.cli.dump import DiskReport
from lapisgrade.gateway.merge.three_way import drafted
from lapisgrade.gateway.settings import Address, Bad
from lapisgrade.gateway.local_cluster import CTL, SAMPLE, LocalCluster
from lapisgrade.gateway.consensus.messages import Entry
from lapisgrade.gateway.consensus.records import EntriesRecord, HardState, Record, SnapshotRecord
from lapisgrade.gateway.controller.state_machine import (
    MergeDraft,
    LiveProxies,
    Change,
    CloseDraft,
    Activate,
    ServerLeaving,
    encoded,
)
from lapisgrade.gateway.quota.ownership import owner_of

CONF = {name: each for name, each in SAMPLE.items() if name != "Base"}
STOCK, CLAIM = 0, 1


def conf(edit) -> bytes:
    """The sample, edited."""
    made = copy.deepcopy(CONF)
    edit(made, made["Ports"][0]["Policy"])
    return msgspec.json.encode(made)


def action(rules: list, which: int = CLAIM) -> dict:
    return rules[which]["Action"]


def split(rules: list, **wt) -> None:
    del action(rules)["Svc"]
    action(rules)["Split"] = [{"Svc": name, "Wt": each} for name, each in wt.items()]


WRONG = [
    (lambda c, r: action(r).update(Svc="nowhere"), "route r-claim: service 'nowhere' is not in Pools"),
    (lambda c, r: action(r).pop("Timeout"), "required field missing"),
    (lambda c, r: action(r).update(Timeout="0s"), "Timeout is 0, not above 0"),
    (lambda c, r: action(r).update(Timeout="soon"), "'soon' is not a time"),
    (lambda c, r: action(r).update(Timeout=2000), "2000 is not a time"),
    (lambda c, r: split(r, garantie=-1), "Wt is -1, below 0"),
    (lambda c, r: split(r, garantie=0), "add up to 0"),
    (lambda c, r: action(r).update(Split=[{"Svc": "garantie", "Wt": 1}]), "not both and not none"),
    (lambda c, r: action(r).pop("Svc"), "not both and not none"),
    (lambda c, r: action(r).update(Tries=0), "Tries is 0, not above 0"),
    (lambda c, r: r[CLAIM]["Match"].update(Pfx="claim/"), "'claim/' does not begin with a slash"),
    (lambda c, r: r[CLAIM].pop("Match"), "required field missing"),
    (lambda c, r: r[CLAIM].update(Mode="twice"), "'twice' is no mode"),
    (lambda c, r: r[CLAIM].update(Name=""), "Name must have 1 to 256 characters"),
    (lambda c, r: r[CLAIM].update(Name="r-stock"), "a route stands twice: 'r-stock'"),
    (lambda c, r: r[CLAIM]["Match"].update(Pfx="/stock/"), "a prefix stands twice"),
    (lambda c, r: r[CLAIM].update(Prio="high"), "'high' is not of the kind int"),
    (lambda c, r: r[CLAIM].update(Public=1), "'1' is not of the kind bool"),
    (lambda c, r: c["Pools"].append({"Name": "garantie"}), "a service stands twice"),
    (lambda c, r: c["Pools"].append({"Name": "x", "Maxconn": 0}), "Maxconn is 0, not above 0"),
    (lambda c, r: c["Tenants"].append({"Name": "sfax"}), "a tenant stands twice"),
    (lambda c, r: c["Tenants"].append({"Name": "b", "Apikeys": ["key-of-sfax"]}), "a key stands twice"),
    (lambda c, r: c["Tenants"][0].update(RateS=-2), "RateS is -2, below 0"),
    (lambda c, r: c["Tenants"][0].update(Burst="many"), "'many' is not of the kind float"),
    (lambda c, r: c.pop("Ver"), "$.Ver"),
    (lambda c, r: c.update(Ver=0), "Ver is 0, not above 0"),
    (lambda c, r: c["Caps"].update(Idle="0ms"), "Idle is 0, not above 0"),
    (lambda c, r: c["Ports"][0].pop("Vhost"), "Ports[0].Vhost"),
]

MINDED = [
    (lambda c, r: r[CLAIM]["Match"].update(Pfx="/claim"), "the prefix /claim has no slash at its end"),
    (lambda c, r: action(r).update(Timeout="100ms"), "r-claim: is held 0.1 s at most, and aims at 0.5 s"),
    (lambda c, r: split(r, garantie=1), "r-claim: a split of one service"),
    (lambda c, r: (c["Pools"].append({"Name": "b"}), split(r, garantie=1, b=0)), "b has weight 0"),
    (lambda c, r: action(r, STOCK).update(Tries=1), "r-stock: may be repeated, but is tried once"),
    (lambda c, r: c["Pools"].append({"Name": "b"}), "service b: no route goes there"),
    (lambda c, r: c["Tenants"].append({"Name": "b"}), "tenant b: has no key"),
    (lambda c, r: c["Tenants"][0].update(RateS=0), "a Burst without RateS is no limit"),
    (lambda c, r: c["Tenants"][0].update(Burst=0), "no Burst: a second's rate is taken for it"),
    (lambda c, r: c.update(Tenants=[]), "every request but on public routes gets 401"),
    (lambda c, r: (c.pop("Tenants"), r[CLAIM].update(Public=True)), "is public where no key is wanted"),
    (lambda c, r: c["Ports"].append({"Vhost": "A.example", "Policy": []}), "host a.example stands 2 times"),
]


class Checked(unittest.TestCase):
    def test_every_kind_of_mistake_is_told_with_its_place_and_sent_nowhere(self) -> None:
        for edit, words in WRONG:
            wrong, minded = check.checked(conf(edit))
            self.assertTrue(wrong and words in " ".join(wrong), (words, wrong))
            self.assertEqual(minded, [])
            self.assertNotIn("key-of-sfax", " ".join(wrong))

    def test_what_can_be_taken_but_may_be_meant_otherwise_is_minded(self) -> None:
        self.assertEqual(check.checked(msgspec.json.encode(CONF)), ([], []))
        for edit, words in MINDED:
            wrong, minded = check.checked(conf(edit))
            self.assertEqual(wrong, [], words)
            self.assertIn(words, "\n".join(minded))

    def test_mistakes_say_how_they_are_mended(self) -> None:
        wrong, _ = check.checked(conf(lambda c, r: action(r).update(Svc="nowhere")))
        hint = "(name the service under Pools, or send the route to one that is there)"
        self.assertEqual(wrong, [f"route r-claim: service 'nowhere' is not in Pools {hint}"])
        wrong, _ = check.checked(conf(lambda c, r: action(r).pop("Timeout")))
        place = "$.Ports[0].Policy[1].Action.Timeout"
        self.assertEqual(wrong, [f"required field missing @ {place} (it can't be left out)"])
        for edit, words in WRONG[1:8]:
            self.assertTrue(check.checked(conf(edit))[0][0].endswith(")"), words)

    def test_a_host_that_stands_twice_has_the_routes_of_both(self) -> None:
        def twice(c: dict, rules: list) -> None:
            c["Ports"] = [{"Vhost": "a.example", "Policy": [each]} for each in rules]

        made = msgspec.json.decode(conf(twice))
        table = configuration.Table(configuration.read(made))
        self.assertEqual([table.route("a.example", f"/{each}/1").name for each in ("stock", "claim")],
                         ["r-stock", "r-claim"])  # fmt: skip
        later = configuration.updated(made, {"Ver": 2, "Del": {"Routes": ["r-none"]}})
        self.assertEqual(len(later["Ports"][0]["Policy"]), 2)


class Ran(unittest.TestCase):
    """The program as an operator runs it: words out, exit code."""

    def setUp(self) -> None:
        self.folder = self.enterContext(tempfile.TemporaryDirectory())

    def write(self, name: str, data: bytes) -> str:
        path = os.path.join(self.folder, name)
        with open(path, "wb") as file:
            file.write(data)
        return path

    def run_it(self, *words: str) -> tuple[int, str, str]:
        out, err = io.StringIO(), io.StringIO()
        argv = mock.patch("sys.argv", ["lapisgrade-gateway", *words])
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err), argv:
            code = program.main()
        return code, out.getvalue(), err.getvalue()

    def test_check_conf(self) -> None:
        good = self.write("good", msgspec.json.encode(CONF))
        self.assertEqual(self.run_it("check", "conf", good), (0, "it can be taken\n", ""))
        bad = self.write("bad", conf(lambda c, r: (action(r).update(Timeout="0s"), r[0].update(Mode="x"))))
        code, out, _ = self.run_it("check", "conf", bad)
        self.assertEqual((code, out.count("\n")), (1, 3), out)
        short = self.write("short", msgspec.json.encode(CONF)[:-9])
        self.assertEqual(self.run_it("check", "conf", short)[0], 1)
        code, out, err = self.run_it("check", "conf", "/nowhere")
        self.assertEqual((code, out, err.count("\n")), (2, "", 1))

    def test_diff_of_two_files(self) -> None:
        def edit(c: dict, rules: list) -> None:
            rules[CLAIM]["Prio"] = 4
            split(rules, garantie=9, b=1)
            rules[STOCK]["Name"] = "r-new"
            c["Pools"].append({"Name": "b"})
            c["Tenants"][0]["Apikeys"] = ["another"]

        one, two = self.write("one", msgspec.json.encode(CONF)), self.write("two", conf(edit))
        self.assertEqual(self.run_it("diff", two, one), (1, """changes:
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
""", ""))  # fmt: skip
        self.assertEqual(self.run_it("diff", one, one), (0, "", ""))

    def test_what_can_t_be_reached_is_one_line_and_code_2(self) -> None:
        one = self.write("one", msgspec.json.encode(CONF))
        nobody = "--ctl=127.0.0.1:1"
        calls = [("show",), ("status", "--json"), ("plan", one), ("diff", one), ("loss", "m1")]
        for words in (*((*each, nobody) for each in calls), ("dump", "/nowhere"), ("dump", self.folder)):
            code, out, err = self.run_it(*words)
            self.assertEqual((code, out, err.count("\n")), (2, "", 1), err)


class Disk(unittest.TestCase):
    maxDiff = None

    def setUp(self) -> None:
        self.folder = self.enterContext(tempfile.TemporaryDirectory())
        log_store = LogStore(self.folder)
        log_store.recover()
        change = encoded(Change(True, msgspec.json.encode(SAMPLE)))
        rule = {**SAMPLE["Ports"][0]["Policy"][1], "Prio": 9}
        prio = {"Upsert": {"Ports": [{"Vhost": "a.example", "Policy": [rule]}]}}
        draft = drafted(CONF, prio, "amel", "m1")
        entries = [Entry(1, 1, b"", {"first": "10.0.0.1:7660"}), Entry(2, 1, change),
                   Entry(3, 2, encoded(MergeDraft(draft)))]  # fmt: skip
        whole = SnapshotRecord("first", 1, "first", 0, 0, {"first": "10.0.0.1:7660"}, b"", entries[:1])
        log_store.renew(msgspec.msgpack.encode(whole))
        records = (HardState(2, "first"), EntriesRecord(entries[1:]))
        log_store.append([msgspec.msgpack.encode(each) for each in records])
        log_store.close()
        self.name = draft.id

    def times(self) -> dict[str, int]:
        paths = [os.path.join(self.folder, each) for each in os.listdir(self.folder)]
        return {path: os.stat(path).st_mtime_ns for path in paths}

    def test_what_is_on_it_is_told_and_nothing_is_written(self) -> None:
        before = self.times()
        found = DiskReport(self.folder)
        self.assertEqual(found.lines(), [
            "disk first, generation 1, 3 sound records",
            "term 2; a snapshot up to entry 0 (version 0), 3 entries after it",
            "voters: first at 10.0.0.1:7660",
            "newest version 2, in force 0; servers that left 0, proxies in the list of live proxies 0",
            f"draft {self.name} by amel: stands"])  # fmt: skip
        self.assertEqual(json.loads(found.state_machine.state.conf)["Ports"][0]["Policy"][1]["Prio"], 9)
        self.assertEqual(self.times(), before)

    def test_the_history_says_what_each_entry_did_and_each_version_changed(self) -> None:
        log_store = LogStore(self.folder)
        old = [msgspec.msgpack.decode(each, type=Record) for each in log_store.recover()]
        gone = {"Del": {"Routes": ["r-stock"]}}
        late, again = ({"Ver": 4, "Base": 1, **gone}, {"Ver": 5, "Base": 2, **gone})
        items = [*(Change(False, msgspec.json.encode(each)) for each in (late, again)), Activate(5)]
        items += [ServerLeaving("i-1", False), ServerLeaving("i-1", True)]
        items += [LiveProxies({name: ("p", "1", "z") for name in ("m1", "m2")}), CloseDraft("nobody")]
        entries = [*old[0].entries, *old[2].entries]
        entries += [Entry(4 + number, 2, encoded(each)) for number, each in enumerate(items)]
        log_store.renew(msgspec.msgpack.encode(msgspec.structs.replace(old[0], entries=entries)))
        log_store.close()
        told = "\n".join(DiskReport(self.folder).history)
        self.assertEqual(
            told[told.index("entry 3") :],
            f"""\
entry 3, term 2: draft {self.name} by amel: merged as version 2
    Routes/r-claim/Prio: 1 -> 9
entry 4, term 2: a change was refused: 412 version 2 is in force, not 1
entry 5, term 2: version 5 on 2 was updated
  - Routes/r-stock
entry 6, term 2: version 5 comes into force
entry 7, term 2: server i-1 drains
entry 8, term 2: server i-1 is gone
entry 9, term 2: 2 proxies live: m1, m2
entry 10, term 2: draft nobody: closed""",
        )
        put = "entry 1, term 1: voters: first\nentry 2, term 1: version 1 on 0 was put\n    Caps/BodyBytes: "
        self.assertIn(put, told)
        self.assertNotIn("key-of-sfax", told)

    def test_damage_is_told_and_a_torn_end_is_not_damage(self) -> None:
        path = os.path.join(self.folder, "log-1.dat")
        with open(path, "ab") as file:
            file.write(b"LGD1 torn")
        self.assertEqual(DiskReport(self.folder).records, 3)
        with open(path, "r+b") as file:  # one bit of what was surely there
            file.seek(40)
            byte = file.read(1)
            file.seek(40)
            file.write(bytes([byte[0] ^ 1]))
        with self.assertRaises(Bad):
            DiskReport(self.folder)


class OnASite(unittest.IsolatedAsyncioTestCase):
    async def test_a_plan_says_what_then_happens(self) -> None:
        network = self.enterContext(reserve_loopback_network())
        async with LocalCluster(net=network.number) as site:
            await site.served()
            current, where = await OperatorClient(site.ctl, lambda line: None).show()
            rule = {**SAMPLE["Ports"][0]["Policy"][1]}
            rule["Action"] = {**rule["Action"], "Svc": "reparation"}
            ports = [{"Vhost": "a.example", "Policy": [rule]}]
            change = {"Upsert": {"Ports": ports, "Pools": [{"Name": "reparation"}]}}
            lines = ["+ Pools/reparation", '  Routes/r-claim/Action/Svc: "garantie" -> "reparation"']
            self.assertEqual(check.planned(current, change, where["Servers"]),
                             (lines, [], ["service reparation: no server is up"]))  # fmt: skip
            self.assertEqual(await site.put({"Ver": 2, "Base": 1, **change}, "conf.update"), 200)
            later, _ = await OperatorClient(site.ctl, lambda line: None).show()
            self.assertEqual(check.changed(current, later), lines)
            rule["Action"] = {"Svc": "nowhere", "Timeout": "1s"}
            self.assertEqual(len(check.planned(current, change, where["Servers"])[1]), 1)


class Lost(unittest.IsolatedAsyncioTestCase):
    async def served(self) -> LocalCluster:
        network = self.enterContext(reserve_loopback_network())
        return await (await self.enterAsyncContext(LocalCluster(net=network.number))).served()

    def client(self, site: LocalCluster) -> OperatorClient:
        return OperatorClient([Address((ip, CTL)) for ip in site.ip.values()], lambda line: None)

    async def test_what_is_told_of_a_loss_is_what_then_happens(self) -> None:
        site = await self.served()
        current, where = await self.client(site).show()
        conf = configuration.read(current)
        keeper = owner_of("sfax", site.names)
        other = next(each for each in site.names if each != keeper)
        lines, goes_on = check.loss(conf, where, [keeper])
        self.assertEqual([goes_on, lines[0], lines[-1], "zone local: 2 of 3 proxies left" in lines],
                         [True, "disks: 2 of 3 left: a majority, changes go on",
                          "counts that others take over, dark for some 2 s: sfax", True])  # fmt: skip
        self.assertFalse([line for line in check.loss(conf, where, [other])[0] if "counts" in line])
        lines, goes_on = check.loss(conf, where, [keeper, other])
        self.assertFalse(goes_on)
        self.assertIn("no majority, nothing is acknowledged until one is back", lines[0])
        with self.assertRaisesRegex(Bad, "no proxy of that name: m9"):
            check.loss(conf, where, ["m9"])
        for part in (site.controllers[keeper], site.proxies[keeper]):
            await site.kill(part)
        change = {"Ver": 2, "Base": 1, "Upsert": {"Pools": [{"Name": "b"}]}}
        while await site.put(change, "conf.update") != 200:
            await asyncio.sleep(0.02)
        await site.until(
            lambda: all(keeper not in each.quota_owner.proxies for each in site.proxies.values())
        )
        self.assertEqual(owner_of("sfax", site.proxies[other].quota_owner.eligible_owners) == keeper, False)
        await site.kill(site.controllers[other])
        self.assertEqual(await site.put({**change, "Ver": 3, "Base": 2}, "conf.update"), 0)

    async def test_what_programs_read_is_json(self) -> None:
        site = await self.served()
        where = f"--ctl={site.ip['m1']}:{CTL}"
        status = {"Newest", "InForce", "Proxies", "Servers", "Leader", "Term", "Voters"}
        for word, names in (("status", status), ("drafts", {"Leader", "Newest", "Drafts"})):
            words = (sys.executable, "-m", "lapisgrade.gateway", word, where, "--json")
            child = await asyncio.create_subprocess_exec(*words, stdout=asyncio.subprocess.PIPE)
            out, _ = await child.communicate()
            self.assertEqual((child.returncode, set(json.loads(out))), (0, names))

    async def test_a_rolling_restart_goes_machine_by_machine_and_nothing_is_refused(self) -> None:
        site, said, answers = await self.served(), [], []

        async def restart(name: str) -> int:
            for part in (site.controllers[name], site.proxies[name]):
                await site.kill(part)
            await site.start_controller(name)
            await site.start_proxy(name)
            return 0

        async def pulls() -> None:
            while True:
                ready = [name for name, each in site.proxies.items() if each.ready]
                answers.append((await site.get(ready[0], "/stock/1", "key-of-sfax")).head.status_code)
                await asyncio.sleep(0.02)

        task = asyncio.create_task(pulls())
        lives = {name: each.own for name, each in site.proxies.items()}
        self.assertEqual(await rollout.roll(self.client(site), site.names, restart, said.append, 20.0), 0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        self.assertEqual(said, ["1 of 3: m1", "2 of 3: m2", "3 of 3: m3", "all are back and well"])
        self.assertFalse({name for name, each in site.proxies.items() if each.own == lives[name]})
        self.assertEqual(set(answers), {200})

    async def test_a_rolling_restart_stops_at_the_machine_that_is_not_back(self) -> None:
        site, said = await self.served(), []

        async def restart(name: str) -> int:
            await site.kill(site.proxies[name])
            return 0

        self.assertEqual(await rollout.roll(self.client(site), site.names, restart, said.append, 3.0), 3)
        self.assertEqual(said[:2], ["1 of 3: m1", "stopped at m1:"])
        # A leader that is new has not heard it, one that is not has counted it out.
        self.assertRegex(said[2], "^  proxy m1 (is not there|acts by version 0, not 1|was heard .* ago)$")
        self.assertEqual(len(site.proxies), 2)

        async def failing(name: str) -> int:
            return 7

        said.clear()
        await site.start_proxy("m1")
        await site.until(lambda: site.proxies["m1"].ready)
        self.assertEqual(await rollout.roll(self.client(site), ["m2"], failing, said.append, 10.0), 3)
        self.assertEqual(said, ["1 of 1: m2", "stopped at m2:", "  the command ended with 7"])

    def test_what_is_not_as_well_as_it_was_is_told(self) -> None:
        one = {"Name": "c1", "Life": "a", "HeardMs": 10, "InForce": 4}
        disk = {"Id": "d1", "HeardMs": 10}
        well = {"Proxies": [one], "Voters": [disk], "Servers": {"s": {"Up": 10}}, "Newest": 4}
        watch = rollout.RolloutMonitor()
        watch.begin(well)
        self.assertEqual(watch.wrong(well), [])
        for now, words in (
            ({**well, "Proxies": []}, "proxy c1 is not there"),
            ({**well, "Proxies": [{**one, "HeardMs": 2500}]}, "proxy c1 was heard 2500 ms ago"),
            ({**well, "Newest": 5}, "proxy c1 acts by version 4, not 5"),
            ({**well, "Voters": []}, "0 disks vote, not 1"),
            ({**well, "Voters": [{**disk, "HeardMs": 9000}]}, "disk d1 was heard 9000 ms ago"),
            ({**well, "Servers": {"s": {"Up": 7}}}, "service s: 7 servers are up, 10 were"),
        ):
            self.assertEqual(watch.wrong(now), [words])


if __name__ == "__main__":
    unittest.main()
