"""The module under seeded chance, with each rule checked at each step, and a few plain cases."""

import pytest
from support.limiter_fakes import CATEGORIES, DUTIES, PLANS, SECOND, World

from lapisgrade.decide.account import Counter
from lapisgrade.decide.fleet import COLD_SHARE, PACE_LIFE
from lapisgrade.interface import Entry, Listed, Outcome, Report, Tally, Verdict

READY, DRAINING, GONE = Listed.READY, Listed.DRAINING, Listed.GONE


def finished(world):
    return sum(1 for _, how, _ in world.answers if how is Outcome.OK)


def turned_back(world):
    return sum(1 for _, how, _ in world.answers if how is not Outcome.OK and how.verdict is Verdict.TURN_BACK)


@pytest.mark.parametrize("seed", range(24))
def test_rules_hold_under_chance(seed):
    world = World(seed, limiters=1 + seed % 4, second_copies=seed % 3 > 0)
    random, taken, restarted = world.random, 0, 0
    for _ in range(400):
        world.run(world.now + random.randrange(1_000, 60_000))
        i, event = random.randrange(world.limiters), random.random()
        if event < 0.88:
            plan = random.randrange(len(PLANS))
            budget = random.randrange(30_000, 3 * SECOND) if random.random() < 0.3 else None
            category = random.randrange(len(CATEGORIES))
            customer, units = f"c{plan}{random.randrange(3)}", random.randrange(1, 5)
            op = world.arrive(i, category, plan, customer, units, budget)
            taken += 1
            if random.random() < 0.05:
                world.at(random.randrange(1, SECOND), world.gates[i].leave, op)
        elif event < 0.94:
            name = f"s{random.randrange(6)}"
            world.list(**{name: random.choice([READY, READY, DRAINING, GONE])})
        elif event < 0.96:
            world.silent = not world.silent
        elif event < 0.98:
            world.counts.clear()  # the counter is emptied
        else:
            world.start(i)
            restarted += 1
    world.run(world.now + 20 * SECOND)
    assert all(not gate.owed for gate in world.gates)
    assert finished(world) > 20 and len(world.answers) <= taken


@pytest.mark.parametrize("seed", range(6))
def test_ceiling_holds_whatever_the_counter_says(seed):
    """Counter silent or emptied, limiters restarted, all traffic gathered on one: never past the ceiling."""
    world = World(seed, limiters=2 + seed % 2, chances=(1, 0, 0, 0, 0, 0))
    random = world.random
    for step in range(600):
        world.silent = step // 100 % 2 == 1
        if random.random() < 0.02:
            world.counts.clear()
        if random.random() < 0.02:
            world.start(random.randrange(world.limiters))
        gathered = step // 150 % 2 == 0
        world.arrive(0 if gathered else random.randrange(world.limiters), 0, 1, "hot", random.randrange(1, 5))
        world.run(world.now + 15_000)
    assert len(world.ran) > 40


def test_quota_is_one_store_over_all_limiters():
    world = World(1, chances=(1, 0, 0, 0, 0, 0))
    for step in range(300):
        world.arrive(step % 3)
        world.run(world.now + 50_000)
    allowed = PLANS[0].burst + PLANS[0].rate * 15
    assert allowed * 0.8 <= len(world.ran) <= allowed + 3


def test_emptied_counter_grants_no_second_burst():
    world = World(2, limiters=2, chances=(1, 0, 0, 0, 0, 0))
    for step in range(60):
        world.arrive(step % 2)
        world.run(world.now + 10_000)
    before = len(world.ran)
    world.counts.clear()
    for step in range(60):
        world.arrive(step % 2)
        world.run(world.now + 10_000)
    assert len(world.ran) - before <= PLANS[0].rate * 0.6 + 2


def test_silent_counter_leaves_a_share():
    world = World(3, chances=(1, 0, 0, 0, 0, 0))
    world.silent = True
    for step in range(300):
        world.arrive(step % 3)
        world.run(world.now + 50_000)
    allowed = PLANS[0].burst + PLANS[0].rate * 15
    assert allowed * 0.5 < len(world.ran) < allowed * 2.2


