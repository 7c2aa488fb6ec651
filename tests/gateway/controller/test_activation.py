"""When versions are activated: the leader's `Watch` and state machine in simulated time."""

import pytest

from lapisgrade.gateway import SECOND, rpc_messages
from lapisgrade.gateway.controller import watch as watch_module
from lapisgrade.gateway.controller.commands import Activate, ConfigurationChange, LiveProxies, encode_command
from lapisgrade.gateway.controller.state import MAX_STAGED_VERSIONS
from lapisgrade.gateway.controller.state_machine import StateMachine
from lapisgrade.gateway.controller.version_activation import (
    ACTIVATION_TIMEOUT_US,
    MERGED_VERSION_DELAY_US,
    ProxyStatus,
)
from lapisgrade.gateway.controller.watch import PROXY_TIMEOUT_US, Watch
from lapisgrade.gateway.watch_timing import MISSED_VERSION_AFTER_US
from lapisgrade.lab.explore.activation import encode_configuration
from lapisgrade.lab.explore.watch_proxy import MS


def test_activation_waits_for_all_live_proxies_until_the_time_out() -> None:
    state_machine = StateMachine()
    state_machine.apply(1, encode_command(ConfigurationChange(True, encode_configuration(1, 0, 1))))
    state_machine.apply(2, encode_command(LiveProxies({"a": ("p", "1", "z"), "b": ("p", "1", "z")})))
    watch = Watch(SECOND, 0)
    watch.become_leader(0, 1, state_machine.state)

    def send_watch_request(now_us: int, name: str, staged_version: int) -> None:
        watch.reply_if_changed(
            now_us,
            rpc_messages.WatchRequest(name, "p", "1", "z", 0, "1+", 9, 2, staged_version=staged_version),
            state_machine.state,
            [],
        )

    send_watch_request(0, "a", 1)
    assert watch.activation(MS, state_machine.state) is None
    send_watch_request(2 * MS, "b", 1)
    assert watch.activation(3 * MS, state_machine.state) == Activate(1)
    assert watch.activation(4 * MS, state_machine.state) is None  # the proposal is pending
    state_machine.apply(3, encode_command(Activate(1)))
    assert state_machine.state.active_version == 1
    # Proxy b sends no request after the next version is staged. The version is activated once b must be
    # in doubt: b then responds with 503 to every request that its active version rejects.
    state_machine.apply(4, encode_command(ConfigurationChange(True, encode_configuration(2, 1, 2))))
    assert watch.activation(SECOND, state_machine.state) is None
    send_watch_request(SECOND, "a", 2)
    assert watch.activation(SECOND + MISSED_VERSION_AFTER_US, state_machine.state) is None
    assert watch.activation(SECOND + ACTIVATION_TIMEOUT_US, state_machine.state) == Activate(2)


