"""Every decision of a limiter, by concern: account, fleet, limiter; docs/design.md says why.

A host makes one `Limiter` per process and moves its clock. For each operation taken it runs
`limiter.handle(operation)`, a generator that yields what it wants done and is resumed with the result; the
end of every hop goes to `limiter.on_attempt_finished(attempt, result)` first and then to the operation. News of servers
goes to `limiter.update_servers`. The interface is lapisgrade/interface.py, the engine lapisgrade/engine.py.
"""

from lapisgrade.policy.limiter import Limiter

__all__ = ["Limiter"]
