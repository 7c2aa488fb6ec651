"""What the transports count: totals since the process started, in the log at its end and on SIGUSR1."""

from collections import Counter
from dataclasses import dataclass, field, fields

from lapisgrade.net.close_reason import CloseReason


@dataclass(slots=True)
class NetMetrics:
    """Counters of one process; all are numbers of events.

    Attributes:
        client_connections_accepted: Connections that clients opened.
        client_connections_closed: The same, by why they ended.
        requests: Requests of clients that were handed to the policy.
        requests_abandoned: Those of them whose client disconnected before its response.
        responses: Responses to clients by status, also those that needed no server.
        upstream_connections_opened: Connections to servers that were established.
        attempts: Attempts that the policy asked for.
        attempts_finished: The same, by why they ended.
        stray_responses: Responses of servers to another request than the one in flight.
        counter_calls: Calls to the counter service.
        counter_calls_finished: The same, by why they ended.
        late_counter_replies: Replies of the counter service to calls that had timed out.
        server_list_updates: Lists of servers, or changes of them, that were applied.
        discovery_failures: Calls to discovery that brought no list.
        reloads: Times that the configuration was read again and taken.
        handler_failures: Events whose handling raised; each is in the log with its traceback.
    """

    client_connections_accepted: int = 0
    client_connections_closed: Counter[CloseReason] = field(default_factory=Counter)
    requests: int = 0
    requests_abandoned: int = 0
    responses: Counter[int] = field(default_factory=Counter)
    upstream_connections_opened: int = 0
    attempts: int = 0
    attempts_finished: Counter[CloseReason] = field(default_factory=Counter)
    stray_responses: int = 0
    counter_calls: int = 0
    counter_calls_finished: Counter[CloseReason] = field(default_factory=Counter)
    late_counter_replies: int = 0
    server_list_updates: int = 0
    discovery_failures: int = 0
    reloads: int = 0
    handler_failures: int = 0

    def nonzero(self) -> dict[str, int]:
        """Every metric that was counted at least once, by name; `responses_200` where there are several."""
        counts: dict[str, int] = {}
        for each in fields(self):
            value = getattr(self, each.name)
            if isinstance(value, Counter):
                counts.update({f"{each.name}_{_label(key)}": count for key, count in value.items()})
            elif value:
                counts[each.name] = value
        return counts


def _label(key: CloseReason | int) -> str:
    return key.value if isinstance(key, CloseReason) else str(key)
