"""When a version comes into force: the leader's watch and state machine in simulated time."""

from lapisgrade.gateway import SECOND, rpc_messages
from lapisgrade.gateway.controller.commands import Activate, ConfigurationChange, LiveProxies, encode_command
from lapisgrade.gateway.controller.state_machine import StateMachine
from lapisgrade.gateway.controller.version_activation import (
    ACTIVATION_TIMEOUT_US,
    MERGED_VERSION_DELAY_US,
    ProxyStatus,
)
from lapisgrade.gateway.controller.watch import Watch
from lapisgrade.gateway.watch_timing import MISSED_VERSION_AFTER_US
from lapisgrade.lab.explore.activation import conf
from lapisgrade.lab.explore.watch_proxy import MS


def test_activation_waits_for_all_live_proxies_within_a_bound() -> None:
    state_machine = StateMachine()
    state_machine.apply(1, encode_command(ConfigurationChange(True, conf(1, 0, 1))))
    state_machine.apply(2, encode_command(LiveProxies({"a": ("p", "1", "z"), "b": ("p", "1", "z")})))
    one = Watch(SECOND, 0)
    one.become_leader(0, 1, state_machine.state)

    def asks(now: int, name: str, held: int) -> None:
        one.reply_if_changed(
            now,
            rpc_messages.WatchRequest(name, "p", "1", "z", 0, "1+", 9, 2, staged_version=held),
            state_machine.state,
            [],
        )

    asks(0, "a", 1)
    assert one.activation(MS, state_machine.state) is None
    asks(2 * MS, "b", 1)
    assert one.activation(3 * MS, state_machine.state) == Activate(1)
    assert one.activation(4 * MS, state_machine.state) is None  # it is under way
    state_machine.apply(3, encode_command(Activate(1)))
    assert state_machine.state.active_version == 1
    # The next one meets a proxy that is silent: it comes into force when that one must doubt.
    state_machine.apply(4, encode_command(ConfigurationChange(True, conf(2, 1, 2))))
    assert one.activation(SECOND, state_machine.state) is None
    asks(SECOND, "a", 2)
    assert one.activation(SECOND + MISSED_VERSION_AFTER_US, state_machine.state) is None
    assert one.activation(SECOND + ACTIVATION_TIMEOUT_US, state_machine.state) == Activate(2)


def test_rejected_changes_are_never_staged_nor_activated() -> None:
    state_machine = StateMachine()
    state_machine.apply(1, encode_command(ConfigurationChange(True, conf(1, 0, 1))))
    answers = [
        state_machine.apply(2, encode_command(ConfigurationChange(True, conf(2, 1, 2)))).status,
        state_machine.apply(
            3, encode_command(ConfigurationChange(True, conf(3, 1, 3)))
        ).status,  # on the same base
        state_machine.apply(
            4, encode_command(ConfigurationChange(True, b'{"Ver":9,"Base":2,"Ports":7}'))
        ).status,
        state_machine.apply(
            5, encode_command(ConfigurationChange(True, conf(2, 1, 2)))
        ).status,  # the same again
    ]
    assert answers == [200, 412, 400, 200]
    assert list(state_machine.state.staged_versions) == [1, 2]
    one = Watch(SECOND, 0)
    one.become_leader(0, 1, state_machine.state)
    news = one.reply_if_changed(
        0, rpc_messages.WatchRequest("a", "p", "1", "z", 0, "", 0, 0), state_machine.state, []
    )
    assert (news.active_version, news.active_configuration, list(news.staged_versions)) == (0, None, [1, 2])


def test_consecutive_changes_are_activated_one_by_one_with_one_proxy_unreachable() -> None:
    state_machine = StateMachine()
    one = Watch(SECOND, 0)
    one.proxies["dark"] = ProxyStatus("p", "1", "z", 0)
    moments = {}
    for now in range(0, 4 * SECOND, 100 * MS):
        if now % (500 * MS) == 0:
            ver = state_machine.state.version + 1
            state_machine.apply(ver, encode_command(ConfigurationChange(True, conf(ver, ver - 1, 1))))
        order = one.activation(now, state_machine.state)
        if order is not None:
            moments[order.version] = now
            state_machine.apply(100 + order.version, encode_command(order))
    assert {ver: at - (ver - 1) * 500 * MS for ver, at in moments.items()} == dict.fromkeys(
        range(1, 7), ACTIVATION_TIMEOUT_US
    )


def test_a_merged_version_waits_for_proxies_that_were_partitioned_with_a_draft() -> None:
    """Guards claims at a proxy that was counted out over the break and has not asked since the heal."""
    state = StateMachine().state
    state.staged_versions, state.merged_versions = {5: b"{}"}, [5]
    one = Watch(SECOND, 0)
    one.proxies = {"a": ProxyStatus("p", "1", "z", SECOND, staged_version=7)}
    assert one.activation(SECOND, state) is None
    state.staged_versions[7] = b"{}"  # acknowledged on top of it: goes by the merged one too
    assert one.activation(SECOND + MERGED_VERSION_DELAY_US - 1, state) is None
    assert one.activation(SECOND + MERGED_VERSION_DELAY_US, state) == Activate(7)
    one.proxies["b"] = ProxyStatus("p", "1", "z", SECOND, staged_version=4)  # it asked, and lacks both
    assert one.activation(SECOND + ACTIVATION_TIMEOUT_US - 1, state) is None
    assert one.activation(SECOND + ACTIVATION_TIMEOUT_US, state) == Activate(5)
    assert MERGED_VERSION_DELAY_US < ACTIVATION_TIMEOUT_US
