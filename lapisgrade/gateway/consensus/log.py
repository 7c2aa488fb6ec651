"""The replicated log of one node in memory: a snapshot, and the entries after it."""

from lapisgrade.gateway.consensus.messages import Entry


class ReplicatedLog:
    """`snapshot_index` is the index of the last entry that the snapshot `snapshot_state` covers."""

    def __init__(self, voters: dict[str, str]) -> None:
        self.snapshot_index, self.snapshot_term, self.snapshot_state = 0, 0, b""
        self.snapshot_voters = voters
        self.entries: list[Entry] = []
        self._changes: list[Entry] = []  # those of `entries` that change the voters

    @property
    def last_index(self) -> int:
        return self.snapshot_index + len(self.entries)

    @property
    def last_term(self) -> int:
        return self.entries[-1].term if self.entries else self.snapshot_term

    @property
    def voters(self) -> dict[str, str]:
        """In force from the moment that they are in the log, committed or not."""
        return self._changes[-1].voters if self._changes else self.snapshot_voters

    @property
    def size(self) -> int:
        """Bytes of data in the entries."""
        return sum(len(each.data) for each in self.entries)

    def changes_voters_after(self, index: int) -> bool:
        return bool(self._changes) and self._changes[-1].index > index

    def term_at(self, index: int) -> int:
        """-1 where the entry isn't held any more, or not yet."""
        if index == self.snapshot_index:
            return self.snapshot_term
        at = index - self.snapshot_index - 1
        return self.entries[at].term if 0 <= at < len(self.entries) else -1

    def after(self, index: int) -> list[Entry]:
        return self.entries[max(0, index - self.snapshot_index) :]

    def between(self, index: int, upto: int) -> list[Entry]:
        """The entries after `index` up to and with `upto`."""
        return self.entries[max(0, index - self.snapshot_index) : upto - self.snapshot_index]

    def append(self, entries: list[Entry]) -> None:
        """Add entries; those held at the same index and after are dropped, those the snapshot covers passed
        over."""
        fresh = [each for each in entries if each.index > self.snapshot_index]
        if not fresh:
            return
        self.truncate(fresh[0].index - 1)
        self.entries += fresh
        self._changes += [each for each in fresh if each.voters is not None]

    def truncate(self, last: int) -> None:
        """Drop every entry after `last`."""
        del self.entries[max(0, last - self.snapshot_index) :]
        while self._changes and self._changes[-1].index > last:
            self._changes.pop()

    def compact(self, index: int, state: bytes) -> None:
        """Let a snapshot take the place of the entries up to `index`."""
        term = self.term_at(index)
        for entry in self.between(self.snapshot_index, index):
            if entry.voters is not None:
                self.snapshot_voters = entry.voters
        del self.entries[: index - self.snapshot_index]
        self._changes = [each for each in self._changes if each.index > index]
        self.snapshot_index, self.snapshot_term, self.snapshot_state = index, term, state

    def install(self, index: int, term: int, voters: dict[str, str], state: bytes) -> None:
        """Take another node's snapshot; entries after it stay where they agree with it."""
        kept = self.after(index) if self.term_at(index) == term else []
        self.snapshot_index, self.snapshot_term, self.snapshot_voters, self.snapshot_state = (
            index,
            term,
            voters,
            state,
        )
        self.entries = kept
        self._changes = [each for each in kept if each.voters is not None]
