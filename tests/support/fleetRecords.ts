/** Builds records of the fleet stream for tests. */
import type {LogBody, PlacedRecord} from '../../src/records/index.js';

/** Wraps bodies into records of one writer at consecutive log offsets. */
export function toPlacedRecords(bodies: readonly LogBody[], writer = 'w', firstOffset = 0) {
  return bodies.map((body, index): PlacedRecord => ({
    offset: firstOffset + index,
    record: {writer, sequence: firstOffset + index + 1, body},
  }));
}

/** Returns a lease claim that is valid only if the newest lease record is at `followsOffset`. */
export function createLeaseClaim(holder: string, followsOffset: number): LogBody {
  return {kind: 'lease-claim', holder, followsOffset, termMs: 3_000};
}

/** Returns a renewal of the lease that was claimed at `claimOffset`. */
export function createLeaseRenewal(holder: string, claimOffset: number): LogBody {
  return {kind: 'lease-renewal', holder, claimOffset};
}

/** Returns a release of the lease that was claimed at `claimOffset`. */
export function createLeaseRelease(holder: string, claimOffset: number): LogBody {
  return {kind: 'lease-release', holder, claimOffset};
}

/** Returns an operator's request to move a service, `guidance` by default, from v1 to v2. */
export function createMoveRequest(moveId: string, service = 'guidance'): LogBody {
  return {
    kind: 'move-request',
    moveId,
    service,
    fromVersion: 'v1',
    toVersion: 'v2',
    requestedAtMs: 1_000,
    deadlineAtMs: 61_000,
    requestedBy: 'operator',
  };
}

/** Returns a step of a move, as the lease holder with this fencing token writes it. */
export function createMoveStep(
  moveId: string,
  fencingToken: number,
  phase: 'running' | 'soaking' | 'done' | 'taken-back',
  sharePercent = 100,
): LogBody {
  return {kind: 'move-step', moveId, fencingToken, phase, sharePercent, decidedAtMs: 2_000};
}

/** Returns an operator's order that sets the state of a failure domain if `replacesRevision` is its current revision. */
export function createDomainOrder(
  failureDomain: string,
  state: 'in' | 'out' | 'returning',
  replacesRevision: number,
): LogBody {
  return {
    kind: 'domain-order',
    failureDomain,
    state,
    replacesRevision,
    requestedBy: 'operator',
    requestedAtMs: 3_000,
  };
}

/** Returns a quarantine of a request fingerprint; times are Unix times in milliseconds. */
export function createQuarantine(
  fingerprint: string,
  observedAtMs: number,
  expiresAtMs: number,
): LogBody {
  return {
    kind: 'quarantine',
    fingerprint,
    service: 'guidance',
    reporter: 'entry-1',
    observedAtMs,
    expiresAtMs,
  };
}
