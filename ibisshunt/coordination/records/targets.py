"""Decide what an announcement makes of the targets of one service."""

from dataclasses import dataclass, replace

from ...const import WARM_UP_SECONDS
from ...model.target import Announcement, Target, TargetState
from .commands import AnnounceTarget


@dataclass(frozen=True, slots=True)
class Admission:
    """Hold the targets of the service afterwards, and the one that announced.

    ``target`` is None when nothing was admitted; ``error`` then tells why, and is
    empty when a target that nobody knew says that it leaves.
    """

    targets: tuple[Target, ...]
    target: Target | None = None
    error: str = ""


def admit(
    targets: tuple[Target, ...], command: AnnounceTarget, next_incarnation: int
) -> Admission:
    """Decide on one announcement."""
    announced = command.announcement
    known = find_session(targets, announced)
    if known is not None:
        return _renew(targets, known, command)
    if command.leaving:
        return Admission(targets)
    if error := _find_rival(targets, announced):
        return Admission(targets, error=error)
    target = Target(
        announced, next_incarnation, TargetState.READY, command.now + WARM_UP_SECONDS
    )
    kept = tuple(old for old in targets if not _is_replaced(old, announced))
    return Admission((*kept, target), target)


def find_session(targets: tuple[Target, ...], announced: Announcement) -> Target | None:
    """Return the incarnation that this process announced before, or None."""
    for target in targets:
        found = target.announcement
        if (found.name, found.session) == (announced.name, announced.session):
            return target
    return None


def _renew(
    targets: tuple[Target, ...], known: Target, command: AnnounceTarget
) -> Admission:
    state = TargetState.LEAVING if command.leaving else TargetState.READY
    renewed = replace(known, announcement=command.announcement, state=state)
    after = tuple(renewed if old is known else old for old in targets)
    return Admission(after, renewed)


def _is_replaced(old: Target, announced: Announcement) -> bool:
    # The new process has bound the old one's address, so the old one has ended.
    return old.announcement.packets == announced.packets


def _find_rival(targets: tuple[Target, ...], announced: Announcement) -> str:
    """Return why the name is not free, or an empty text.

    Two live processes under one name would replace each other at each announcement,
    and every flow would move with them.
    """
    for old in targets:
        if old.name != announced.name or old.state != TargetState.READY:
            continue
        if not _is_replaced(old, announced):
            return f"name {old.name!r} is held by {old.announcement.packets}"
    return ""