def test_a_flood_of_proxy_names_does_not_displace_a_proxy_in_contact(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against live proxies that time out, and lose their counts, beyond `MAX_PROXIES`."""
    monkeypatch.setattr(watch_module, "MAX_PROXIES", 3)
    state = StateMachine().state
    watch = Watch(SECOND, 0)

    def send_watch_request(now_us: int, name: str) -> None:
        request = rpc_messages.WatchRequest(name, "p", "1", "z", 0, "", 0, 0)
        watch.reply_if_changed(now_us, request, state, [])

    for now_us in range(0, 2 * PROXY_TIMEOUT_US, PROXY_TIMEOUT_US // 4):
        send_watch_request(now_us, "in-contact")
        for number in range(3):
            send_watch_request(now_us, f"name-{now_us}-{number}")
        watch.advance(now_us)
        assert "in-contact" in watch.proxies
        assert len(watch.proxies) <= 3


def test_rejected_changes_are_neither_staged_nor_activated() -> None:
    state_machine = StateMachine()
    state_machine.apply(1, encode_command(ConfigurationChange(True, encode_configuration(1, 0, 1))))
    statuses = [
        state_machine.apply(
            2, encode_command(ConfigurationChange(True, encode_configuration(2, 1, 2)))
        ).status,
        state_machine.apply(
            3, encode_command(ConfigurationChange(True, encode_configuration(3, 1, 3)))
        ).status,  # has the same base as the change before it, which was accepted
        state_machine.apply(
            4, encode_command(ConfigurationChange(True, b'{"Ver":9,"Base":2,"Ports":7}'))
        ).status,
        state_machine.apply(
            5, encode_command(ConfigurationChange(True, encode_configuration(2, 1, 2)))
        ).status,  # a duplicate of the accepted change
    ]
    assert statuses == [200, 412, 400, 200]
    assert list(state_machine.state.staged_versions) == [1, 2]
    watch = Watch(SECOND, 0)
    watch.become_leader(0, 1, state_machine.state)
    reply = watch.reply_if_changed(
        0, rpc_messages.WatchRequest("a", "p", "1", "z", 0, "", 0, 0), state_machine.state, []
    )
    assert (reply.active_version, reply.active_configuration, list(reply.staged_versions)) == (
        0,
        None,
        [1, 2],
    )


def test_with_an_unreachable_proxy_each_change_is_activated_at_its_time_out() -> None:
    state_machine = StateMachine()
    watch = Watch(SECOND, 0)
    watch.proxies["unreachable"] = ProxyStatus("p", "1", "z", 0)
    activated_us = {}
    for now_us in range(0, 4 * SECOND, 100 * MS):
        if now_us % (500 * MS) == 0:
            version = state_machine.state.version + 1
            state_machine.apply(
                version,
                encode_command(ConfigurationChange(True, encode_configuration(version, version - 1, 1))),
            )
        activation = watch.activation(now_us, state_machine.state)
        if activation is not None:
            activated_us[activation.version] = now_us
            state_machine.apply(100 + activation.version, encode_command(activation))
    assert {
        version: at_us - (version - 1) * 500 * MS for version, at_us in activated_us.items()
    } == dict.fromkeys(range(1, 7), ACTIVATION_TIMEOUT_US)


def staged_at_a_follower(versions: list[int], merged: list[int]) -> tuple[StateMachine, Watch]:
    """Return the state and watch of a controller that applied staged versions at 0 and leads from 1 s on."""
    state_machine = StateMachine()
    state = state_machine.state
    state.staged_versions, state.merged_versions = dict.fromkeys(versions, b"{}"), merged
    state.live_proxies = {"silent": ("p", "1", "z")}
    watch = Watch(SECOND, 0)
    watch.observe_staged_versions(0, state)
    watch.become_leader(SECOND, 2, state)
    return state_machine, watch


def test_a_new_leader_continues_the_time_outs_that_it_recorded_as_a_follower() -> None:
    """Guards against changes that are delayed by each change of leader."""
    state_machine, watch = staged_at_a_follower([5], [])
    assert watch.activation(ACTIVATION_TIMEOUT_US - 1, state_machine.state) is None
    assert watch.activation(ACTIVATION_TIMEOUT_US, state_machine.state) == Activate(5)


def test_a_new_leader_delays_merged_versions_and_those_on_top_from_its_start() -> None:
    """Guards against a proxy that could not learn of a merged version while there was no leader."""
    state_machine, watch = staged_at_a_follower([4, 5, 6], [5])
    state = state_machine.state
    assert watch.activation(ACTIVATION_TIMEOUT_US, state) == Activate(4)
    state_machine.apply(1, encode_command(Activate(4)))
    fence_ends_us = SECOND + MERGED_VERSION_DELAY_US
    assert watch.activation(fence_ends_us - 1, state) is None
    assert watch.activation(fence_ends_us, state) == Activate(6)


def test_versions_that_are_dropped_before_their_activation_are_reported() -> None:
    state_machine = StateMachine()
    watch = Watch(SECOND, 0)
    dropped = []
    for version in range(1, MAX_STAGED_VERSIONS + 3):
        change = ConfigurationChange(True, encode_configuration(version, version - 1, 1))
        state_machine.apply(version, encode_command(change))
        dropped += watch.observe_staged_versions(0, state_machine.state)
    assert dropped == [1, 2]
    state_machine.apply(100, encode_command(Activate(5)))
    assert watch.observe_staged_versions(0, state_machine.state) == []  # superseded by an active version


def test_a_merged_version_is_activated_only_after_its_delay() -> None:
    """Guards against a request that takes the old route after another one took the merged route, at a proxy
    that timed out during a partition; it applies to requests that may run at most once.

    Such a proxy is not among the live proxies until its first watch request after the heal, with which it
    learns of the merged version.
    """
    state = StateMachine().state
    state.staged_versions, state.merged_versions = {5: b"{}"}, [5]
    watch = Watch(SECOND, 0)
    watch.proxies = {"a": ProxyStatus("p", "1", "z", SECOND, staged_version=7)}
    assert watch.activation(SECOND, state) is None
    state.staged_versions[7] = b"{}"  # acknowledged on top of the merged version, so it is delayed too
    assert watch.activation(SECOND + MERGED_VERSION_DELAY_US - 1, state) is None
    assert watch.activation(SECOND + MERGED_VERSION_DELAY_US, state) == Activate(7)
    watch.proxies["b"] = ProxyStatus(
        "p", "1", "z", SECOND, staged_version=4
    )  # live again, and has neither version
    assert watch.activation(SECOND + ACTIVATION_TIMEOUT_US - 1, state) is None
    assert watch.activation(SECOND + ACTIVATION_TIMEOUT_US, state) == Activate(5)
    assert MERGED_VERSION_DELAY_US < ACTIVATION_TIMEOUT_US
