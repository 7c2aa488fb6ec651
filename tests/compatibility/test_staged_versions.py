"""Logs of earlier releases in which staged versions are dropped give the same state in this one."""

from hashlib import blake2b

import msgspec

from lapisgrade.gateway.controller.commands import (
    Activate,
    ConfigurationChange,
    LiveProxies,
    MergeDraft,
    encode_command,
)
from lapisgrade.gateway.controller.state import MAX_STAGED_VERSIONS
from lapisgrade.gateway.controller.state_machine import StateMachine
from lapisgrade.gateway.merge.three_way import make_draft
from lapisgrade.lab.explore.activation import encode_configuration

# Digest of the snapshots that the release before `staging_rate` (commit 98ec795) makes after each entry.
SNAPSHOTS_DIGEST = "c0a3aeb65654aa23450f44cf56ef2d30"


def log_entries() -> list[bytes]:
    """Return commands that stage more versions than are kept, and activate kept and dropped ones."""
    changes = [ConfigurationChange(True, encode_configuration(each, each - 1, each)) for each in range(1, 25)]
    current = msgspec.json.decode(changes[-1].body)
    drafts = [
        make_draft(current, {"Upsert": {"Pools": [{"Name": f"p{each}"}]}}, "a", "c") for each in range(10)
    ]
    members = LiveProxies({"p1": ("10.0.0.1:1", "1", "z")})
    commands = [members, *changes[:12], Activate(2), Activate(7), *changes[12:], Activate(20)]
    commands += [*map(MergeDraft, drafts), Activate(23), Activate(30)]
    return [encode_command(command) for command in commands]


def test_a_log_with_dropped_versions_gives_the_same_snapshots() -> None:
    """Guards against controllers of two releases that apply the same log to different states."""
    state_machine = StateMachine()
    snapshots = blake2b(digest_size=16)
    staged_counts = []
    for index, data in enumerate(log_entries(), 1):
        state_machine.apply(index, data)
        snapshots.update(state_machine.dump())
        staged_counts.append(len(state_machine.state.staged_versions))
    assert max(staged_counts) == MAX_STAGED_VERSIONS
    assert state_machine.state.active_version == 30
    assert snapshots.hexdigest() == SNAPSHOTS_DIGEST
