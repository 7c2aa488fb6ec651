"""What the transports count, by the names that the log says."""

from lapisgrade.net.close_reason import CloseReason
from lapisgrade.net.metrics import NetMetrics


def test_only_what_was_counted_is_named_and_reasons_and_statuses_each():
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


def test_each_reason_has_a_name_of_its_own_without_spaces():
    names = [each.value for each in CloseReason]
    assert len(set(names)) == len(CloseReason)
    assert not any(" " in name for name in names)
