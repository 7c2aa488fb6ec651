"""A controller's metrics, as logged at the end of the process."""

from lapisgrade.gateway.controller.metrics import ControllerMetrics


def test_only_nonzero_metrics_are_reported_with_their_labels() -> None:
    metrics = ControllerMetrics()
    assert metrics.nonzero() == {}
    metrics.disk_syncs += 2
    metrics.calls["conf.show"] += 3
    metrics.call_replies["conf.show 200"] += 3
    assert metrics.nonzero() == {
        "disk_syncs": 2,
        "calls": {"conf.show": 3},
        "call_replies": {"conf.show 200": 3},
    }
