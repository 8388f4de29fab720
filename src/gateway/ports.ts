/** Interfaces through which a gateway uses the platform and the duty log; adapters implement them. */
import type {DutyClaim} from '../gossip/index.js';
import type {WindowCounts} from '../controllers/duties/index.js';
import type {RolloutPhase} from '../controllers/moves/index.js';

/**
 * Result of a call made for a duty. `superseded`: the claim can no longer be used, because another duty holder has a
 * newer one or because it is unknown whether an earlier write under the claim took effect.
 */
export type DutyResult = 'done' | 'superseded' | 'unavailable' | 'rejected';

/** Usage counts of one window, as written to the duty log before they are reported. */
export interface UsageReport {
  /** Index of the window, counted from the Unix epoch. */
  readonly window: number;
  readonly counts: WindowCounts;
}

/** An order for the number of backend servers of one type that a service should have in a failure domain. */
export interface ServerOrder {
  readonly service: string;
  readonly failureDomain: string;
  readonly count: number;
  readonly isReclaimable: boolean;
}

/** Calls to the platform; each carries the caller's claim, so that the platform can refuse a superseded duty holder. */
export interface DutyCalls {
  reportUsage(report: UsageReport, claim: DutyClaim): Promise<DutyResult>;
  orderServers(order: ServerOrder, claim: DutyClaim): Promise<DutyResult>;
}

/** Contents of the duty log, left by earlier duty holders. */
export interface DutyHistory {
  readonly claim: DutyClaim;
  /** Newest written reports, oldest first. */
  readonly reports: readonly UsageReport[];
}

/** A successful claim and the newest one before it. */
export interface ClaimResult {
  readonly claim: DutyClaim;
  /** Token 0 if nobody has claimed the duties before. */
  readonly previous: DutyClaim;
  /** Whether the store was restored from a copy since the previous claim, so that later records may be lost. */
  readonly hasLostRecords: boolean;
}

/** State of the newest roll-out of a service, as operators see it. */
export interface RolloutVerdict {
  readonly service: string;
  readonly targetVersion: string;
  readonly phase: RolloutPhase;
}

/** The durable record of verdicts. It refuses writes made under a superseded claim. */
export interface RolloutLog {
  /** Returns the verdicts by service; undefined if the store is unavailable. */
  readVerdicts(): Promise<ReadonlyMap<string, RolloutVerdict> | undefined>;
  writeVerdict(verdict: RolloutVerdict, claim: DutyClaim): Promise<DutyResult>;
}

/** The durable log of claims and reports. It refuses writes made under a superseded claim. */
export interface DutyLog {
  /** Returns the newest claim and the reports; undefined if the store is unavailable. */
  read(): Promise<DutyHistory | undefined>;
  /** Claims the duties; returns undefined if another process was first or the store is unavailable. */
  claim(holderId: string): Promise<ClaimResult | undefined>;
  /** Writes the newest reports before they are sent, replacing those written earlier. */
  writeReports(reports: readonly UsageReport[], claim: DutyClaim): Promise<DutyResult>;
}
