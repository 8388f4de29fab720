/** The duty of reporting usage: each window is written to the duty log before it is reported to the platform. */
import type {UsageLedger} from '../controllers/duties/index.js';
import type {DutyClaim} from '../gossip/index.js';
import type {EventLogger} from '../logging/index.js';
import type {DutyCalls, DutyLog, DutyResult, UsageReport} from './ports.js';

/** Constructor options of `UsageDuty`. */
export interface UsageDutyOptions {
  readonly usageLedger: UsageLedger;
  readonly calls: DutyCalls;
  readonly log: DutyLog;
  readonly events: EventLogger;
  /** Time after the end of a window within which it must be reported. */
  readonly reportDueMs: number;
}

/** Delay after the end of a window for the other gateways' counts to arrive, over up to three groups. */
const COLLECTION_DELAY_MS = 3_500;
/** Number of the newest reports kept in the duty log for the next duty holder. */
const MAX_STORED_REPORTS = 5;

/** Writes the usage reports of one claim to the duty log, then sends them to the platform. */
export class UsageDuty {
  private readonly options: UsageDutyOptions;
  private reports: readonly UsageReport[];
  private readonly reportedWindows = new Set<number>();
  private nextWindow: number;

  /**
   * @param options - The usage counts, the calls and the duty log.
   * @param history - Reports that earlier duty holders wrote to the duty log; each may or may not have been sent.
   * @param wallMs - Current Unix time in milliseconds.
   */
  constructor(options: UsageDutyOptions, history: readonly UsageReport[], wallMs: number) {
    this.options = options;
    this.reports = history;
    const oldest = options.usageLedger.getWindow(wallMs - options.reportDueMs);
    const lastWritten = Math.max(-1, ...history.map(({window}) => window));
    this.nextWindow = Math.max(oldest, lastWritten + 1);
  }

  /**
   * Writes the due windows to the duty log, then sends all reports that are neither sent nor overdue.
   * @param claim - Claim sent with each call; the run stops at the first call refused because of a newer claim.
   * @param wallMs - Current Unix time in milliseconds.
   */
  async run(claim: DutyClaim, wallMs: number): Promise<DutyResult> {
    const writeResult = await this.writeDueReports(claim, wallMs);
    if (writeResult === 'superseded') return writeResult;
    for (const report of this.reports) {
      if (this.reportedWindows.has(report.window) || this.isOverdue(report, wallMs)) continue;
      const result = await this.options.calls.reportUsage(report, claim);
      const total = [...report.counts.values()].reduce((sum, count) => sum + count, 0);
      this.options.events.log('usage', {window: report.window, total, result, token: claim.token});
      if (result === 'superseded') return result;
      if (result !== 'unavailable') this.reportedWindows.add(report.window);
    }
    return 'done';
  }

  private async writeDueReports(claim: DutyClaim, wallMs: number): Promise<DutyResult> {
    const {usageLedger, log} = this.options;
    const due: UsageReport[] = [];
    for (
      let window = this.nextWindow;
      usageLedger.getWindowEndMs(window) + COLLECTION_DELAY_MS <= wallMs;
      window += 1
    ) {
      due.push({window, counts: usageLedger.getTotal(window)});
    }
    const last = due.at(-1);
    if (!last) return 'done';
    const reports = [...this.reports, ...due].slice(-MAX_STORED_REPORTS);
    const result = await log.writeReports(reports, claim);
    if (result !== 'done') return result;
    this.reports = reports;
    this.nextWindow = last.window + 1;
    return result;
  }

  private isOverdue({window}: UsageReport, wallMs: number): boolean {
    return wallMs > this.options.usageLedger.getWindowEndMs(window) + this.options.reportDueMs;
  }
}
