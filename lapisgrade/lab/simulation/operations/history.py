"""The history of keyed operations as clients and servers observe it, and the rules that check it.

Does no I/O. The rules:

- TWICE: Two tries of one tenant's key ran and were sent less than the window apart, or one try ran twice.
- MIXED: A success isn't the complete response of that key's run, or contains the id of another try.
- REFUSED: A try was answered with a status that promises that it did not run and never will, but it ran.
- UNASKED: A server ran a request that no client sent.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from lapisgrade.lab.simulation.virtual_loop import SECOND

NOT_RUN_STATUSES = (408, 421, 429, 503)  # promise that the try has not run and never will
OK = 200

OperationId = tuple[str, str]
"""A tenant and its key."""


@dataclass(frozen=True, slots=True)
class Run:
    """A run of a request at a server.

    Attributes:
        operation: Operation of the request's key.
        try_id: Id of the client's try.
        started_us: Start time.
        request_body: Body of the request.
        status: Status of the server's response, which may be lost.
        body: Body of the server's response.
        seal: Seal of the server's response, unique to the run.
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
    """A response as a client received it.

    Attributes:
        status: The HTTP status.
        try_ids: The try ids in its header; at most one is allowed, that of the client's own try.
        seal: The server's seal, empty if there is none.
        body: The complete body.
    """

    status: int
    try_ids: tuple[str, ...]
    seal: str
    body: bytes


@dataclass(slots=True)
class Try:
    """One request of a client.

    Attributes:
        operation: Operation of its key.
        try_id: Its id.
        sent_us: Send time.
        body: Its body, which may differ between the tries of one operation.
        answer: The response, or None.
    """

    operation: OperationId
    try_id: str
    sent_us: int
    body: bytes
    answer: Answer | None = None


@dataclass(slots=True)
class OperationHistory:
    """Tries, responses and runs, each checked when it is recorded.

    Attributes:
        window_us: Idempotency window, in which a key may run once.
        report: Called with each violation.
        tries: Tries by id.
        runs: Runs by operation, in order of their start.
        runs_by_seal: The same runs by seal.
    """

    window_us: int
    report: Callable[[str], None]
    tries: dict[str, Try] = field(default_factory=dict)
    runs: dict[OperationId, list[Run]] = field(default_factory=dict)
    runs_by_seal: dict[str, Run] = field(default_factory=dict)

    def on_sent(self, sent: Try) -> None:
        """Record a try that a client sends."""
        self.tries[sent.try_id] = sent

    def on_run(self, run: Run) -> None:
        """Record a run, and check it against earlier runs and responses."""
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

    def on_answer(self, sent: Try, answer: Answer) -> None:
        """Record a response that a client received, and check it."""
        sent.answer = answer
        if any(try_id != sent.try_id for try_id in answer.try_ids) or len(answer.try_ids) > 1:
            self.report(f"MIXED: the response to try {sent.try_id} has try ids {answer.try_ids}")
        if answer.status // 100 == 2:
            self._check_success(sent, answer)
        has_run = any(run.try_id == sent.try_id for run in self.runs.get(sent.operation, []))
        if answer.status in NOT_RUN_STATUSES and has_run:
            self._report_refused(sent, "has run")

    def _check_success(self, sent: Try, answer: Answer) -> None:
        """Check that a success is the complete response of a run of the try's operation."""
        run = self.runs_by_seal.get(answer.seal)
        if run is None:
            self.report(f"MIXED: try {sent.try_id} has a success with the seal of no run")
        elif run.operation != sent.operation:
            self.report(f"MIXED: try {sent.try_id} of {sent.operation} has the response of {run.operation}")
        elif (run.status, run.body) != (answer.status, answer.body):
            self.report(
                f"MIXED: try {sent.try_id} has a status or body that differs from its run {run.try_id}"
            )

    def _report_refused(self, sent: Try, run_text: str) -> None:
        status = sent.answer.status if sent.answer is not None else 0
        self.report(f"REFUSED: try {sent.try_id} of {sent.operation} has response {status} and {run_text}")

    def known_answers(self, since_us: int) -> Iterator[tuple[OperationId, Run]]:
        """Yield the operations of which a try sent since then got its own run's success, and that run."""
        for sent in self.tries.values():
            if sent.sent_us < since_us or sent.answer is None or sent.answer.status != OK:
                continue
            run = self.runs_by_seal.get(sent.answer.seal)
            if run is not None and run.try_id == sent.try_id:
                yield sent.operation, run