def test_refusal_tells_when_to_come_back():
    world = World(4, limiters=1, chances=(1, 0, 0, 0, 0, 0))
    for _ in range(20):
        world.arrive(0)
        world.run(world.now + 5_000)
    back = [how for _, how, _ in world.answers if how is not Outcome.OK]
    assert back and all(0 < how.come_back_us <= 500_000 for how in back)


def test_unrepeatable_that_may_have_run_is_given_up():
    world = World(5, limiters=1, chances=(0, 1, 0, 0, 0, 0))
    world.arrive(0, category=2)
    world.run(world.now + SECOND)
    assert [how.verdict for _, how, _ in world.answers] == [Verdict.GIVE_UP] and len(world.ran) == 1


def test_refused_connection_is_tried_elsewhere():
    world = World(6, limiters=1, chances=(0, 0, 0, 1, 0, 0))
    world.arrive(0, category=2)
    world.run(world.now + SECOND)
    assert [how.verdict for _, how, _ in world.answers] == [Verdict.TURN_BACK] and len(world.ran) > 1


def test_empty_list_turns_back_at_once():
    world = World(7, limiters=1, servers=1)
    world.list(s0=GONE)
    world.arrive(0)
    world.run(world.now + SECOND)
    assert turned_back(world) == 1 and not world.ran


def test_cold_server_gets_a_small_part():
    world = World(8, limiters=1, servers=4, chances=(1, 0, 0, 0, 0, 0))
    for step in range(400):
        if step == 200:
            world.list(s0=GONE)
            world.list(s0=READY)
        world.arrive(0, customer=f"c{step}")
        world.run(world.now + 30_000)
    late = [sent for sent in world.ran[200:] if sent.name == "s0"]
    assert len(late) < 0.25 * len(world.ran[200:]) * 0.75


def test_fleet_that_is_all_cold_gets_going():
    """Found by reading: with nothing carried yet the cold budget was nil for good."""
    world = World(9, limiters=2, servers=2, chances=(1, 0, 0, 0, 0, 0))
    for state in (GONE, READY):
        world.list(s0=state, s1=state)
    for step in range(200):
        world.arrive(step % 2, customer=f"c{step}")
        world.run(world.now + 50_000)
    assert finished(world) > 12


def test_unanswered_calls_that_were_counted_are_taken_back():
    """Found in an incident with a crowded counter: what was never sent was counted, and quotas shrank."""
    world = World(10, limiters=1, chances=(1, 0, 0, 0, 0, 0))
    world.lossy = 0.5
    for _ in range(400):
        world.arrive(0, plan=2, units=5)
        world.run(world.now + 50_000)
    units = 5 * len(world.ran)
    assert units > 0.75 * (PLANS[2].burst + PLANS[2].rate * 20)


def test_small_slice_still_lets_one_in():
    """Found in an incident: with many gateways a slice of a small burst never held one operation."""
    world = World(11, limiters=12, chances=(1, 0, 0, 0, 0, 0))
    world.silent = True
    world.arrive(0, units=4)
    world.run(world.now + SECOND)
    assert len(world.ran) == 1


def test_fleet_slow_together_is_not_starved():
    """Found in an incident: when every server was slow the bound fell to one hop, and servers idled."""
    world = World(12, limiters=2, servers=8, chances=(1, 0, 0, 0, 0, 0))
    world.chance = lambda: (Outcome.OK, 600_000)
    for step in range(1200):
        world.arrive(step % 2, customer=f"c{step}")
        world.run(world.now + 25_000)
    assert sum(1 for sent in world.ran if sent.ended is None) >= 8


def test_bound_falls_with_the_servers_that_go():
    """Found in two incidents: half the fleet went, and what had been out on it jammed the other half."""
    world = World(13, limiters=1, servers=6)
    fleet = world.gates[0].module.fleet
    before = fleet.bound
    world.list(s0=GONE, s1=DRAINING, s2=GONE)
    assert fleet.bound == pytest.approx(before / 2)
    world.list(s0=READY, s1=READY, s2=READY)
    assert fleet.bound == pytest.approx(before / 2)


