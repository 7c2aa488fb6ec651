"""Drafts that one controller keeps on its disk, its own and copies of its neighbours', until the log has
them.

All of them are one record, written anew as a generation of its own at each change (`log store.py`): they are
few, and the log's own file is never touched for them. Nothing is made on disk before the first one comes."""

import asyncio
import logging
import os
from concurrent.futures import Executor

import msgspec

from lapisgrade.gateway.errors import InvalidInputError
from lapisgrade.gateway.storage.log_store import Damaged, LogStore
from lapisgrade.gateway.merge.three_way import Draft

log = logging.getLogger("controller")

FOLDER = "drafts"  # beside the log's own files
MOST = 64  # drafts kept here; with their most bytes each an eighth of a machine's disk

_KEPT = msgspec.msgpack.Decoder(list[Draft])


class Full(Exception):
    """No more are kept here until some could be merged."""


class DraftStore:
    """`kept` is what is on disk, by id."""

    def __init__(self, folder: str, disk: Executor) -> None:
        self._folder, self._disk = os.path.join(folder, FOLDER), disk
        self._depot = LogStore(self._folder)
        self._turn = asyncio.Lock()
        self.kept: dict[str, Draft] = {}

    async def recover(self) -> None:
        """What an earlier life kept."""
        loop = asyncio.get_running_loop()
        self.kept = await loop.run_in_executor(self._disk, self._read)
        if self.kept:
            log.info("%d drafts are kept here", len(self.kept))

    async def keep(self, draft: Draft) -> None:
        """On disk when this returns; OSError where it may not be, Full where there are too many."""
        async with self._turn:
            if draft.id in self.kept:
                return
            if len(self.kept) >= MOST:
                raise Full(f"{MOST} drafts are kept here already")
            await self._write({**self.kept, draft.id: draft})

    async def drop(self, name: str) -> None:
        """The log has it, or refused it; OSError where the disk does."""
        async with self._turn:
            if name in self.kept:
                await self._write({each: draft for each, draft in self.kept.items() if each != name})

    def close(self) -> None:
        self._depot.close()

    async def _write(self, kept: dict[str, Draft]) -> None:
        data = msgspec.msgpack.encode(list(kept.values()))
        await asyncio.get_running_loop().run_in_executor(self._disk, self._renew, data)
        self.kept = kept

    def _renew(self, data: bytes) -> None:
        os.makedirs(self._folder, exist_ok=True)
        self._depot.renew(data)

    def _read(self) -> dict[str, Draft]:
        try:
            return recovered(self._folder, self._depot)
        except (Damaged, OSError, msgspec.MsgspecError) as wrong:
            log.warning("drafts on the disk can't be read: %s", wrong)
            return {}


def recovered(folder: str, log_store: LogStore) -> dict[str, Draft]:
    """What is kept in that folder, by id; Damaged, OSError, MsgspecError."""
    records = log_store.recover() if os.path.isdir(folder) else []
    return {draft.id: draft for draft in _KEPT.decode(records[0])} if records else {}


def read_kept(datadir: str) -> dict[str, Draft]:
    """The drafts on a controller's disk, while it is down; InvalidInputError where they can't be read."""
    folder = os.path.join(datadir, FOLDER)
    try:
        return recovered(folder, LogStore(folder))
    except (Damaged, OSError, msgspec.MsgspecError) as wrong:
        raise InvalidInputError(f"{folder}: {wrong}") from None
