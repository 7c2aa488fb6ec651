"""Choice among the services of a split route by weight."""

from collections import Counter
from random import Random
from unittest import mock

import attrs
import pytest

from lapisgrade.gateway import SECOND, configuration
from lapisgrade.gateway.routing import split
from lapisgrade.gateway.routing.split import SplitChooser
from lapisgrade.gateway.settings import Span


def split_rule(*weights: float) -> configuration.Rule:
    shares = tuple(configuration.Share(f"s{index}", weight) for index, weight in enumerate(weights))
    action = configuration.Action(timeout=Span(SECOND), split=shares)
    return configuration.Rule("r", configuration.Match("/"), action)


def observed_shares(rule: configuration.Rule, proxies: int, requests: int) -> list[float]:
    """Return each service's fraction of the choices if each proxy has that many requests."""
    choosers = [SplitChooser(Random(seed)) for seed in range(proxies)]
    counts = Counter(each.choose(rule) for each in choosers for _ in range(requests))
    return [counts[share.svc] / (proxies * requests) for share in rule.action.shares()]


def test_services_get_their_share_of_few_requests_at_one_proxy_and_at_many() -> None:
    for proxies, requests, tolerance in ((1, 300, 0.01), (12, 25, 0.03), (200, 2, 0.1)):
        for weights in ((90, 10), (50, 50), (1, 1, 8)):
            observed = observed_shares(split_rule(*weights), proxies, requests)
            for share, weight in zip(observed, weights, strict=True):
                assert share == pytest.approx(weight / sum(weights), abs=tolerance)


def test_a_service_with_zero_weight_gets_no_requests_and_stored_routes_are_bounded() -> None:
    assert observed_shares(split_rule(0, 3, 0), 5, 50) == [0.0, 1.0, 0.0]
    chooser = SplitChooser(Random(1))
    with mock.patch.object(split, "MAX_ROUTES", 3):
        for number in range(9):
            chooser.choose(attrs.evolve(split_rule(1, 1), name=f"r{number}"))
    assert len(chooser._offsets) == 3
