"""Apply the commands of the log to the records, the same way on every host."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import replace
from types import MappingProxyType

from ...model.configuration import Configuration, ServiceSlice
from ...model.record import Business, Drain, Evacuation, RecordKind, Service
from ...model.target import Target, TargetState
from .allowances import Charge, charge
from .answers import MAX_KEPT_ADMIN, AnswerBook, count_kept
from .changes import ADMIN_KINDS, change_record, find_denial
from .commands import (
    AnnounceTarget,
    ChangeOutcome,
    ChangeRecords,
    ChangeResult,
    ChangeTargets,
    Command,
    RecordChange,
    TargetChange,
    TargetOutcome,
)
from .draft import Draft, RecordKey, StoredRecord
from .history import History
from .targets import Admission, admit

ServiceKey = tuple[str, str]


class RecordStore:
    """Hold the records, the targets and the configuration that follows from them.

    ``revision`` is the position in the log that last changed any of them.
    """

    def __init__(self) -> None:
        self.draft = Draft()
        self.targets: dict[ServiceKey, tuple[Target, ...]] = {}
        self.next_incarnation = 1
        self.slices: dict[int, ServiceSlice] = {}
        self.revision = 0
        self.deadlines: Mapping[str, float] = {}
        self.answers = AnswerBook()
        self.history = History()

    @property
    def configuration(self) -> Configuration:
        """Return the configuration; it never changes afterwards."""
        return Configuration(self.revision, MappingProxyType(dict(self.slices)))

    def list_records(self, business: str = "") -> tuple[StoredRecord, ...]:
        """Return the records of one business, or all, ordered by their keys."""
        keys = sorted(key for key in self.draft.records if business in ("", key[1]))
        return tuple(self.draft.records[key] for key in keys)

    def list_targets(self) -> tuple[Target, ...]:
        """Return all targets; their state leaves drains out."""
        return tuple(target for found in self.targets.values() for target in found)

    def apply(self, index: int, command: Command) -> ChangeOutcome | TargetOutcome:
        """Apply the command at this position of the log and return its outcome."""
        if isinstance(command, ChangeRecords):
            return self._change_records(index, command)
        if isinstance(command, AnnounceTarget):
            return self._announce(index, command)
        return self._change_targets(index, command)

    def precheck(self, command: ChangeRecords) -> ChangeOutcome | None:
        """Return an answer that needs no place in the log, or None.

        A resend, a stranger or a business over its limit costs no write: else they
        could fill the log that all businesses share.
        """
        if answer := self.answers.find(command):
            return answer
        if denials := self._find_denials(command):
            return ChangeOutcome(denials, self.revision)
        charged = self._charge(command)
        return self._refuse_all(command, charged.error) if charged.error else None

    def _change_records(self, index: int, command: ChangeRecords) -> ChangeOutcome:
        # Checked again here: what the leader saw before it proposed may be outdated.
        if answer := self.precheck(command):
            return answer
        limit, actor = self._count_answers(command), self._name_actor(command)
        self.deadlines = self._charge(command).deadlines
        outcome = self._try_changes(index, command, actor)
        self.answers.remember(command, outcome, limit)
        return outcome

    def _try_changes(
        self, index: int, command: ChangeRecords, actor: str
    ) -> ChangeOutcome:
        draft = self.draft.copy()
        domains = {target.failure_domain for target in self.list_targets()}
        doubles = _find_doubles(command.changes)
        results = tuple(
            change_record(draft, change, index, self._count_targets, domains)
            if position not in doubles
            else ChangeResult(change.name, 0, "stands twice in one request")
            for position, change in enumerate(command.changes)
        )
        if any(result.error for result in results):
            return ChangeOutcome(_mark_undone(results), self.revision)
        touched = self._find_touched(draft, command.changes)
        self.history.note(command, actor, index, self.draft, draft)
        changed = draft.records != self.draft.records
        for token_hash in self.draft.holders.keys() - draft.holders.keys():
            self.answers.forget(token_hash)
        self.draft = draft
        if changed:
            self._rebuild(index, touched)
        return ChangeOutcome(results, self.revision)

    def _find_denials(self, command: ChangeRecords) -> tuple[ChangeResult, ...]:
        denials = tuple(
            ChangeResult(change.name, 0, find_denial(self.draft, command, change))
            for change in command.changes
        )
        if not any(denial.error for denial in denials):
            return ()
        return _mark_undone(denials)

    def _charge(self, command: ChangeRecords) -> Charge:
        charged = Charge(self.deadlines)
        # Whoever holds the administrator's token must get through in an emergency.
        if command.admin and command.token_hash:
            return charged
        counts = Counter(
            change.business
            for change in command.changes
            if change.kind not in ADMIN_KINDS
        )
        for business, count in sorted(counts.items()):
            rate = self._find_rate(business)
            if rate and not charged.error:
                charged = charge(charged.deadlines, business, count, rate, command.now)
        return charged

    def _find_rate(self, business: str) -> int:
        record = self.draft.find(RecordKind.BUSINESS, business, business)
        body = record.body if record else None
        return body.changes_per_minute if isinstance(body, Business) else 0

    def _count_answers(self, command: ChangeRecords) -> int:
        grant = self.draft.find_grant(command.token_hash)
        if command.admin or grant is None:
            return MAX_KEPT_ADMIN
        return count_kept(self._find_rate(grant.business))

    def _name_actor(self, command: ChangeRecords) -> str:
        grant = self.draft.find_grant(command.token_hash)
        return f"grant {grant.name}" if grant and not command.admin else "admin"

    def _refuse_all(self, command: ChangeRecords, error: str) -> ChangeOutcome:
        results = tuple(
            ChangeResult(change.name, 0, error) for change in command.changes
        )
        return ChangeOutcome(results, self.revision)

    def _count_targets(self, business: str, service: str) -> int:
        targets = self.targets.get((business, service), ())
        return sum(1 for target in targets if target.state != TargetState.GONE)

    def _find_touched(
        self, draft: Draft, changes: tuple[RecordChange, ...]
    ) -> Mapping[ServiceKey, int]:
        """Return the number of each service that the changes touch, by its key."""
        touched: dict[ServiceKey, int] = {}
        for change in changes:
            for records in (self.draft, draft):
                found = records.find(change.kind, change.business, change.name)
                body = found.body if found else None
                if isinstance(body, Evacuation):
                    touched |= self._find_services_in(records, body.name)
                    continue
                name = body.service if isinstance(body, Drain) else change.name
                service = records.find_service(change.business, name)
                if isinstance(body, Service | Drain) and service:
                    touched[change.business, name] = service.number
        return touched

    def _find_services_in(
        self, records: Draft, domain: str
    ) -> Mapping[ServiceKey, int]:
        """Return the number of each service with targets in a failure domain."""
        found: dict[ServiceKey, int] = {}
        for key, targets in self.targets.items():
            service = records.find_service(*key)
            if service and any(target.failure_domain == domain for target in targets):
                found[key] = service.number
        return found

    def list_evacuated(self) -> frozenset[str]:
        """Return the failure domains whose targets get no new work."""
        return frozenset(
            key[2] for key in self.draft.records if key[0] == RecordKind.EVACUATION
        )

    def precheck_announcement(self, command: AnnounceTarget) -> TargetOutcome | None:
        """Return the outcome of an announcement that admits nothing, or None.

        An agent whose service does not exist yet announces every two seconds; each
        time a write would fill the log with nothing.
        """
        admission = self._admit(command)
        return None if admission.target else TargetOutcome(0, admission.error)

    def _admit(self, command: AnnounceTarget) -> Admission:
        announced = command.announcement
        key = (announced.business, announced.service)
        if self.draft.find_service(*key) is None:
            return Admission((), error=f"service {key[0]}/{key[1]} does not exist")
        return admit(self.targets.get(key, ()), command, self.next_incarnation)

    def _announce(self, index: int, command: AnnounceTarget) -> TargetOutcome:
        announced = command.announcement
        key = (announced.business, announced.service)
        service, before = self.draft.find_service(*key), self.targets.get(key, ())
        admission = self._admit(command)
        target = admission.target
        if target is None or service is None:
            return TargetOutcome(0, admission.error)
        self.next_incarnation = max(self.next_incarnation, target.incarnation + 1)
        if admission.targets != before:
            self.targets[key] = admission.targets
            self._rebuild(index, {key: service.number})
        return TargetOutcome(target.incarnation)

    def _change_targets(self, index: int, command: ChangeTargets) -> TargetOutcome:
        touched: dict[ServiceKey, int] = {}
        for change in command.changes:
            key = (change.business, change.service)
            before = self.targets.get(key, ())
            after = _change_target(before, change)
            service = self.draft.find_service(*key)
            if after == before or service is None:
                continue
            self.targets[key] = after
            touched[key] = service.number
        if touched:
            self._rebuild(index, touched)
        return TargetOutcome(0)

    def _rebuild(self, index: int, touched: Mapping[ServiceKey, int]) -> None:
        """Renew the slices of these services only; the others stay as they are."""
        self.revision = index
        drained = self._find_drained() if touched else frozenset()
        evacuated = self.list_evacuated()
        for key, number in touched.items():
            service = self.draft.find_service(*key)
            if service is None:
                self.slices.pop(number, None)
                self.targets.pop(key, None)
                continue
            shown = tuple(
                _show(
                    target,
                    (*key, target.name) in drained
                    or target.failure_domain in evacuated,
                )
                for target in self.targets.get(key, ())
            )
            left = _find_left(self.slices.get(number), shown, index)
            self.slices[number] = ServiceSlice(service, shown, index, left)

    def _find_drained(self) -> frozenset[tuple[str, str, str]]:
        return frozenset(
            (body.business, body.service, body.target)
            for key, stored in self.draft.records.items()
            if key[0] == RecordKind.DRAIN
            and isinstance(body := stored.record.body, Drain)
        )


def _find_left(
    before: ServiceSlice | None, targets: tuple[Target, ...], index: int
) -> int:
    """Return the position at which an agent's process last ended."""
    if before is None:
        return 0
    present = {_identify(target) for target in targets}
    if any(_identify(target) not in present for target in before.targets):
        return index
    return before.left_revision


