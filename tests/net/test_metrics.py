"""Names and values of the network metrics in the log."""

from lapisgrade.net.close_reason import CloseReason
from lapisgrade.net.metrics import NetMetrics


def test_nonzero_metrics_are_reported_with_one_name_per_reason_and_status():
    metrics = NetMetrics()
    assert metrics.nonzero() == {}
    metrics.attempts += 2
    metrics.attempts_finished[CloseReason.TIMED_OUT] += 1
    metrics.attempts_finished[CloseReason.ANSWERED] += 1
    metrics.responses[429] += 1
    assert metrics.nonzero() == {
        "attempts": 2,
        "attempts_finished_timed_out": 1,
        "attempts_finished_answered": 1,
        "responses_429": 1,
    }


def test_close_reasons_have_unique_names_without_spaces():
    names = [each.value for each in CloseReason]
    assert len(set(names)) == len(CloseReason)
    assert not any(" " in name for name in names)
