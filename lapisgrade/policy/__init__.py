"""All decisions of a limiter and their tuned constants; docs/design.md gives the reasons.

A host creates one `Limiter` per process and advances its clock. For each operation it runs the generator
`limiter.handle(operation)`, which yields commands and is resumed with events (`lapisgrade.interface`). It
passes the result of every attempt to `limiter.on_attempt_finished(attempt, result)` first and then to the
operation, and changes of the endpoint list to `limiter.update_servers`.
"""

from lapisgrade.policy.limiter import Limiter

__all__ = ["Limiter"]
