/** What a gateway needs of its surroundings; adapters implement these. */
import type {DutyClaim} from '../gossip/index.js';
import type {WindowCounts} from '../controllers/duties/index.js';

/** How a call of a duty ended: `superseded` where another holder has a newer claim. */
export type DutyResult = 'done' | 'superseded' | 'unavailable' | 'rejected';

/** Counts of one window, as they were written down before they were reported. */
export interface UsageReport {
  readonly window: number;
  readonly counts: WindowCounts;
}

/** An order for backend servers. */
export interface ServerOrder {
  readonly service: string;
  readonly failureDomain: string;
  readonly count: number;
  readonly isReclaimable: boolean;
}

/** Calls of the duties; each carries the claim under which it is made. */
export interface DutyCalls {
  reportUsage(report: UsageReport, claim: DutyClaim): Promise<DutyResult>;
  orderServers(order: ServerOrder, claim: DutyClaim): Promise<DutyResult>;
}

/** What a new holder finds of its predecessors. */
export interface DutyHistory {
  readonly claim: DutyClaim;
  /** Newest reports that were written down, oldest first. */
  readonly reports: readonly UsageReport[];
}

/** A claim that was made, and the newest one before it. */
export interface ClaimResult {
  readonly claim: DutyClaim;
  /** Token 0 where nobody has ever claimed the duties. */
  readonly previous: DutyClaim;
}

/** The durable record of claims and reports. Writers with an older claim are refused. */
export interface DutyLog {
  /** Returns the newest claim and the reports; undefined where the store doesn't answer. */
  read(): Promise<DutyHistory | undefined>;
  /** Claims the duties; returns undefined where another process was first or the store doesn't answer. */
  claim(holderId: string): Promise<ClaimResult | undefined>;
  /** Writes reports down before they are made. */
  writeReports(reports: readonly UsageReport[], claim: DutyClaim): Promise<DutyResult>;
}