def test_units_settled_afterwards_are_put_right():
    world = World(14, limiters=1)
    gate, store = world.gates[0], PLANS[0]
    world.chance = lambda: (Outcome.OK, 5_000)
    for _ in range(2):
        op = world.arrive(0)
        world.run(world.now + 4_000)
        for sent in gate.hops[id(op)]:
            sent.ended = Outcome.OK
            gate.module.landed(sent.hop, Report(Outcome.OK, 4_000, True, units=4.0))
            del gate.owed[id(op)]
        world.run(world.now + 10_000)
    lease = 3  # a half of the seven units that were left after the first
    left = gate.module.accounts["c0"].store.level
    assert left == pytest.approx(store.burst - 4 - lease, abs=0.1)


def test_any_one_look_tells_recent_use():
    """Found at size: a limiter that seldom looks could not tell from a total when it was used up."""
    world = World(15, limiters=12, chances=(1, 0, 0, 0, 0, 0))
    world.run(world.now + 20 * SECOND)
    for _ in range(2):
        before = len(world.ran)
        for i in range(12):
            world.arrive(i)
            world.run(world.now + 5_000)
        assert abs(len(world.ran) - before - PLANS[0].burst) <= 1
        world.run(world.now + 25 * SECOND)


def test_many_limiters_share_a_fleet_out_evenly():
    """Found in an incident: with all limiters at all servers, connections ran out and none was known."""
    world = World(16, limiters=60, servers=36)
    parts = [gate.module.fleet.part for gate in world.gates]
    served = [sum(1 for part in parts for each in part if each.address == name) for name in world.entries]
    assert {len(part) for part in parts} == {6} and set(served) == {10}
    gone = parts[0][0].address
    world.list(**{gone: GONE})
    assert all(len(g.module.fleet.part) == 6 for g in world.gates)
    assert not any(each.address == gone for g in world.gates for each in g.module.fleet.part)


def test_ceiling_share_fills_from_the_start():
    """Found at size: each limiter turned back a customer's first operations under a ceiling."""
    world = World(17, limiters=1, chances=(1, 0, 0, 0, 0, 0))
    world.run(world.now + 2 * SECOND)
    world.arrive(0, plan=1, units=4)
    world.run(world.now + SECOND)
    assert len(world.ran) == 1


def test_what_turns_one_plan_away_still_serves_the_others():
    """Found at size: servers that turned one plan away as full were held ill for all, and slow as well."""
    world = World(18, limiters=1, servers=2)
    world.list(s1=GONE)
    world.chance = lambda: (Outcome.FULL, 200_000)
    for step in range(4):
        world.arrive(0, customer=f"c{step}")
        world.run(world.now + SECOND)
    world.list(s1=READY)
    fleet, draws = world.gates[0].module.fleet, []
    for plan in (0, 1):
        op = world.arrive(0, plan=plan, customer="late")
        draws.append(sum(fleet.draw(op, [], lambda server: True).address == "s0" for _ in range(400)))
    assert draws[0] < 0.5 * draws[1]


def test_amounts_stay_what_the_counter_takes():
    """A store that fills within two seconds makes what is added grow fast; it must not pass 1e9."""
    world = World(5, chances=(1, 0, 0, 0, 0, 0))
    for _ in range(400):
        world.arrive(world.random.randrange(3), 0, 3, units=2)
        world.run(world.now + 100_000)
    assert len(world.ran) > 300 * PLANS[3].rate / 20


