"""Retry budgets: all proxies together stay within RetryRatio and RetryExtra."""

from lapisgrade.gateway.routing.retry_budget import RetryBudget
from lapisgrade.gateway.settings import Slo

SECOND = 1_000_000
SLO = Slo()


def test_retries_of_all_proxies_stay_within_the_limit_also_right_after_a_start():
    for started_us, extra in ((-60 * SECOND, SLO.retry_extra), (0, 0.0)):
        budgets = [RetryBudget(SLO, started_us) for _ in range(14)]
        spent = 0
        for budget in budgets:
            budget.proxy_count = 14
            for number in range(100):
                budget.on_request(number * 10_000)
                spent += budget.try_spend(number * 10_000) + budget.try_spend(number * 10_000)
        assert spent <= SLO.retry_ratio * 1400 + extra
        assert spent > 0.7 * SLO.retry_ratio * 1400
