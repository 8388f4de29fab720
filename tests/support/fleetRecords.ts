/** Builds records of the fleet stream for tests. */
import type {LogBody, PlacedRecord} from '../../src/records/index.js';

/** Returns bodies as records of one writer, placed at consecutive offsets. */
export function placeBodies(bodies: readonly LogBody[], writer = 'w', firstOffset = 0) {
  return bodies.map((body, index): PlacedRecord => ({
    offset: firstOffset + index,
    record: {writer, sequence: firstOffset + index + 1, body},
  }));
}

/** Returns a claim of the lease. */
export function claim(holder: string, followsOffset: number): LogBody {
  return {kind: 'lease-claim', holder, followsOffset, termMs: 3_000};
}

/** Returns a renewal of the lease. */
export function renewal(holder: string, claimOffset: number): LogBody {
  return {kind: 'lease-renewal', holder, claimOffset};
}

/** Returns a release of the lease. */
export function release(holder: string, claimOffset: number): LogBody {
  return {kind: 'lease-release', holder, claimOffset};
}

/** Returns a request for a move of the service `guidance` from v1 to v2. */
export function moveRequest(moveId: string, service = 'guidance'): LogBody {
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

/** Returns a step of a move. */
export function moveStep(
  moveId: string,
  fencingToken: number,
  phase: 'running' | 'soaking' | 'done' | 'taken-back',
  sharePercent = 100,
): LogBody {
  return {kind: 'move-step', moveId, fencingToken, phase, sharePercent, decidedAtMs: 2_000};
}

/** Returns an order about a failure domain. */
export function domainOrder(
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

/** Returns a quarantine of a fingerprint. */
export function quarantine(
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
