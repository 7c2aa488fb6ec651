"""Where a proxy asks for news next: pure. The controller that leads, where it is known; else another
controller, and by turns a neighbour that may reach one (guards a proxy that is cut off from the controllers
alone)."""

from random import Random

from lapisgrade.gateway import SECOND, rpc_messages
from lapisgrade.gateway.membership.partial_view import PartialView, ControlHint, sound

DIRECT = 4 * SECOND  # us that news comes through another proxy before the controllers are tried again
MOST_CONTROLLERS = 64  # addresses of controllers that are remembered


class ControlClient:
    def __init__(self, random: Random, partial_view: PartialView, seeds: list[str]) -> None:
        """`seeds` are the controllers that the settings name."""
        self._random, self._views, self.seeds = random, partial_view, seeds
        self.controllers: list[str] = []
        self.leader = ""  # the controller that answered us last
        self.direct_at = 0  # when it did
        self.term = 0  # the newest that a leader answered in: nothing of an earlier one is taken
        self.fails = 0  # questions in a row that nobody answered who leads or knows who does
        self._place, self._hint = "", ""
        self._through: int | None = None  # since when another proxy is asked

    def next(self, now_us: int) -> str:
        if not self._place:
            others = self._views.neighbours() if self.fails % 2 else []
            self._through = now_us if others else None
            self._place = self._random.choice(others) if others else self._controller()
        return self._place

    def _controller(self) -> str:
        hint = self._views.way.leader
        if hint and hint != self._hint:
            self._hint = hint  # tried once, until something is heard there
            return hint
        return self._random.choice(sorted({*self.seeds, *self.controllers, *self._views.way.controllers}))

    def answered(self, now_us: int, news: rpc_messages.WatchReply | None) -> bool:
        """What came of the last question, None for nothing; whether it was news from who leads."""
        if news is not None and news.is_leader and _term(news) < self.term:
            news = None  # a leader that was cut off, and does not know that it is none any more
        if news is not None and news.is_leader:
            self.fails, self.term = 0, _term(news)
            self._told(news)
            if self._through is None:
                self.leader, self.direct_at, self._hint = self._place, now_us, ""
                self._views.leads(ControlHint(self.term, self._place, self.controllers))
            elif now_us - self._through > DIRECT:
                self._place = ""  # the controllers may be there again
            return True
        here, self._place = self._place, ""
        self.fails += 1
        self._views.misled(here)
        if news is not None:
            self._told(news)
            if self._through is None:
                # A controller that lives and knows no leader: another proxy knows none either.
                self.fails = 0
                self._place = (
                    news.leader_address if news.leader_address != here and sound(news.leader_address) else ""
                )
        return False

    def _told(self, news: rpc_messages.WatchReply) -> None:
        self.controllers = [
            each for each in news.controllers[:MOST_CONTROLLERS] if sound(each)
        ] or self.controllers


def _term(news: rpc_messages.WatchReply) -> int:
    """The leader's term, in which its register's life is told."""
    term = news.registry_incarnation.rstrip("+")
    return int(term) if term.isdecimal() else 0
