/** Computes from the claims stream which request attempt holds each idempotency key. */
import type {
  ClaimProposal,
  LogBody,
  LogBodyOf,
  OutcomeProposal,
  PlacedRecord,
} from '../records/index.js';
import {SnapshotAssembler} from './SnapshotAssembler.js';
import type {SnapshotFold} from './Fold.js';
import {keptClaimsSchema, type KeptClaim} from './KeptClaim.js';

/** Options of a `ClaimsFold`. */
export interface ClaimsFoldOptions {
  /** How long a claim is kept, by the log's clock. Must be the same in every reader of a deployment. */
  readonly retentionMs: number;
}

/** An outcome with the offset of its record. */
interface PlacedOutcome {
  readonly offset: number;
  readonly outcome: OutcomeProposal;
}

/** The first record after a range of records that the log dropped before they were read. */
interface GapEnd {
  readonly offset: number;
  /** Time at which the log stored that record; undefined until it has been read. */
  readonly atMs?: number;
}

/** Default of `ClaimsFoldOptions.retentionMs`: seven days. */
export const DEFAULT_CLAIM_RETENTION_MS = 7 * 24 * 3_600_000;

const CLAIMS_PER_SNAPSHOT_PART = 500;

/**
 * Assigns each key to the first claim on it; no outcome releases the key. Applying a record twice changes nothing, so
 * duplicate appends need no filter. Claims expire by the log's clock, so every reader drops the same ones. After a gap
 * in the stream the fold continues with incomplete state until it merges a snapshot that covers the gap. If the merge
 * finds two claims on a key, the one with the lower offset holds it.
 */
export class ClaimsFold implements SnapshotFold {
  private readonly options: ClaimsFoldOptions;
  private readonly claims = new Map<string, KeptClaim>();
  private readonly parts = new SnapshotAssembler();
  /** Outcomes read after a gap whose claims may be among the missed records; applied again when the gap closes. */
  private unmatchedOutcomes: PlacedOutcome[] = [];
  private gapEnd: GapEnd | undefined;
  /** Highest time at which the log stored a record read so far. */
  private logTimeMs = 0;

  constructor(options: ClaimsFoldOptions = {retentionMs: DEFAULT_CLAIM_RETENTION_MS}) {
    this.options = options;
  }

  applyRecord({offset, record, atMs}: PlacedRecord): void {
    this.logTimeMs = Math.max(this.logTimeMs, atMs ?? 0);
    this.removeExpiredClaims();
    this.closeExpiredGap();
    const {body} = record;
    if (body.kind === 'claim-batch') {
      for (const claim of body.claims) this.applyClaim(claim, offset);
    }
    if (body.kind === 'outcome-batch') {
      for (const outcome of body.outcomes) this.applyOutcome(outcome, offset);
    }
    if (body.kind === 'claims-snapshot' && this.gapEnd) this.applySnapshotPart(body, record.writer);
  }

  markIncomplete(earliestOffset: number): void {
    this.gapEnd = {offset: earliestOffset};
  }

  isComplete(): boolean {
    return this.gapEnd === undefined;
  }

  createSnapshot(coversOffset: number): readonly LogBody[] {
    const claims = [...this.claims.values()];
    const parts = Math.ceil(claims.length / CLAIMS_PER_SNAPSHOT_PART);
    return Array.from({length: parts}, (empty, part) => {
      const start = part * CLAIMS_PER_SNAPSHOT_PART;
      const state = JSON.stringify(claims.slice(start, start + CLAIMS_PER_SNAPSHOT_PART));
      return {kind: 'claims-snapshot', coversOffset, part, parts, state};
    });
  }

  /**
   * Returns the claim that holds a key; undefined if the key is unclaimed or its claim has expired.
   * @param workspace - Workspace of the key; keys of different workspaces are independent.
   * @param key - The idempotency key.
   */
  getClaim(workspace: string, key: string): KeptClaim | undefined {
    return this.claims.get(toClaimId(workspace, key));
  }

