"""Stored outcomes of a proxy's attempts: retention and memory bounds."""

from types import SimpleNamespace
from unittest import mock

import h11
import pytest

from lapisgrade.gateway.operations import outcomes
from lapisgrade.gateway.operations.outcomes import (
    NOT_RUN,
    RUNNING,
    UNKNOWN,
    Outcome,
    OutcomeState,
    OutcomeStore,
)
from lapisgrade.gateway.routing.upstream_protocol import outcome_from_response


def answered_outcome(size: int) -> Outcome:
    return Outcome(OutcomeState.ANSWERED, 200, b"", b"x" * size)


@pytest.fixture
def store() -> OutcomeStore:
    return OutcomeStore(retention_us=100)


def test_the_first_outcome_is_stored_and_notified_once(store: OutcomeStore) -> None:
    finished: list[str] = []
    store.on_finished = finished.append
    store.begin(0, "a")
    assert (store.find("a"), store.running_count) == (RUNNING, 1)
    store.finish(1, "a", NOT_RUN)
    store.finish(2, "a", answered_outcome(1))
    store.finish(3, "never begun", answered_outcome(1))
    assert (store.find("a"), store.find("never begun"), store.running_count) == (NOT_RUN, UNKNOWN, 0)
    assert finished == ["a"]


def test_outcomes_are_dropped_once_their_retention_has_passed(store: OutcomeStore) -> None:
    store.begin(0, "answered")
    store.finish(1, "answered", answered_outcome(1))
    store.begin(5, "running")
    store.begin(99, "late")
    assert store.find("answered") == answered_outcome(1)
    store.begin(105, "another")
    assert [store.find(name) for name in ("answered", "running", "late")] == [UNKNOWN, UNKNOWN, RUNNING]
    assert store.running_count == 2


def test_memory_is_bounded_by_bytes_and_by_attempts(store: OutcomeStore) -> None:
    with (
        mock.patch.object(outcomes, "MAX_STORED_BYTES", 10),
        mock.patch.object(outcomes, "MAX_RESPONSE_BYTES", 8),
        mock.patch.object(outcomes, "MAX_ATTEMPTS", 3),
    ):
        for name, size in (("a", 6), ("b", 4), ("c", 9)):
            store.begin(0, name)
            store.finish(0, name, answered_outcome(size))
        assert [store.find(name).state for name in "abc"] == [3, 3, OutcomeState.UNKNOWN]
        store.begin(1, "d")  # drops the oldest attempt
        store.finish(1, "d", answered_outcome(7))  # drops the oldest response
        assert [store.find(name).state for name in "abd"] == [0, 0, OutcomeState.ANSWERED]


def test_a_response_over_the_size_limit_is_not_copied():
    body = [memoryview(bytes(outcomes.MAX_RESPONSE_BYTES + 1))]
    head = SimpleNamespace(status_code=200, headers=h11.Response(status_code=200, headers=[]).headers)
    assert outcome_from_response(SimpleNamespace(head=head, body=body, size=len(body[0]))) == UNKNOWN
