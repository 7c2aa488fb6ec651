"""The checker on histories that violate each rule, and on correct ones that resemble a violation."""

import pytest

from lapisgrade.lab.emulator import scenario
from lapisgrade.lab.fleet import checker, report
from lapisgrade.lab.fleet import history as h
from lapisgrade.lab.fleet.limiter_settings import settings

S = 1_000_000  # microseconds; the events' times are in s in the helpers below
SETTINGS = settings(
    scenario.parse(
        '[[plan]]\nname="basic"\nrate=10\nburst=20\n[[plan]]\nname="pro"\nrate=10\nburst=20\nceiling_rate=12\n'
        "ceiling_burst=24\nceiling_slack=4\n"
    ),
    0,
)


def run_started(**run_fields):
    """Return the start of a run of 10 s at 1 s; `run_fields` are further fields of it."""
    return h.RunStarted(at=S, name="t", seed=1, limiters=2, seconds=10, settings=SETTINGS, **run_fields)


def sent(op="a", at=2.0, category="read", units=1, limiter=0, origin=None, plan="basic", customer="c"):
    """Return the sending of an attempt with a time-out of 1 s; by default it is its operation's first."""
    at = round(at * S)
    return h.AttemptSent(
        at=at,
        op=op,
        origin=origin or op,
        due=at,
        customer=customer,
        plan=plan,
        category=category,
        units=units,
        limiter=limiter,
        ends=at + S,
    )


def answered(op="a", at=2.1, how="finished"):
    return h.AttemptAnswered(at=round(at * S), op=op, how=how)


def received(op="a", at=2.05, server="s0", ran=True):
    return h.RequestReceived(at=round(at * S), op=op, server=server, ran=ran)


def limiter_event(what, at, limiter=0):
    return h.LimiterProcessChanged(at=round(at * S), limiter=limiter, what=what)


def notified(state, at, server="s0", limiter=0):
    return h.ServerStateNotified(at=round(at * S), limiter=limiter, server=server, state=state)


def check(*events, **run_fields):
    """Return the findings of a run with these events, in any order."""
    history = [run_started(**run_fields), *events, h.RunEnded(at=11 * S)]
    return checker.check(sorted(history, key=lambda event: event.at))


def broken_rules(*events, **run_fields):
    """Return the rules that the run's violations break, one for each violation."""
    return [each.rule for each in check(*events, **run_fields).breaches]


def test_a_correct_history_has_no_violation_and_counts_each_outcome_once():
    findings = check(
        sent(),
        received(),
        answered(),
        sent("b", 3),
        answered("b", 3.1, "turned back"),
        sent("c", 4, "flash"),
        received("c", 4.1),
        answered("c", 4.2, "given up"),
    )
    assert findings.ok
    assert not findings.breaches
    assert findings.ends == {"finished": 1, "turned back": 1, "given up": 1, "broken": 0, "none": 0}
    assert findings.share == {0: 3}


@pytest.mark.parametrize(
    ("rule", "events"),
    [
        (1, [sent(), received()]),  # no answer at all
        (1, [sent(), received(), answered(how="none")]),
        (1, [sent(), received(), answered(how="broken")]),
        (1, [sent(), received(), answered(), answered(at=2.2)]),  # two answers
        (1, [sent(), received(), answered(), received(at=3.5, server="s1")]),  # forwarded after its answer
        (1, [received("nobody's", 5.0)]),  # forwarded, but no client sent it
        (2, [sent(category="flash"), received(), received(server="s1"), answered()]),
        (2, [sent(category="flash"), received(), answered(how="turned back")]),
        (
            2,
            [
                sent(category="flash"),
                received(),
                answered(how="turned back"),
                sent("b", 3, "flash", origin="a"),
                received("b", 3.1),
                answered("b", 3.2),
            ],
        ),
        (
            2,
            [
                sent(category="ticket"),
                received(),
                answered(how="broken"),
                limiter_event("killed", 2.01),
                sent("b", 9, "ticket", origin="a"),
                received("b", 9.1),
                answered("b", 9.2),
            ],
        ),
        (
            3,
            [
                notified("terminating", 2),
                sent(at=4),
                received(at=4.1, ran=False),
                answered(at=4.2, how="given up"),
            ],
        ),
        (
            3,
            [
                notified("terminating", 2),
                notified("terminated", 4),
                sent(at=4),
                received(at=4.1),
                answered(at=4.2),
            ],
        ),
        (
            5,
            [
                event
                for i in range(29)
                for event in (
                    sent(f"{i}", 2 + i / 1000, plan="pro"),
                    received(f"{i}", 2 + i / 1000),
                    answered(f"{i}", 2.1),
                )
            ],
        ),
    ],
)
def test_each_violation_is_detected(rule, events):
    rules = broken_rules(*events)
    assert rule in rules
    assert set(rules) <= {rule, 1, 2}