def _identify(target: Target) -> tuple[int, str]:
    return target.incarnation, target.announcement.agent_session


def _find_doubles(changes: tuple[RecordChange, ...]) -> frozenset[int]:
    """Return the positions of changes whose record stands earlier in the request."""
    seen: set[RecordKey] = set()
    doubles: set[int] = set()
    for position, change in enumerate(changes):
        key = (change.kind, change.business, change.name)
        if key in seen:
            doubles.add(position)
        seen.add(key)
    return frozenset(doubles)


def _change_target(
    targets: tuple[Target, ...], change: TargetChange
) -> tuple[Target, ...]:
    # A decision about an incarnation that was replaced meanwhile finds nothing here.
    if change.state is None:
        return tuple(
            target for target in targets if target.incarnation != change.incarnation
        )
    return tuple(
        replace(target, state=change.state)
        if target.incarnation == change.incarnation
        else target
        for target in targets
    )


def _show(target: Target, drained: bool) -> Target:
    """Return the target as nodes see it: a drained one takes no new work."""
    if drained and target.state == TargetState.READY:
        return replace(target, state=TargetState.LEAVING)
    return target


def _mark_undone(results: tuple[ChangeResult, ...]) -> tuple[ChangeResult, ...]:
    refused = sum(1 for result in results if result.error)
    reason = f"not applied: {refused} of {len(results)} records were refused"
    return tuple(
        result if result.error else replace(result, revision=0, error=reason)
        for result in results
    )
