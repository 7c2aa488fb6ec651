"""Drafts: configuration edits that are stored while no majority of controllers is reachable.

A draft is sent to a controller on the operator's side of a partition, stored on disks there, and merged with
the other side's edits when the partition ends. Conflicting fields are shown with both values; the operator
settles or drops them. A draft's file is a JSON object with `Upsert` and `Del`, as for `conf.update`.
"""

import os
from http import HTTPStatus

import msgspec

from lapisgrade.gateway.cli.exit_codes import ExitCode
from lapisgrade.gateway.cli.operator_client import MAX_ATTEMPTS, JsonObject, OperatorClient
from lapisgrade.gateway.errors import InvalidInputError
from lapisgrade.gateway.settings import decode_object

STATE_PHRASES = {
    "kept": "kept, not in force",
    "stands": "merged completely",
    "aside": "merged in part",
    "invalid": "invalid, not merged",
}
"""Descriptions of a draft's states, by `State` in the reply of `conf.drafts`."""

UNRESOLVED_STATES = ("aside", "invalid")
"""States in which an operator has to settle or drop the draft."""


def read_change(text: bytes) -> JsonObject:
    """Return the change in a draft's file.

    Raises:
        InvalidInputError: The file is not a valid draft.
    """
    raw = decode_object(text, "a draft")
    if unknown := sorted(set(raw) - {"Upsert", "Del"}):
        raise InvalidInputError(f"unknown keys: {', '.join(unknown)[:200]}; a draft has only Upsert and Del")
    return raw


def describe_draft(draft: JsonObject) -> list[str]:
    """Return the lines that describe a draft from the reply of `conf.drafts`."""
    title = f"{draft['Id']} by {draft['By']} at {draft['At']} on version {draft['Base']}"
    lines = [f"{title}: {STATE_PHRASES[draft['State']]}"]
    if draft["State"] == "kept":
        lines += [f"  {field}" for field in draft["Fields"]]
    elif draft["Wrong"]:
        lines.append(f"  error: {draft['Wrong']}")
    for conflict in draft.get("Aside", ()):
        current, wanted = (msgspec.json.encode(conflict[key]).decode() for key in ("Has", "Wants"))
        lines.append(f"  {conflict['Field']}: has {current}, wants {wanted}: {conflict['Why']}")
    return lines


def author_name(given: str | None) -> str:
    """Return the author of a draft: the given name, or else the name of the operating system's user."""
    return given or os.environ.get("USER") or "an operator"


class DraftClient(OperatorClient):
    """Sends, lists, settles and drops drafts."""

    async def send(self, text: bytes, author: str) -> ExitCode:
        """Send a draft, to be stored on the disks of the controllers that are reachable from each other.

        Args:
            text: The draft's file.
            author: The name under which the draft is listed.
        """
        change = read_change(text)
        for _ in range(MAX_ATTEMPTS):
            drafts = await self._fetch_drafts()
            body = {**change, "Base": drafts["Newest"], "By": author}
            status_code, reply = await self.call("conf.draft", msgspec.json.encode(body))
            if status_code == HTTPStatus.PRECONDITION_FAILED:
                continue  # a newer version reached the controller between the two calls
            if status_code != HTTPStatus.ACCEPTED:
                self._print_line(f"answered {status_code}: {reply.get('Err', 'the draft was not stored')}")
                return ExitCode.OBJECTION
            self._print_kept(reply)
            return ExitCode.DONE
        return ExitCode.OBJECTION

    def _print_kept(self, reply: JsonObject) -> None:
        """Print the reply to a stored draft, with a warning if there is a single copy."""
        disks = "1 disk" if reply["Disks"] == 1 else f"{reply['Disks']} disks"
        self._print_line(f"draft {reply['Id']} on version {reply['Base']}: kept on {disks}, not in force")
        if reply["Disks"] < 2:
            self._print_line(
                "  warning: no other controller stored a copy: if this disk is lost, so is the draft"
            )

    async def print_drafts(self) -> ExitCode:
        """Print all drafts that the controllers list; return OBJECTION if one is unresolved."""
        drafts = await self._fetch_drafts()
        if not drafts["Leader"]:
            self._print_line("no leader is reachable: drafts that were merged elsewhere are not listed")
        for draft in drafts["Drafts"]:
            for line in describe_draft(draft):
                self._print_line(line)
        has_unresolved = any(draft["State"] in UNRESOLVED_STATES for draft in drafts["Drafts"])
        return ExitCode.OBJECTION if has_unresolved else ExitCode.DONE

    async def settle(self, draft_id: str) -> ExitCode:
        """Apply the conflicting fields of a draft, and close it."""
        return await self._close("conf.settle", draft_id, "its conflicting fields are applied")

    async def drop(self, draft_id: str) -> ExitCode:
        """Discard the conflicting fields of a draft, and close it."""
        return await self._close("conf.close", draft_id, "closed")

    async def _close(self, call: str, draft_id: str, outcome: str) -> ExitCode:
        status_code, reply = await self.call(call, msgspec.json.encode({"Id": draft_id}))
        if status_code != HTTPStatus.OK:
            reason = reply.get("Err", "no majority confirmed it; check with `lapisgrade drafts`")
            self._print_line(f"answered {status_code}: {reason}")
            return ExitCode.OBJECTION
        self._print_line(f"draft {draft_id}: {outcome}")
        return ExitCode.DONE

    async def _fetch_drafts(self) -> JsonObject:
        status_code, drafts = await self.call("conf.drafts")
        if status_code != HTTPStatus.OK:
            raise InvalidInputError("no controller replied")
        return drafts
