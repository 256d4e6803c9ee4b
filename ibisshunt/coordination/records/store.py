"""State machine of the records: applies the commands of the replicated log."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import replace
from types import MappingProxyType

from ...model.configuration import Configuration, ServiceSlice
from ...model.record import Business, Drain, Evacuation, RecordKind, Service
from ...model.target import Target, TargetState
from .changes import ADMIN_ONLY_KINDS, apply_change, find_denial
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
from .history import History
from .idempotency import MAX_ADMIN_OUTCOMES, OutcomeCache, get_outcome_limit
from .rate_limit import RateLimitResult, consume_changes
from .record_set import RecordKey, RecordSet, StoredRecord
from .targets import AnnouncementResult, apply_announcement

ServiceKey = tuple[str, str]


class RecordStore:
    """Records, targets and the configuration that is derived from them.

    Applying the same commands gives the same state on every host. ``revision`` is the
    log index of the last command that changed any of them.
    """

    def __init__(self) -> None:
        self.record_set = RecordSet()
        self.targets: dict[ServiceKey, tuple[Target, ...]] = {}
        self.next_incarnation = 1
        self.slices: dict[int, ServiceSlice] = {}
        self.revision = 0
        self.rate_limit_full_at: Mapping[str, float] = {}
        self.outcome_cache = OutcomeCache()
        self.history = History()

    @property
    def configuration(self) -> Configuration:
        """Return an immutable snapshot of the configuration."""
        return Configuration(self.revision, MappingProxyType(dict(self.slices)))

    def list_records(self, business: str = "") -> tuple[StoredRecord, ...]:
        """Return the records of one business, or all, ordered by key."""
        keys = sorted(
            key for key in self.record_set.records if business in ("", key[1])
        )
        return tuple(self.record_set.records[key] for key in keys)

    def list_targets(self) -> tuple[Target, ...]:
        """Return all targets; their states do not reflect drains and evacuations."""
        return tuple(target for targets in self.targets.values() for target in targets)

    def apply(self, index: int, command: Command) -> ChangeOutcome | TargetOutcome:
        """Apply the command at this log index and return its outcome."""
        if isinstance(command, ChangeRecords):
            return self._change_records(index, command)
        if isinstance(command, AnnounceTarget):
            return self._apply_announcement(index, command)
        return self._change_targets(index, command)

    def precheck(self, command: ChangeRecords) -> ChangeOutcome | None:
        """Return an outcome that needs no log entry, or None.

        Retries, unauthorized requests and requests over the rate limit must not cause
        writes, or they could fill the log that all businesses share.
        """
        if cached := self.outcome_cache.find(command):
            return cached
        if denials := self._find_denials(command):
            return ChangeOutcome(denials, self.revision)
        rate_limit = self._check_rate_limit(command)
        return (
            self._refuse_changes(command, rate_limit.error)
            if rate_limit.error
            else None
        )

    def _change_records(self, index: int, command: ChangeRecords) -> ChangeOutcome:
        # Check again: the leader's check before proposing may be outdated.
        if outcome := self.precheck(command):
            return outcome
        limit, actor = self._get_outcome_limit(command), self._get_actor(command)
        self.rate_limit_full_at = self._check_rate_limit(command).full_at_by_business
        outcome = self._apply_changes(index, command, actor)
        self.outcome_cache.add(command, outcome, limit)
        return outcome

    def _apply_changes(
        self, index: int, command: ChangeRecords, actor: str
    ) -> ChangeOutcome:
        new_set = self.record_set.copy()
        domains = {target.failure_domain for target in self.list_targets()}
        duplicates = _find_duplicates(command.changes)
        results = tuple(
            apply_change(new_set, change, index, self._count_targets, domains)
            if position not in duplicates
            else ChangeResult(change.name, 0, "stands twice in one request")
            for position, change in enumerate(command.changes)
        )
        if any(result.error for result in results):
            return ChangeOutcome(_mark_not_applied(results), self.revision)
        affected = self._find_affected_services(new_set, command.changes)
        self.history.add_changes(command, actor, index, self.record_set, new_set)
        is_changed = new_set.records != self.record_set.records
        for token_hash in (
            self.record_set.keys_by_token_hash.keys()
            - new_set.keys_by_token_hash.keys()
        ):
            self.outcome_cache.remove_token(token_hash)
        self.record_set = new_set
        if is_changed:
            self._rebuild_slices(index, affected)
        return ChangeOutcome(results, self.revision)

    def _find_denials(self, command: ChangeRecords) -> tuple[ChangeResult, ...]:
        denials = tuple(
            ChangeResult(change.name, 0, find_denial(self.record_set, command, change))
            for change in command.changes
        )
        if not any(denial.error for denial in denials):
            return ()
        return _mark_not_applied(denials)

    def _check_rate_limit(self, command: ChangeRecords) -> RateLimitResult:
        result = RateLimitResult(self.rate_limit_full_at)
        # The administrator must get through in an emergency.
        if command.admin and command.token_hash:
            return result
        counts = Counter(
            change.business
            for change in command.changes
            if change.kind not in ADMIN_ONLY_KINDS
        )
        for business, count in sorted(counts.items()):
            rate = self._get_changes_per_minute(business)
            if rate and not result.error:
                result = consume_changes(
                    result.full_at_by_business, business, count, rate, command.now
                )
        return result

    def _get_changes_per_minute(self, business: str) -> int:
        record = self.record_set.find(RecordKind.BUSINESS, business, business)
        body = record.body if record else None
        return body.changes_per_minute if isinstance(body, Business) else 0

    def _get_outcome_limit(self, command: ChangeRecords) -> int:
        grant = self.record_set.find_grant(command.token_hash)
        if command.admin or grant is None:
            return MAX_ADMIN_OUTCOMES
        return get_outcome_limit(self._get_changes_per_minute(grant.business))

    def _get_actor(self, command: ChangeRecords) -> str:
        grant = self.record_set.find_grant(command.token_hash)
        return f"grant {grant.name}" if grant and not command.admin else "admin"

    def _refuse_changes(self, command: ChangeRecords, error: str) -> ChangeOutcome:
        results = tuple(
            ChangeResult(change.name, 0, error) for change in command.changes
        )
        return ChangeOutcome(results, self.revision)

    def _count_targets(self, business: str, service: str) -> int:
        targets = self.targets.get((business, service), ())
        return sum(1 for target in targets if target.state != TargetState.GONE)

    def _find_affected_services(
        self, new_set: RecordSet, changes: tuple[RecordChange, ...]
    ) -> Mapping[ServiceKey, int]:
        """Return the number of each affected service by its key."""
        affected: dict[ServiceKey, int] = {}
        for change in changes:
            for record_set in (self.record_set, new_set):
                record = record_set.find(change.kind, change.business, change.name)
                body = record.body if record else None
                if isinstance(body, Evacuation):
                    affected |= self._find_services_in_domain(record_set, body.name)
                    continue
                name = body.service if isinstance(body, Drain) else change.name
                service = record_set.find_service(change.business, name)
                if isinstance(body, Service | Drain) and service:
                    affected[change.business, name] = service.number
        return affected

    def _find_services_in_domain(
        self, record_set: RecordSet, failure_domain: str
    ) -> Mapping[ServiceKey, int]:
        """Return the numbers of the services with targets in a failure domain."""
        numbers: dict[ServiceKey, int] = {}
        for key, targets in self.targets.items():
            service = record_set.find_service(*key)
            if service and any(
                target.failure_domain == failure_domain for target in targets
            ):
                numbers[key] = service.number
        return numbers

    def list_evacuated_domains(self) -> frozenset[str]:
        """Return the failure domains whose targets get no new flows or requests."""
        return frozenset(
            key[2] for key in self.record_set.records if key[0] == RecordKind.EVACUATION
        )

    def precheck_announcement(self, command: AnnounceTarget) -> TargetOutcome | None:
        """Return the outcome of an announcement that registers no target, or None.

        An agent whose service does not exist yet announces every two seconds; it must
        not cause a log entry each time.
        """
        result = self._evaluate_announcement(command)
        return None if result.target else TargetOutcome(0, result.error)

    def _evaluate_announcement(self, command: AnnounceTarget) -> AnnouncementResult:
        announced = command.announcement
        key = (announced.business, announced.service)
        if self.record_set.find_service(*key) is None:
            return AnnouncementResult(
                (), error=f"service {key[0]}/{key[1]} does not exist"
            )
        return apply_announcement(
            self.targets.get(key, ()), command, self.next_incarnation
        )

    def _apply_announcement(self, index: int, command: AnnounceTarget) -> TargetOutcome:
        announced = command.announcement
        key = (announced.business, announced.service)
        service, before = self.record_set.find_service(*key), self.targets.get(key, ())
        result = self._evaluate_announcement(command)
        target = result.target
        if target is None or service is None:
            return TargetOutcome(0, result.error)
        self.next_incarnation = max(self.next_incarnation, target.incarnation + 1)
        if result.targets != before:
            self.targets[key] = result.targets
            self._rebuild_slices(index, {key: service.number})
        return TargetOutcome(target.incarnation)

    def _change_targets(self, index: int, command: ChangeTargets) -> TargetOutcome:
        affected: dict[ServiceKey, int] = {}
        for change in command.changes:
            key = (change.business, change.service)
            before = self.targets.get(key, ())
            after = _change_target(before, change)
            service = self.record_set.find_service(*key)
            if after == before or service is None:
                continue
            self.targets[key] = after
            affected[key] = service.number
        if affected:
            self._rebuild_slices(index, affected)
        return TargetOutcome(0)

    def _rebuild_slices(self, index: int, affected: Mapping[ServiceKey, int]) -> None:
        """Rebuild the slices of these services; the others stay the same objects."""
        self.revision = index
        drained = self._find_drained() if affected else frozenset()
        evacuated = self.list_evacuated_domains()
        for key, number in affected.items():
            service = self.record_set.find_service(*key)
            if service is None:
                self.slices.pop(number, None)
                self.targets.pop(key, None)
                continue
            visible = tuple(
                _apply_drain(
                    target,
                    (*key, target.name) in drained
                    or target.failure_domain in evacuated,
                )
                for target in self.targets.get(key, ())
            )
            left_revision = _find_left_revision(self.slices.get(number), visible, index)
            self.slices[number] = ServiceSlice(service, visible, index, left_revision)

    def _find_drained(self) -> frozenset[tuple[str, str, str]]:
        return frozenset(
            (body.business, body.service, body.target)
            for key, stored in self.record_set.records.items()
            if key[0] == RecordKind.DRAIN
            and isinstance(body := stored.record.body, Drain)
        )


def _find_left_revision(
    before: ServiceSlice | None, targets: tuple[Target, ...], index: int
) -> int:
    """Return the revision at which an agent process of the service last left."""
    if before is None:
        return 0
    process_keys = {_get_process_key(target) for target in targets}
    if any(_get_process_key(target) not in process_keys for target in before.targets):
        return index
    return before.left_revision


def _get_process_key(target: Target) -> tuple[int, str]:
    return target.incarnation, target.announcement.agent_session


def _find_duplicates(changes: tuple[RecordChange, ...]) -> frozenset[int]:
    """Return the positions of changes whose record appears earlier in the request."""
    seen: set[RecordKey] = set()
    duplicates: set[int] = set()
    for position, change in enumerate(changes):
        key = (change.kind, change.business, change.name)
        if key in seen:
            duplicates.add(position)
        seen.add(key)
    return frozenset(duplicates)


def _change_target(
    targets: tuple[Target, ...], change: TargetChange
) -> tuple[Target, ...]:
    # If the incarnation was replaced meanwhile, no target matches.
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


def _apply_drain(target: Target, drained: bool) -> Target:
    """Return the target as sent to nodes: a drained one is leaving."""
    if drained and target.state == TargetState.READY:
        return replace(target, state=TargetState.LEAVING)
    return target


def _mark_not_applied(results: tuple[ChangeResult, ...]) -> tuple[ChangeResult, ...]:
    refused = sum(1 for result in results if result.error)
    reason = f"not applied: {refused} of {len(results)} records were refused"
    return tuple(
        result if result.error else replace(result, revision=0, error=reason)
        for result in results
    )
