"""Apply the announcement of a target to the targets of its service."""

from dataclasses import dataclass, replace

from ...const import WARM_UP_SECONDS
from ...model.target import Announcement, Target, TargetState
from .commands import AnnounceTarget


@dataclass(frozen=True, slots=True)
class AnnouncementResult:
    """The targets of the service after an announcement, and the announced target.

    ``target`` is None if nothing was registered; ``error`` then is the reason, or empty
    if an unknown target announced that it leaves.
    """

    targets: tuple[Target, ...]
    target: Target | None = None
    error: str = ""


def apply_announcement(
    targets: tuple[Target, ...], command: AnnounceTarget, next_incarnation: int
) -> AnnouncementResult:
    """Register, renew or refuse the announced target.

    A new target gets ``next_incarnation`` and starts warming up.
    """
    announced = command.announcement
    known = find_target_by_session(targets, announced)
    if known is not None:
        return _refresh_target(targets, known, command)
    if command.leaving:
        return AnnouncementResult(targets)
    if error := _find_name_conflict(targets, announced):
        return AnnouncementResult(targets, error=error)
    target = Target(
        announced, next_incarnation, TargetState.READY, command.now + WARM_UP_SECONDS
    )
    remaining = tuple(old for old in targets if not _is_replaced(old, announced))
    return AnnouncementResult((*remaining, target), target)


def find_target_by_session(
    targets: tuple[Target, ...], announced: Announcement
) -> Target | None:
    """Return the target that this agent process announced before, or None."""
    for target in targets:
        announcement = target.announcement
        if (announcement.name, announcement.session) == (
            announced.name,
            announced.session,
        ):
            return target
    return None


def _refresh_target(
    targets: tuple[Target, ...], known: Target, command: AnnounceTarget
) -> AnnouncementResult:
    state = TargetState.LEAVING if command.leaving else TargetState.READY
    renewed = replace(known, announcement=command.announcement, state=state)
    after = tuple(renewed if old is known else old for old in targets)
    return AnnouncementResult(after, renewed)


def _is_replaced(old: Target, announced: Announcement) -> bool:
    # The new process could bind the same address, so the old one has ended.
    return old.announcement.packets == announced.packets


def _find_name_conflict(targets: tuple[Target, ...], announced: Announcement) -> str:
    """Return why the name is not available, or an empty string.

    Two live processes with one name would replace each other with each announcement,
    and all flows would move every time.
    """
    for old in targets:
        if old.name != announced.name or old.state != TargetState.READY:
            continue
        if not _is_replaced(old, announced):
            return f"name {old.name!r} is held by {old.announcement.packets}"
    return ""
