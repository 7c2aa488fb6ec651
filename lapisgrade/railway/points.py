"""Where a carrier asks for news next: pure. The box that leads, where it is known; else another box, and by
turns a neighbour that may reach one (guards a carrier that is cut off from the boxes alone)."""

from random import Random

from lapisgrade.railway import SECOND, talk
from lapisgrade.railway.couplings.views import Views, Way, sound

DIRECT = 4 * SECOND  # us that news comes through another carrier before the boxes are tried again
MOST_BOXES = 64  # addresses of boxes that are remembered


class Points:
    def __init__(self, random: Random, views: Views, seeds: list[str]) -> None:
        """`seeds` are the boxes that the settings name."""
        self._random, self._views, self.seeds = random, views, seeds
        self.boxes: list[str] = []
        self.leader = ""  # the box that answered us last
        self.direct_at = 0  # when it did
        self.term = 0  # the newest that a leader answered in: nothing of an earlier one is taken
        self.fails = 0  # questions in a row that nobody answered who leads or knows who does
        self._place, self._hint = "", ""
        self._through: int | None = None  # since when another carrier is asked

    def next(self, now_us: int) -> str:
        if not self._place:
            others = self._views.neighbours() if self.fails % 2 else []
            self._through = now_us if others else None
            self._place = self._random.choice(others) if others else self._box()
        return self._place

    def _box(self) -> str:
        hint = self._views.way.leader
        if hint and hint != self._hint:
            self._hint = hint  # tried once, until something is heard there
            return hint
        return self._random.choice(sorted({*self.seeds, *self.boxes, *self._views.way.boxes}))

    def answered(self, now_us: int, news: talk.News | None) -> bool:
        """What came of the last question, None for nothing; whether it was news from who leads."""
        if news is not None and news.leads and _term(news) < self.term:
            news = None  # a leader that was cut off, and does not know that it is none any more
        if news is not None and news.leads:
            self.fails, self.term = 0, _term(news)
            self._told(news)
            if self._through is None:
                self.leader, self.direct_at, self._hint = self._place, now_us, ""
                self._views.leads(Way(self.term, self._place, self.boxes))
            elif now_us - self._through > DIRECT:
                self._place = ""  # the boxes may be there again
            return True
        here, self._place = self._place, ""
        self.fails += 1
        self._views.misled(here)
        if news is not None:
            self._told(news)
            if self._through is None:
                # A box that lives and knows no leader: another carrier knows none either.
                self.fails = 0
                self._place = news.leader if news.leader != here and sound(news.leader) else ""
        return False

    def _told(self, news: talk.News) -> None:
        self.boxes = [each for each in news.boxes[:MOST_BOXES] if sound(each)] or self.boxes


def _term(news: talk.News) -> int:
    """The leader's term, in which its register's life is told."""
    term = news.life.rstrip("+")
    return int(term) if term.isdecimal() else 0
