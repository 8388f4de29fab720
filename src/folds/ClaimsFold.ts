/** The claims of idempotency keys, as the claims stream gives them. */
import type {ClaimProposal, OutcomeProposal, PlacedRecord} from '../records/index.js';
import type {Fold} from './Fold.js';

/** How a claimed request ended. */
export type ClaimOutcome = Pick<OutcomeProposal, 'run' | 'answer'>;

/** The claim that holds a key. */
export interface KeptClaim {
  readonly workspace: string;
  readonly key: string;
  readonly attemptId: string;
  readonly claimant: string;
  readonly fingerprint: string;
  /** Offset of the record that claimed the key. */
  readonly offset: number;
  /** Instant of that record by the log's clock. */
  readonly claimedAtMs: number;
  readonly outcome?: ClaimOutcome;
}

/** Options of a `ClaimsFold`. */
export interface ClaimsFoldOptions {
  /** Time by the log's clock for which a claim is kept; every reader of a deployment uses the same. */
  readonly keepMs: number;
}

/** Default of `ClaimsFoldOptions.keepMs`: seven days. */
export const DEFAULT_CLAIM_KEEP_MS = 7 * 24 * 3_600_000;

/**
 * Gives a key to the first claim on it, for good; no outcome frees a key. Applying a record twice changes nothing, so
 * repeated appends need no filter. Claims are forgotten by the log's clock, which every reader sees alike.
 */
export class ClaimsFold implements Fold {
  private readonly options: ClaimsFoldOptions;
  private readonly claims = new Map<string, KeptClaim>();
  private logTimeMs = 0;

  constructor(options: ClaimsFoldOptions = {keepMs: DEFAULT_CLAIM_KEEP_MS}) {
    this.options = options;
  }

  applyRecord({offset, record, atMs}: PlacedRecord): void {
    this.logTimeMs = Math.max(this.logTimeMs, atMs ?? 0);
    this.forgetOldClaims();
    const {body} = record;
    if (body.kind === 'claim-batch') {
      for (const claim of body.claims) this.applyClaim(claim, offset);
    }
    if (body.kind === 'outcome-batch') {
      for (const outcome of body.outcomes) this.applyOutcome(outcome);
    }
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

  private applyOutcome({workspace, key, attemptId, run, answer}: OutcomeProposal): void {
    const claimId = toClaimId(workspace, key);
    const claim = this.claims.get(claimId);
    if (claim?.attemptId !== attemptId) return;
    const isOpen = claim.outcome === undefined || claim.outcome.run === 'unknown';
    if (isOpen) this.claims.set(claimId, {...claim, outcome: {run, answer}});
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

function toClaimId(workspace: string, key: string): string {
  return JSON.stringify([workspace, key]);
}
