"""The replicated log of one node in memory: a snapshot, and the entries after it (thesis, 3.5 and 5.1)."""

from lapisgrade.gateway.consensus.messages import Entry

NO_TERM = -1
"""Returned as the term of an entry that isn't in the log."""


class ReplicatedLog:
    """A snapshot up to `snapshot_index`, and the contiguous `entries` after it."""

    def __init__(self, voters: dict[str, str]) -> None:
        """Create an empty log.

        Args:
            voters: the initial voters, identity to address.
        """
        self.snapshot_index = 0
        self.snapshot_term = 0
        self.snapshot_voters = voters
        self.snapshot_state = b""
        self.entries: list[Entry] = []
        self._voter_changes: list[Entry] = []  # the subset of `entries` that changes the voters
        self.data_bytes = 0  # total size of the data in `entries`

    @property
    def last_index(self) -> int:
        """The index of the newest entry, 0 in an empty log."""
        return self.snapshot_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """The term of the newest entry, 0 in an empty log."""
        return self.entries[-1].term if self.entries else self.snapshot_term

    @property
    def voters(self) -> dict[str, str]:
        """The newest voters; they take effect once in the log, committed or not (thesis, 4.1)."""
        newest = self._voter_changes[-1].voters if self._voter_changes else None
        return self.snapshot_voters if newest is None else newest

    def has_voter_change_after(self, index: int) -> bool:
        """Whether an entry after `index` changes the voters."""
        return bool(self._voter_changes) and self._voter_changes[-1].index > index

    def term_at(self, index: int) -> int:
        """The term of the entry at `index`; NO_TERM if it is missing or was replaced by a snapshot."""
        if index == self.snapshot_index:
            return self.snapshot_term
        position = index - self.snapshot_index - 1
        return self.entries[position].term if 0 <= position < len(self.entries) else NO_TERM

    def entries_after(self, index: int) -> list[Entry]:
        """The entries after `index`."""
        return self.entries[max(0, index - self.snapshot_index) :]

    def entries_between(self, index: int, last: int) -> list[Entry]:
        """The entries after `index`, up to and including `last`."""
        return self.entries[max(0, index - self.snapshot_index) : last - self.snapshot_index]

    def append(self, entries: list[Entry]) -> None:
        """Append entries, replacing all from the first one's index on; skip those covered by the snapshot."""
        uncovered = [entry for entry in entries if entry.index > self.snapshot_index]
        if not uncovered:
            return
        self.truncate(uncovered[0].index - 1)
        self.entries += uncovered
        self.data_bytes += _data_bytes(uncovered)
        self._voter_changes += [entry for entry in uncovered if entry.voters is not None]

    def truncate(self, last: int) -> None:
        """Remove all entries after `last`."""
        kept_count = max(0, last - self.snapshot_index)
        self.data_bytes -= _data_bytes(self.entries[kept_count:])
        del self.entries[kept_count:]
        while self._voter_changes and self._voter_changes[-1].index > last:
            self._voter_changes.pop()

    def compact(self, index: int, state: bytes) -> None:
        """Replace the entries up to `index` by a snapshot: `state`, the state machine's state after them."""
        term = self.term_at(index)
        covered = self.entries_between(self.snapshot_index, index)
        for entry in covered:
            if entry.voters is not None:
                self.snapshot_voters = entry.voters
        self.data_bytes -= _data_bytes(covered)
        del self.entries[: index - self.snapshot_index]
        self._voter_changes = [change for change in self._voter_changes if change.index > index]
        self.snapshot_index = index
        self.snapshot_term = term
        self.snapshot_state = state

    def install(self, index: int, term: int, voters: dict[str, str], state: bytes) -> None:
        """Install another node's snapshot; keep the entries after it if the log matches it at `index`."""
        following = self.entries_after(index) if self.term_at(index) == term else []
        self.snapshot_index = index
        self.snapshot_term = term
        self.snapshot_voters = voters
        self.snapshot_state = state
        self.entries = following
        self.data_bytes = _data_bytes(following)
        self._voter_changes = [entry for entry in following if entry.voters is not None]


def _data_bytes(entries: list[Entry]) -> int:
    return sum(len(entry.data) for entry in entries)