  /** Returns the number of claims that have not expired. */
  getClaimCount(): number {
    return this.claims.size;
  }

  /** Returns the expiry limit by the log's clock: claims made before it are dropped. */
  getExpiryLimitMs(): number {
    return this.logTimeMs - this.options.retentionMs;
  }

  private applyClaim(proposal: ClaimProposal, offset: number): void {
    const claimId = toClaimId(proposal.workspace, proposal.key);
    if (this.claims.has(claimId)) return;
    this.claims.set(claimId, {...proposal, offset, claimedAtMs: this.logTimeMs});
  }

  private applyOutcome(outcome: OutcomeProposal, offset: number): void {
    const {workspace, key, attemptId, run, answer} = outcome;
    const claimId = toClaimId(workspace, key);
    const claim = this.claims.get(claimId);
    if (claim?.attemptId !== attemptId || offset < claim.offset) {
      if (this.gapEnd) this.unmatchedOutcomes.push({offset, outcome});
      return;
    }
    const isUndecided = claim.outcome === undefined || claim.outcome.run === 'unknown';
    if (isUndecided) this.claims.set(claimId, {...claim, outcome: {run, answer}});
  }

  private applySnapshotPart(body: LogBodyOf<'claims-snapshot'>, writer: string): void {
    if (this.gapEnd && body.coversOffset < this.gapEnd.offset - 1) return;
    const states = this.parts.addPart(body, writer);
    if (states) this.mergeClaims(states.flatMap(readSnapshotState));
  }

  private mergeClaims(snapshotClaims: readonly KeptClaim[]): void {
    const merged = new Map(
      snapshotClaims.map(claim => [toClaimId(claim.workspace, claim.key), claim]),
    );
    for (const [claimId, claim] of this.claims) {
      const other = merged.get(claimId);
      if (!other || claim.offset < other.offset) merged.set(claimId, claim);
      else if (claim.attemptId === other.attemptId) merged.set(claimId, mergeOutcome(other, claim));
    }
    const ordered = [...merged].sort(([, a], [, b]) => a.offset - b.offset);
    this.claims.clear();
    for (const [claimId, claim] of ordered) this.claims.set(claimId, claim);
    this.closeGap();
  }

  private closeGap(): void {
    this.gapEnd = undefined;
    this.parts.clear();
    const outcomes = this.unmatchedOutcomes;
    this.unmatchedOutcomes = [];
    for (const {outcome, offset} of outcomes) this.applyOutcome(outcome, offset);
  }

  /** Closes a gap once every claim that may have been missed in it has expired. */
  private closeExpiredGap(): void {
    const {gapEnd} = this;
    if (!gapEnd) return;
    if (gapEnd.atMs === undefined) this.gapEnd = {...gapEnd, atMs: this.logTimeMs};
    else if (gapEnd.atMs < this.getExpiryLimitMs()) this.closeGap();
  }

  /** Claims are ordered by offset and thus by age, so the scan ends at the first one that has not expired. */
  private removeExpiredClaims(): void {
    const beforeMs = this.getExpiryLimitMs();
    for (const [claimId, claim] of this.claims) {
      if (claim.claimedAtMs >= beforeMs) return;
      this.claims.delete(claimId);
    }
  }
}

function readSnapshotState(state: string): readonly KeptClaim[] {
  const parsed = keptClaimsSchema.safeParse(JSON.parse(state));
  return parsed.success ? parsed.data : [];
}

/** Returns a claim with the outcome of a later copy of it, if its own outcome is absent or unknown. */
function mergeOutcome(claim: KeptClaim, later: KeptClaim): KeptClaim {
  const isUndecided = claim.outcome === undefined || claim.outcome.run === 'unknown';
  return isUndecided && later.outcome ? {...claim, outcome: later.outcome} : claim;
}

function toClaimId(workspace: string, key: string): string {
  return JSON.stringify([workspace, key]);
}
