"""Conversion of closed attempts into outcomes by the proxy's host."""

from types import SimpleNamespace

import pytest

from lapisgrade.gateway.proxy.host import ProxyHost
from lapisgrade.interface import AttemptOutcome
from lapisgrade.net.close_reason import CloseReason
from lapisgrade.net.events import AttemptClosed


@pytest.mark.parametrize(
    ("is_idempotent", "outcome"),
    [(True, AttemptOutcome.CONNECT_FAILED), (False, AttemptOutcome.CONNECTION_LOST)],
)
def test_an_incomplete_write_counts_as_connection_lost_for_a_non_idempotent_request(
    is_idempotent: bool, outcome: AttemptOutcome
) -> None:
    outcomes: list[AttemptOutcome] = []
    policy = SimpleNamespace(on_attempt_finished=lambda _, result: outcomes.append(result.outcome))
    host = ProxyHost(lambda clock: policy, lambda: 0, print, SimpleNamespace())
    host.on_load_change = lambda: None
    host.engine = SimpleNamespace(attempt_finished=lambda attempt, result: None)
    request = SimpleNamespace(
        handle=SimpleNamespace(client=object()), is_idempotent=is_idempotent, operation_key="", task=None
    )
    attempt = SimpleNamespace(operation=request, sent_us=0)
    host._on_attempt_closed(AttemptClosed(attempt, CloseReason.INCOMPLETE_WRITE, None))
    assert outcomes == [outcome]
