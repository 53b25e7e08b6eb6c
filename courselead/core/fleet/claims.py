"""Idempotency-key claims, so that a non-idempotent request runs at most once."""

from dataclasses import replace
from enum import StrEnum

from courselead.core.fleet import verdicts
from courselead.core.fleet.due import ExpiryIndexEditor
from courselead.core.fleet.origin import Origin
from courselead.core.fleet.queries import is_live
from courselead.core.fleet.records import (
    Claim,
    ClaimEnd,
    ClaimOutcome,
    ClaimsEnded,
    ClaimsMade,
)
from courselead.core.fleet.state import ClaimKey, ClaimState, FleetState, Verdict

MAX_CLAIM_MS = 30 * 86_400_000

_HandlerResult = tuple[FleetState, Verdict]


class ClaimStatus(StrEnum):
    """Status of an idempotency key, as seen by a request that uses it."""

    FREE = "free"
    PENDING_LIVE = "pending_live"
    RAN = "ran"
    UNKNOWN = "unknown"


def claim_status(fleet: FleetState, key: ClaimKey) -> ClaimStatus:
    """Return the status of the request that holds a key.

    A pending claim of a host that is no longer live counts as unknown, because
    no host can tell whether the request was executed.
    """
    claim = fleet.claims.get(key)
    if claim is None:
        return ClaimStatus.FREE
    if claim.outcome is ClaimOutcome.RAN:
        return ClaimStatus.RAN
    if claim.outcome is not ClaimOutcome.PENDING:
        return ClaimStatus.UNKNOWN
    if is_live(fleet, claim.entry_host, claim.incarnation):
        return ClaimStatus.PENDING_LIVE
    return ClaimStatus.UNKNOWN


def claims_made(
    fleet: FleetState, origin: Origin, record: ClaimsMade
) -> _HandlerResult:
    """Assign each key to its first claim in log order, regardless of the host."""
    appended_by = (origin.entry_host, origin.incarnation)
    if (record.entry_host, record.incarnation) != appended_by:
        return fleet, verdicts.rejected(verdicts.NOT_AUTHOR)
    claims = fleet.claims.mutate()
    expiry = ExpiryIndexEditor.from_fleet(fleet)
    reasons = []
    for claim in record.claims:
        key = (claim.client_account, claim.service, claim.key)
        reason = _claim_rejection(claims.get(key), claim, origin)
        reasons.append(reason)
        if reason:
            continue
        # The duration is also applied to agreed time, so that a claim does not
        # expire early if the clock of its host is behind.
        duration_ms = claim.expires_ms - origin.at_ms
        expires_ms = max(claim.expires_ms, fleet.now_ms + duration_ms)
        claims[key] = ClaimState(
            fingerprint=claim.fingerprint,
            request_id=claim.request_id,
            entry_host=record.entry_host,
            incarnation=record.incarnation,
            offset=origin.offset,
            expires_ms=expires_ms,
        )
        expiry.add(key, expires_ms)
    fleet = replace(
        fleet, claims=claims.finish(), due=expiry.due, due_cursor=expiry.cursor
    )
    return fleet, verdicts.from_item_reasons(reasons)


def _claim_rejection(existing: ClaimState | None, claim: Claim, origin: Origin) -> str:
    """Return the reason for rejecting a claim, or "" if it is valid."""
    if existing is not None and existing.fingerprint != claim.fingerprint:
        return verdicts.CLAIM_CONFLICT
    if existing is not None:
        return verdicts.CLAIM_TAKEN
    if not 0 < claim.expires_ms - origin.at_ms <= MAX_CLAIM_MS:
        return verdicts.CLAIM_TOO_LONG
    return ""


def claims_ended(
    fleet: FleetState, origin: Origin, record: ClaimsEnded
) -> _HandlerResult:
    """Store the outcomes of claims; a request that was not run releases its key."""
    claims = fleet.claims.mutate()
    reasons = []
    for end in record.ends:
        key = (end.client_account, end.service, end.key)
        claim = claims.get(key)
        reason = _end_rejection(claim, end)
        reasons.append(reason)
        if reason or claim is None:
            continue
        if end.outcome is ClaimOutcome.NOT_RUN:
            del claims[key]
            continue
        claims[key] = replace(
            claim,
            outcome=end.outcome,
            status=end.status,
            content_type=end.content_type,
            body=end.body,
            body_kept=end.body_kept,
        )
    return replace(fleet, claims=claims.finish()), verdicts.from_item_reasons(reasons)


def _end_rejection(claim: ClaimState | None, end: ClaimEnd) -> str:
    """Return the reason for rejecting a claim outcome, or "" if it is valid."""
    if claim is None or claim.request_id != end.request_id:
        return verdicts.CLAIM_UNKNOWN
    if claim.outcome is not ClaimOutcome.PENDING:
        return verdicts.CLAIM_ENDED
    if end.outcome is ClaimOutcome.PENDING:
        return verdicts.CLAIM_NO_OUTCOME
    return ""