def test_a_crowded_counter_is_asked_for_what_it_can_count():
    """Four limiters want 400 calls a second of one that takes 150: no flood and then nothing."""
    now, free, answered, silent, due = SECOND, 0, 0, 0, []
    counters = [Counter(True) for _ in range(4)]
    while now < 20 * SECOND:
        now += 2_500
        for when, counter, *heard in [each for each in due if each[0] <= now]:
            counter.heard(when, *heard)
        due = [each for each in due if each[0] > now]
        counter = counters[now // 2_500 % 4]
        if counter.asks(now):
            free = max(now, free) + SECOND // 150
            in_time = free - now <= 30_000
            answered += in_time
            silent += not in_time
            due.append((min(free, now + 30_000), counter, Tally.ADDED if in_time else Tally.SILENT, now))
    assert answered > 55 * 20 and silent < 0.4 * answered


def test_a_skipped_call_goes_by_the_room_last_told():
    """A customer gathered on one limiter, whose slice is half its quota, gets all of it in a crowd."""
    world = World(1, limiters=3, chances=(1, 0, 0, 0, 0, 0))
    world.arrive(0, plan=3)
    world.run(world.now + SECOND)
    gate = world.gates[0]
    gate.module.counter.asks, gate.module.fleet.bound = lambda now: False, 99.0
    for _ in range(12):
        world.arrive(0, plan=3)
    world.run(world.now + 2 * SECOND)
    finished = [answer for _, answer, _ in world.answers if answer is Outcome.OK]
    assert len(finished) == 13
    for _ in range(20):
        world.arrive(0, plan=3)
    world.run(world.now + SECOND)
    assert sum(answer is Outcome.OK for _, answer, _ in world.answers) <= 13 + 14  # no more than the quota


def test_what_is_gone_is_forgotten():
    world = World(2, chances=(1, 0, 0, 0, 0, 0))
    for i in range(400):
        world.arrive(i % 3, plan=i % 4, customer=f"once {i}")
        if i % 4 == 0:
            world.entries[f"t{i}"] = Entry(f"t{i}", Listed.READY, "z0", 0, 1.0, "", world.now)
            world.list(**{f"t{i}": Listed.READY})
        if i % 4 == 3:
            world.list(**{f"t{i - 3}": Listed.GONE})
        world.run(world.now + SECOND // 2)
    for gate in world.gates:
        assert len(gate.module.accounts) < 60
        assert len(gate.module.fleet.servers) < 60


def test_many_limiters_use_cold_servers_for_what_they_can_do():
    """Found on sockets at size: what one of many might send a cold server is less than one operation, and
    so all sent it next to nothing while it warmed up; warm ones were full and clients turned back."""
    world = World(19, limiters=40, servers=24, chances=(1, 0, 0, 0, 0, 0))
    cold = {f"s{i}" for i in range(12)}
    for step in range(900):
        if step == 300:
            world.list(**dict.fromkeys(cold, GONE))
            world.list(**dict.fromkeys(cold, READY))
        world.arrive(step % 40, customer=f"c{step}")
        world.run(world.now + SECOND // 50)
    late = [sent for sent in world.ran if sent.sent > world.now - 9 * SECOND]
    share = sum(sent.name in cold for sent in late) / len(late)
    assert 0.15 < share < 0.45  # they hold from 0.35 to 0.83 of their capacity by then


def test_a_small_bound_that_chance_fills_holds_what_will_leave_in_time():
    """Found on sockets at size: with a bound of three hops one was held at a time, the rest turned back."""
    world = World(20, limiters=12)
    world.chance = lambda: (Outcome.OK, 120_000)
    for step in range(30):  # one at a time goes out, for 0.12 s; each is held for 0.5 s at most
        world.arrive(0, category=1, customer=f"c{step}")
        world.run(world.now + 20_000)
    at_once = sum(when < op.arrived_us + 20_000 for op, _, when in world.answers)
    world.run(world.now + 2 * SECOND)
    assert world.gates[0].module.fleet.bound < 2.5
    assert finished(world) >= 15
    assert at_once > 4  # the others would wait in vain, and are told so


def test_a_cold_servers_room_goes_by_what_a_warm_one_carries():
    """Found on sockets at size: with half of the part cold, a mean over all halved what the cold ones got."""
    world = World(21, limiters=1, servers=6)
    fleet = world.gates[0].module.fleet
    cold = ["s0", "s1", "s2"]
    world.list(**dict.fromkeys(cold, GONE))
    world.list(**dict.fromkeys(cold, READY))
    fleet.carried.add(world.now, 3 * PACE_LIFE)  # three servers' full work, as three warm ones carry
    server = fleet.servers["s0"]
    server.last_sent = world.now
    fleet.cold_room(server, world.now)
    even = COLD_SHARE * DUTIES.fall_multiple * DUTIES.cold_from  # of a warm one's work
    assert 0.8 * even < server.work.rate / SECOND < even
