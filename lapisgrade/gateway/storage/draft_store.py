"""Drafts on one controller's disk, its own and copies from its peers, until they are in the replicated log.

All drafts are stored in one record of a `LogStore` in the subfolder `drafts`. Every change writes them all as
a new generation: they are few, and the files of the replicated log stay untouched. Nothing is created on disk
before the first draft. Once `add` or `remove` has returned, `drafts` equals the drafts on disk.
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

FOLDER = "drafts"  # subfolder of the data folder, beside the files of the replicated log
MAX_DRAFTS = 64  # at maximum size they take an eighth of a machine's disk

_DRAFTS_DECODER = msgspec.msgpack.Decoder(list[Draft])


class DraftStoreFullError(LapisgradeError):
    """The store is full; no draft can be added until others have been delivered."""


class DraftStore:
    """Stores drafts; await `load` before any other call.

    Attributes:
        drafts: The stored drafts by id.
    """

    def __init__(self, data_folder: str, executor: Executor) -> None:
        """Create the store; `executor` runs its blocking calls, one at a time."""
        self.drafts: dict[str, Draft] = {}
        self._folder = os.path.join(data_folder, FOLDER)
        self._executor = executor
        self._log_store = LogStore(self._folder)
        self._lock = asyncio.Lock()

    async def load(self) -> None:
        """Read the drafts from disk; if they can't be read, start without drafts."""
        loop = asyncio.get_running_loop()
        self.drafts = await loop.run_in_executor(self._executor, self._read)
        if self.drafts:
            log.info("recovered %d undelivered drafts from disk", len(self.drafts))

    async def add(self, draft: Draft) -> None:
        """Store a draft; does nothing if it is already stored.

        Raises:
            DraftStoreFullError: `MAX_DRAFTS` drafts are stored.
            OSError: The draft may not be on disk.
        """
        async with self._lock:
            if draft.id in self.drafts:
                return
            if len(self.drafts) >= MAX_DRAFTS:
                raise DraftStoreFullError(f"{MAX_DRAFTS} drafts, the maximum, are already on this disk")
            await self._write({**self.drafts, draft.id: draft})

    async def remove(self, draft_id: str) -> None:
        """Remove a draft if it is stored.

        Raises:
            OSError: The draft may still be on disk.
        """
        async with self._lock:
            if draft_id in self.drafts:
                remaining = {
                    stored_id: draft for stored_id, draft in self.drafts.items() if stored_id != draft_id
                }
                await self._write(remaining)

    def close(self) -> None:
        """Close the data file."""
        self._log_store.close()

    async def _write(self, drafts: dict[str, Draft]) -> None:
        """Replace the drafts on disk; `self.drafts` changes only once they are synced."""
        data = msgspec.msgpack.encode(list(drafts.values()))
        await asyncio.get_running_loop().run_in_executor(self._executor, self._write_generation, data)
        self.drafts = drafts

    def _write_generation(self, data: bytes) -> None:
        os.makedirs(self._folder, exist_ok=True)
        self._log_store.start_generation(data)

    def _read(self) -> dict[str, Draft]:
        try:
            return _read_drafts(self._folder, self._log_store)
        except (CorruptLogError, OSError, msgspec.MsgspecError) as error:
            log.warning("cannot read the drafts in %s, starting without them: %s", self._folder, error)
            return {}


def read_drafts(data_folder: str) -> dict[str, Draft]:
    """Return the drafts on the disk of a stopped controller, by id.

    Raises:
        InvalidInputError: The drafts can't be read.
    """
    folder = os.path.join(data_folder, FOLDER)
    try:
        return _read_drafts(folder, LogStore(folder))
    except (CorruptLogError, OSError, msgspec.MsgspecError) as error:
        raise InvalidInputError(f"{folder}: {error}") from None


def _read_drafts(folder: str, log_store: LogStore) -> dict[str, Draft]:
    """Return the drafts in a folder by id; raises CorruptLogError, OSError or MsgspecError."""
    records = log_store.recover() if os.path.isdir(folder) else []
    if not records:
        return {}
    return {draft.id: draft for draft in _DRAFTS_DECODER.decode(records[0])}
