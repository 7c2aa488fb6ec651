"""What clients and servers saw of keyed operations, and the rules that it is checked against. Pure.

- TWICE: two tries of one tenant's key both run, the second one sent less than the window after the first; or
  one try runs twice.
- MIXED: a success that is not the whole answer of that key's run, or that names another try.
- REFUSED: a try is answered with a status that promises that it has not run and never will, and has run.
- UNASKED: a run of what no client sent.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from lapisgrade.lab.simulation.virtual_loop import SECOND

NOT_RUN_STATUSES = (408, 421, 429, 503)  # they promise that the try has not run and never will
OK = 200

OperationId = tuple[str, str]
"""A tenant and its key."""


@dataclass(frozen=True, slots=True)
class Run:
    """A server began to work on a request.

    Attributes:
        operation: Whose key it bore.
        try_id: Of the client's try that it came from.
        started_us: When.
        request_body: What it was asked.
        status: That the server answers, whether or not anyone receives it.
        body: That the server answers.
        seal: Of the answer; no other run has it.
    """

    operation: OperationId
    try_id: str
    started_us: int
    request_body: bytes
    status: int
    body: bytes
    seal: str


@dataclass(frozen=True, slots=True)
class Answer:
    """What a client received.

    Attributes:
        status: The HTTP status.
        try_ids: The tries that it names; it should be the client's own, once at the most.
        seal: The server's, empty for none.
        body: All of it.
    """

    status: int
    try_ids: tuple[str, ...]
    seal: str
    body: bytes


@dataclass(slots=True)
class Try:
    """One request of a client.

    Attributes:
        operation: Whose key it bears.
        try_id: Its own id.
        sent_us: When.
        body: What it asks; the tries of one operation may differ.
        answer: None while there is none.
    """

    operation: OperationId
    try_id: str
    sent_us: int
    body: bytes
    answer: Answer | None = None


@dataclass(slots=True)
class OperationHistory:
    """Tries, answers and runs, checked as they come.

    Attributes:
        window_us: In which a key may run once.
        report: Is told each violation.
        tries: By id.
        runs: By operation, in order.
        runs_by_seal: The same runs.
    """

    window_us: int
    report: Callable[[str], None]
    tries: dict[str, Try] = field(default_factory=dict)
    runs: dict[OperationId, list[Run]] = field(default_factory=dict)
    runs_by_seal: dict[str, Run] = field(default_factory=dict)

    def on_sent(self, each: Try) -> None:
        """Note a try that leaves its client."""
        self.tries[each.try_id] = each

    def on_run(self, run: Run) -> None:
        """Note a run, and check it against the runs and answers before it."""
        sent = self.tries.get(run.try_id)
        if sent is None or (sent.operation, sent.body) != (run.operation, run.request_body):
            return self.report(f"UNASKED: a run of {run.operation} as try {run.try_id}")
        for other in self.runs.get(run.operation, []):
            apart_us = abs(sent.sent_us - self.tries[other.try_id].sent_us)
            if run.try_id == other.try_id or apart_us < self.window_us:
                self.report(
                    f"TWICE: {run.operation} ran as try {other.try_id} and as {run.try_id}, "
                    f"sent {apart_us / SECOND:.3f} s apart"
                )
        self.runs.setdefault(run.operation, []).append(run)
        self.runs_by_seal[run.seal] = run
        if sent.answer is not None and sent.answer.status in NOT_RUN_STATUSES:
            self._report_refused(sent, "runs later")

    def on_answer(self, each: Try, answer: Answer) -> None:
        """Note an answer that its client received, and check it."""
        each.answer = answer
        if any(try_id != each.try_id for try_id in answer.try_ids) or len(answer.try_ids) > 1:
            self.report(f"MIXED: try {each.try_id} is answered as {answer.try_ids}")
        if answer.status // 100 == 2:
            self._check_success(each, answer)
        has_run = any(run.try_id == each.try_id for run in self.runs.get(each.operation, []))
        if answer.status in NOT_RUN_STATUSES and has_run:
            self._report_refused(each, "has run")

    def _check_success(self, each: Try, answer: Answer) -> None:
        run = self.runs_by_seal.get(answer.seal)
        if run is None:
            self.report(f"MIXED: try {each.try_id} has a success that no server gave")
        elif run.operation != each.operation:
            self.report(f"MIXED: try {each.try_id} of {each.operation} has the answer of {run.operation}")
        elif (run.status, run.body) != (answer.status, answer.body):
            self.report(f"MIXED: try {each.try_id} has another status or body than its run {run.try_id}")

    def _report_refused(self, each: Try, what: str) -> None:
        status = each.answer.status if each.answer is not None else 0
        self.report(f"REFUSED: try {each.try_id} of {each.operation} is answered {status} and {what}")

    def known_answers(self, since_us: int) -> Iterator[tuple[OperationId, Run]]:
        """Return the operations tried since then whose success a client has, and their runs."""
        for each in self.tries.values():
            if each.sent_us < since_us or each.answer is None or each.answer.status != OK:
                continue
            run = self.runs_by_seal.get(each.answer.seal)
            if run is not None and run.try_id == each.try_id:
                yield each.operation, run
