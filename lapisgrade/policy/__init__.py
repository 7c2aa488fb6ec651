"""Every decision of a limiter, and every tuned constant that one rests on; docs/design.md says why.

A host makes one `Limiter` per process and advances its clock. For each operation it runs the generator
`limiter.handle(operation)`, which yields commands and is resumed with events (`lapisgrade.interface`). The
end of every attempt goes to `limiter.on_attempt_finished(attempt, result)` first, then to the operation;
changes of the endpoint list go to `limiter.update_servers`.
"""

from lapisgrade.policy.limiter import Limiter

__all__ = ["Limiter"]
