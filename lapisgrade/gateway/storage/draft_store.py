"""The drafts on one controller's disk, its own and copies of its peers', until the log has them.

All of them are one record of a `LogStore` in the subfolder `drafts`, which every change writes anew as the
next generation: they are few, and the log's own files are never touched for them. Nothing is made on disk
before the first draft comes. When `add` or `remove` has returned, the drafts on disk are those of `drafts`.
"""

import asyncio
import logging
import os
from concurrent.futures import Executor

import msgspec

from lapisgrade.errors import LapisgradeError
from lapisgrade.gateway.errors import InvalidInputError
from lapisgrade.gateway.merge.three_way import Draft
from lapisgrade.gateway.storage.log_store import CorruptLogError, LogStore

log = logging.getLogger("controller")

FOLDER = "drafts"  # in the data folder, beside the log's own files
MAX_DRAFTS = 64  # at their largest an eighth of a machine's disk

_DRAFTS_DECODER = msgspec.msgpack.Decoder(list[Draft])


class DraftStoreFullError(LapisgradeError):
    """No draft can be added until some were merged."""


class DraftStore:
    """Drafts by id in `drafts`; await `load` before anything else."""

    def __init__(self, data_folder: str, executor: Executor) -> None:
        """`executor` makes the blocking calls, one at a time."""
        self.drafts: dict[str, Draft] = {}
        self._folder = os.path.join(data_folder, FOLDER)
        self._executor = executor
        self._log_store = LogStore(self._folder)
        self._lock = asyncio.Lock()

    async def load(self) -> None:
        """Read what is on disk; what can't be read counts as nothing."""
        loop = asyncio.get_running_loop()
        self.drafts = await loop.run_in_executor(self._executor, self._read)
        if self.drafts:
            log.info("%d drafts are on this disk", len(self.drafts))

    async def add(self, draft: Draft) -> None:
        """Write a draft, unless it is there.

        Raises:
            DraftStoreFullError: There are `MAX_DRAFTS` already.
            OSError: It may not be on disk.
        """
        async with self._lock:
            if draft.id in self.drafts:
                return
            if len(self.drafts) >= MAX_DRAFTS:
                raise DraftStoreFullError(f"{MAX_DRAFTS} drafts are on this disk already")
            await self._write({**self.drafts, draft.id: draft})

    async def remove(self, draft_id: str) -> None:
        """Remove a draft, if it is there; OSError where it may still be on disk."""
        async with self._lock:
            if draft_id in self.drafts:
                remaining = {each: draft for each, draft in self.drafts.items() if each != draft_id}
                await self._write(remaining)

    def close(self) -> None:
        """Close the file."""
        self._log_store.close()

    async def _write(self, drafts: dict[str, Draft]) -> None:
        data = msgspec.msgpack.encode(list(drafts.values()))
        await asyncio.get_running_loop().run_in_executor(self._executor, self._renew, data)
        self.drafts = drafts

    def _renew(self, data: bytes) -> None:
        os.makedirs(self._folder, exist_ok=True)
        self._log_store.start_generation(data)

    def _read(self) -> dict[str, Draft]:
        try:
            return _read_drafts(self._folder, self._log_store)
        except (CorruptLogError, OSError, msgspec.MsgspecError) as error:
            log.warning("drafts on the disk can't be read: %s", error)
            return {}


def read_drafts(data_folder: str) -> dict[str, Draft]:
    """Return the drafts on a controller's disk by id, while it is down.

    Raises:
        InvalidInputError: They can't be read.
    """
    folder = os.path.join(data_folder, FOLDER)
    try:
        return _read_drafts(folder, LogStore(folder))
    except (CorruptLogError, OSError, msgspec.MsgspecError) as error:
        raise InvalidInputError(f"{folder}: {error}") from None


def _read_drafts(folder: str, log_store: LogStore) -> dict[str, Draft]:
    """Return the drafts in that folder; raises CorruptLogError, OSError or MsgspecError."""
    records = log_store.recover() if os.path.isdir(folder) else []
    if not records:
        return {}
    return {draft.id: draft for draft in _DRAFTS_DECODER.decode(records[0])}
