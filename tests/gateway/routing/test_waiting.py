"""How long requests wait, when they are refused and who is served first, in simulated time.

Nothing here depends on a route's target time: waits follow the caller's time and the work that is left.
"""

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from support.service_simulation import MS, Caller, ServiceSimulation

from lapisgrade.gateway.routing import wait_queue
from lapisgrade.gateway.routing.time_left import RESPONSE_MARGIN_US
from lapisgrade.gateway.settings import Slo

MARGIN_MS = RESPONSE_MARGIN_US // MS
SETTINGS = settings(max_examples=25, deadline=None, derandomize=True)

TIMES_MS = st.integers(100, 6_000)
CALLERS = st.lists(
    st.builds(
        Caller,
        sent_us=st.integers(0, 1_500).map(lambda ms: ms * MS),
        time_us=TIMES_MS.map(lambda ms: ms * MS),
        priority=st.integers(0, 3),
        mode=st.sampled_from(("idem", "mutate")),
    ),
    min_size=1,
    max_size=40,
)


def outcomes(callers: list[Caller]) -> list[tuple[int, int, int]]:
    return [(caller.status, caller.ended_us, caller.retry_after_us) for caller in callers]


@SETTINGS
@given(callers=CALLERS, starts_ms=st.sampled_from((0, 700, 10_000)), target_ms=st.integers(50, 8_000))
def test_routes_that_differ_only_in_target_time_are_treated_alike(
    callers: list[Caller], starts_ms: int, target_ms: int
) -> None:
    results = []
    for target_us in (600 * MS, target_ms * MS):
        simulation = ServiceSimulation(starts_us=starts_ms * MS)
        results.append(outcomes(simulation.run([replace(each, target_us=target_us) for each in callers])))
    assert results[0] == results[1]


@pytest.mark.parametrize("mode", ["idem", "mutate", "keyed"])
def test_waits_scale_with_the_callers_time_and_the_work(mode: str) -> None:
    waits_us = []
    for scale in (1, 2, 4):
        simulation = ServiceSimulation(work_us=scale * 100 * MS, starts_us=10**9, leader_from_us=10**9)
        key = "k" if mode == "keyed" else ""
        caller = Caller(0, scale * 2_500 * MS, mode=mode, operation_key=key)
        simulation.run([caller])
        assert caller.status == 503
        waits_us.append(caller.ended_us / scale)
    # The network does not scale, and estimates fade while a longer wait lasts.
    assert max(waits_us) - min(waits_us) <= RESPONSE_MARGIN_US + 0.01 * max(waits_us)


@SETTINGS
@given(time_ms=TIMES_MS, work_ms=st.integers(10, 500), free_ms=st.integers(0, 6_000))
def test_a_request_is_served_exactly_if_a_server_is_free_in_time(
    time_ms: int, work_ms: int, free_ms: int
) -> None:
    """The oracle knows when the service's only server comes up."""
    caller = Caller(0, time_ms * MS)
    ServiceSimulation(work_us=work_ms * MS, starts_us=free_ms * MS).run([caller])
    if free_ms + 1.02 * work_ms + MARGIN_MS + 10 < time_ms:
        assert (caller.status, caller.ended_us) <= (200, (free_ms + 110 + work_ms) * MS)
        assert caller.status == 200
    elif free_ms + work_ms + MARGIN_MS > time_ms:
        # A run is out of reach: the final answer is given as soon as that is known, and before the deadline.
        assert caller.status == 503
        assert caller.ended_us <= (max(0, time_ms - work_ms - MARGIN_MS) + 1) * MS
        assert caller.retry_after_us > 0


def test_a_request_that_cannot_be_reached_in_time_is_refused_at_once() -> None:
    # One slot, runs of 100 ms: of 40 requests with 1 s, nine can be served.
    callers = ServiceSimulation(slots=1).run([Caller(0, 1_000 * MS) for _ in range(40)])
    assert [caller.status for caller in callers].count(200) == 9
    assert all((caller.status, caller.ended_us) == (503, 0) for caller in callers[14:])
    assert all(caller.ended_us <= 900 * MS for caller in callers if caller.status == 503)


