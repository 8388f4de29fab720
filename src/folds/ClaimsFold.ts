/** The claims of idempotency keys, as the claims stream gives them. */
import type {
  ClaimProposal,
  LogBody,
  LogBodyOf,
  OutcomeProposal,
  PlacedRecord,
} from '../records/index.js';
import {SnapshotParts} from './SnapshotParts.js';
import type {SnapshotFold} from './Fold.js';
import {keptClaimsSchema, type KeptClaim} from './KeptClaim.js';

/** Options of a `ClaimsFold`. */
export interface ClaimsFoldOptions {
  /** Time by the log's clock for which a claim is kept; every reader of a deployment uses the same. */
  readonly keepMs: number;
}

interface PlacedOutcome {
  readonly offset: number;
  readonly outcome: OutcomeProposal;
}

interface GapEnd {
  readonly offset: number;
  /** Instant of the first record after the gap by the log's clock, once it was read. */
  readonly atMs?: number;
}

/** Default of `ClaimsFoldOptions.keepMs`: seven days. */
export const DEFAULT_CLAIM_KEEP_MS = 7 * 24 * 3_600_000;

const CLAIMS_PER_SNAPSHOT_PART = 500;

/**
 * Gives a key to the first claim on it, for good; no outcome frees a key. Applying a record twice changes nothing, so
 * repeated appends need no filter. Claims are forgotten by the log's clock, which every reader sees alike. After a gap
 * the fold goes on with what it has, and a snapshot that reaches to the gap's end makes it whole: of two claims on a key
 * the one with the lower offset holds.
 */
export class ClaimsFold implements SnapshotFold {
  private readonly options: ClaimsFoldOptions;
  private readonly claims = new Map<string, KeptClaim>();
  private readonly parts = new SnapshotParts();
  /** Outcomes after a gap whose claims may lie before its end. */
  private unmatchedOutcomes: PlacedOutcome[] = [];
  private gapEnd: GapEnd | undefined;
  private logTimeMs = 0;

  constructor(options: ClaimsFoldOptions = {keepMs: DEFAULT_CLAIM_KEEP_MS}) {
    this.options = options;
  }

  applyRecord({offset, record, atMs}: PlacedRecord): void {
    this.logTimeMs = Math.max(this.logTimeMs, atMs ?? 0);
    this.forgetOldClaims();
    this.noteGapTime();
    const {body} = record;
    if (body.kind === 'claim-batch') {
      for (const claim of body.claims) this.applyClaim(claim, offset);
    }
    if (body.kind === 'outcome-batch') {
      for (const outcome of body.outcomes) this.applyOutcome(outcome, offset);
    }
    if (body.kind === 'claims-snapshot' && this.gapEnd) this.applyPart(body, record.writer);
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
   * Returns the claim that holds a key; undefined where none does or it was forgotten.
   * @param workspace - Workspace of the key.
   * @param key - The idempotency key.
   */
  getClaim(workspace: string, key: string): KeptClaim | undefined {
    return this.claims.get(toClaimId(workspace, key));
  }

  /** Returns the number of claims that are kept. */
  getClaimCount(): number {
    return this.claims.size;
  }

  /** Returns the instant by the log's clock before which claims are forgotten. */
  getForgottenBeforeMs(): number {
    return this.logTimeMs - this.options.keepMs;
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
    const isOpen = claim.outcome === undefined || claim.outcome.run === 'unknown';
    if (isOpen) this.claims.set(claimId, {...claim, outcome: {run, answer}});
  }

  private applyPart(body: LogBodyOf<'claims-snapshot'>, writer: string): void {
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
      else if (claim.attemptId === other.attemptId) merged.set(claimId, addOutcome(other, claim));
    }
    const ordered = [...merged].sort(([, a], [, b]) => a.offset - b.offset);
    this.claims.clear();
    for (const [claimId, claim] of ordered) this.claims.set(claimId, claim);
    this.endGap();
  }

  private endGap(): void {
    this.gapEnd = undefined;
    this.parts.clear();
    const outcomes = this.unmatchedOutcomes;
    this.unmatchedOutcomes = [];
    for (const {outcome, offset} of outcomes) this.applyOutcome(outcome, offset);
  }

  /** A reader that has read for as long as claims are kept misses nothing that still matters. */
  private noteGapTime(): void {
    const {gapEnd} = this;
    if (!gapEnd) return;
    if (gapEnd.atMs === undefined) this.gapEnd = {...gapEnd, atMs: this.logTimeMs};
    else if (gapEnd.atMs < this.getForgottenBeforeMs()) this.endGap();
  }

  /** Claims stand in the order in which they were made, so the old ones come first. */
  private forgetOldClaims(): void {
    const beforeMs = this.getForgottenBeforeMs();
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

/** Returns a claim with what a later record of the same attempt says of its outcome. */
function addOutcome(claim: KeptClaim, later: KeptClaim): KeptClaim {
  const isOpen = claim.outcome === undefined || claim.outcome.run === 'unknown';
  return isOpen && later.outcome ? {...claim, outcome: later.outcome} : claim;
}

function toClaimId(workspace: string, key: string): string {
  return JSON.stringify([workspace, key]);
}