@pytest.mark.parametrize(
    "events",
    [
        [
            sent(),
            received(),
            limiter_event("killed", 2.02),
            answered(how="broken"),
        ],  # a killed limiter isn't held responsible
        [
            sent(),
            received(),
            limiter_event("paused", 2.02),
            limiter_event("resumed", 4.9),
            answered(at=3.6, how="none"),
        ],
        [
            limiter_event("paused", 1.5),
            sent(),
            limiter_event("resumed", 4.9),
            answered(at=3.6, how="none"),
            received(at=5),
        ],
        [
            sent(category="ticket"),
            received(),
            received(server="s1"),
            answered(),
        ],  # servers drop the duplicate
        [sent(), received(), received(server="s1"), answered()],  # idempotent: may run again
        [
            sent(category="flash"),
            received(ran=False),
            received(server="s1"),
            answered(),
        ],  # the first was rejected
        [sent(category="flash"), received(ran=False), answered(how="turned back")],
        [notified("terminating", 2), sent(at=2.2), received(at=2.24), answered(at=2.3)],  # within the grace
        [
            notified("terminating", 2),
            notified("in_service", 3),
            sent(at=4),
            received(at=4.1),
            answered(at=4.2),
        ],
        [
            notified("terminating", 2),
            limiter_event("killed", 3),
            limiter_event("up", 3.5),
            sent(at=4),
            received(at=4.1),
            answered(at=4.2),
        ],
        [
            event
            for i in range(28)
            for event in (
                sent(f"{i}", 2 + i / 1000, plan="pro"),
                received(f"{i}", 2 + i / 1000),
                answered(f"{i}", 2.1),
            )
        ],
    ],
)
def test_a_history_that_resembles_a_violation_has_none(events):
    assert broken_rules(*events) == []


def test_units_over_in_the_worst_window_of_a_customer_are_checked_against_the_stated_bound():
    events = [
        event for i in range(30) for event in (sent(f"{i}", 2), received(f"{i}", 2.01), answered(f"{i}", 2.1))
    ]
    findings = check(*events)
    assert findings.over["c"] == pytest.approx(10)
    assert findings.ok
    assert findings.quotas["basic"]["over_worst"] == pytest.approx(10)
    assert broken_rules(*events, over_bound=10.5) == []
    assert broken_rules(*events, over_bound=9.5) == [0]


def steady_load(until_s=11.0, is_sent=lambda at_s: True):
    """Return ten finished operations per second from 1.05 s on; `is_sent` selects them by their time.

    The run starts at 1 s, so that each operation lies well within one of the checker's bins of 100 ms.
    """
    events, number = [], 0
    at_s = 1.05
    while at_s < until_s:
        if is_sent(at_s):
            number += 1
            events += [
                sent(f"{number}", at_s, customer=f"{number % 7}"),
                received(f"{number}", at_s + 0.01),
                answered(f"{number}", at_s + 0.02),
            ]
        at_s += 0.1
    return events


def test_recovery_time_counts_from_the_end_of_the_fault_and_is_none_if_not_reached():
    fault = [h.FaultChanged(at=at * S, what="k", target="all", on=at == 4) for at in (4, 5)]
    findings = check(*steady_load(is_sent=lambda at_s: not 4 < at_s < 6.5), *fault)
    assert findings.faults[0].began_s == 3
    assert findings.faults[0].ended_s == 4
    assert findings.faults[0].full_service_s == pytest.approx(1.5, abs=0.15)
    assert check(*steady_load(until_s=4.0), *fault).faults[0].full_service_s is None
    assert check(*steady_load(), *fault).faults[0].full_service_s == 0


def test_the_stampede_figure_is_the_peak_after_the_fault_relative_to_the_mean_before():
    calls = [h.CounterCalled(at=round((1 + i / 10) * S), name="n", amount=1, total=1) for i in range(100)]
    burst = [h.CounterCalled(at=6 * S + 10 + i, name="n", amount=1, total=1) for i in range(19)]
    findings = check(*calls, *burst, h.FaultChanged(at=5 * S, what="k", target="all", on=True))
    assert findings.stampede["counter"] == pytest.approx(20, rel=0.1)


def test_staleness_is_the_time_from_a_servers_departure_to_its_last_request():
    findings = check(
        h.ServerStateChanged(at=2 * S, server="s0", state="terminating"),
        sent(at=2.4),
        received(at=2.5),
        answered(at=2.6),
        h.ServerStateChanged(at=3 * S, server="s0", state="in_service"),
        sent("b", 4),
        received("b", 4.1),
        answered("b", 4.2),
    )
    assert findings.staleness_s == pytest.approx(0.5)


def test_histories_are_merged_by_time_and_a_malformed_line_is_reported_with_its_number(tmp_path):
    first, second = tmp_path / "one.jsonl", tmp_path / "two.jsonl"
    with h.Writer(first) as writer:
        for event in (run_started(), answered(), sent()):  # written a little out of order
            writer.put(event)
    with h.Writer(second) as writer:
        writer.put(received())
    second.write_bytes(
        second.read_bytes() + b'{"kind":"came","at":1'
    )  # a line cut short, as by a killed writer
    assert [type(each) for each in h.merged([first, second])] == [
        h.RunStarted,
        h.AttemptSent,
        h.RequestReceived,
        h.AttemptAnswered,
    ]
    first.write_bytes(b'{"kind":"came","at":1,"op":"a","server":"s0","ran":true}\n{"kind":"went"}\n')
    with pytest.raises(h.HistoryError, match=r"one.jsonl:2: "):
        list(h.read(first))


def test_findings_are_saved_loaded_and_reported(tmp_path):
    findings = check(
        *steady_load(), sent("late", 5), h.FaultChanged(at=4 * S, what="link_cut", target="0", on=True)
    )
    report.save(findings, tmp_path / "findings.json")
    assert report.load(str(tmp_path / "findings.json")) == findings
    text = "\n".join(report.lines(findings))
    assert "RULE 1 BROKEN" in text
    assert "link_cut 0" in text
    assert "| t | 2 | worst |" in report.table([findings, findings])
    page = report.page([findings])
    assert "data:image/png;base64," in page
    assert "RULE 1 BROKEN" in page
    (tmp_path / "findings.json").write_text("{")
    with pytest.raises(report.FindingsError):
        report.load(str(tmp_path / "findings.json"))