@pytest.mark.parametrize("server_queue", [0, 1, 3])
@pytest.mark.parametrize("ranks", [((0, None), (3, None)), ((3, 0), (0, 3)), ((0, 1), (3, 1))])
def test_under_overload_the_higher_rank_is_served_first_and_the_lower_one_not_starved(
    ranks: tuple[tuple[int, int | None], ...], server_queue: int
) -> None:
    # 40 requests a second can be served, 120 arrive: 60 of each rank.
    callers = [
        Caller(turn * 1_000 * MS // 60, 1_000 * MS, priority=route, tenant_priority=tenant)
        for turn in range(600)
        for route, tenant in ranks
    ]
    simulation = ServiceSimulation(server_queue=server_queue)
    simulation.run(callers)
    served = [sum(each.status == 200 for each in callers[rank::2]) / 600 for rank in (0, 1)]
    overall = sum(served) / 2
    assert overall > 0.3
    assert served[0] >= 1.9 * served[1]
    assert served[1] >= 0.25 * overall
    # Attempts that a server rejects are further tries: at most RetryRatio, here even of the served requests.
    served_count = sum(each.status == 200 for each in callers)
    assert sum(each.attempts for each in callers) <= (1 + Slo().retry_ratio) * served_count


def test_a_request_that_the_only_server_rejects_is_sent_again_when_a_slot_is_free() -> None:
    simulation = ServiceSimulation(slots=1, server_queue=0)
    simulation.router.started_us = 0  # so that there is a retry budget
    first, second = simulation.run([Caller(0, 1_000 * MS), Caller(1 * MS, 1_000 * MS)])
    assert (first.status, second.status, second.attempts) == (200, 200, 2)
    assert second.ended_us < 2.5 * simulation.work_us


def test_at_equal_rank_the_earliest_deadline_is_served_first() -> None:
    busy = [Caller(0, 5_000 * MS) for _ in range(9)]
    late, early = Caller(1 * MS, 8_000 * MS), Caller(2 * MS, 600 * MS)
    ServiceSimulation(server_queue=3).run([*busy, late, early])
    assert early.ended_us < late.ended_us


def test_a_first_try_and_a_later_one_wait_alike_for_a_leader() -> None:
    simulation = ServiceSimulation(leader_from_us=1_200 * MS)
    callers = [
        Caller(turn * 20 * MS, 2_500 * MS, mode="keyed", operation_key=f"k-{turn % 3}") for turn in range(13)
    ]
    simulation.run(
        callers[:3] + [replace(each, operation_key=f"other-{each.sent_us}") for each in callers[3:]]
    )
    assert all(caller.status == 200 for caller in callers[:3])
    assert all(1_200 * MS <= caller.ended_us < 1_800 * MS for caller in callers[:3])


def test_the_queue_is_bounded_and_refuses_the_lowest_rank_beyond(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(wait_queue, "MAX_QUEUED_REQUESTS", 4)
    low = [Caller(0, 2_000 * MS, priority=3) for _ in range(4)]
    high = [Caller(10 * MS, 2_000 * MS, priority=0) for _ in range(3)]
    ServiceSimulation(starts_us=50 * MS).run(low + high)
    assert [caller.status for caller in high] == [200] * 3
    assert sorted(caller.status for caller in low) == [200, 503, 503, 503]
    assert all(caller.ended_us == 10 * MS for caller in low if caller.status == 503)


def test_the_queue_is_bounded_in_bytes(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(wait_queue, "MAX_QUEUED_BYTES", 5_000)
    callers = [Caller(0, 2_000 * MS, body_bytes=2_000) for _ in range(3)]
    ServiceSimulation(starts_us=50 * MS).run(callers)
    assert sorted(caller.status for caller in callers) == [200, 200, 503]


def test_a_waiting_request_whose_client_leaves_frees_its_place() -> None:
    simulation = ServiceSimulation(slots=1, starts_us=100 * MS)
    left, other = Caller(0, 3_000 * MS, priority=0), Caller(0, 3_000 * MS, priority=1)
    simulation.schedule(50 * MS, lambda: simulation.disconnect(left))
    simulation.run([left, other])
    assert (left.attempts, other.status) == (0, 200)
    assert other.ended_us < 100 * MS + 120 * MS + simulation.work_us
    assert len(simulation.router.cluster("a").queue) == 0
