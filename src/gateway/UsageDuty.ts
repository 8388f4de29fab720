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

/** What is known of reports made before a claim. */
export interface UsageHistory {
  /** Reports in the duty log; each may or may not have been sent. */
  readonly written: readonly UsageReport[];
  /** Reports that this gateway wrote under an earlier claim, which a restored store may have lost. */
  readonly own: readonly UsageReport[];
  /** Newest window that may have been reported, as gateways tell each other; 0 if none is known. */
  readonly reportedWindow: number;
  /** Whether the duty log may have lost reports. */
  readonly hasLostRecords: boolean;
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
  /** Whether reports have to be written again that the duty log doesn't contain. */
  private needsRewrite: boolean;

  /**
   * @param options - The usage counts, the calls and the duty log.
   * @param history - Reports of earlier claims.
   * @param wallMs - Current Unix time in milliseconds.
   */
  constructor(options: UsageDutyOptions, history: UsageHistory, wallMs: number) {
    this.options = options;
    const {written, own, reportedWindow, hasLostRecords} = history;
    const writtenWindows = new Set(written.map(({window}) => window));
    const lost = own.filter(({window}) => !writtenWindows.has(window));
    this.reports = [...written, ...lost]
      .sort((one, other) => one.window - other.window)
      .slice(-MAX_STORED_REPORTS);
    this.needsRewrite = lost.length > 0;
    const {usageLedger, reportDueMs} = options;
    // A window that was reported must not be reported with other counts. If that can't be known, it is left out.
    const isUnknown = hasLostRecords && reportedWindow === 0;
    const oldest = usageLedger.getWindow(isUnknown ? wallMs : wallMs - reportDueMs);
    this.nextWindow = Math.max(oldest, reportedWindow + 1, this.newestWindow + 1);
  }

  /** Newest window that has been written to the duty log, and may have been reported; 0 for none. */
  get newestWindow(): number {
    return this.reports.at(-1)?.window ?? 0;
  }

  /** Returns the newest reports, oldest first. */
  getReports(): readonly UsageReport[] {
    return this.reports;
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
    if (due.length === 0 && !this.needsRewrite) return 'done';
    const reports = [...this.reports, ...due].slice(-MAX_STORED_REPORTS);
    const result = await log.writeReports(reports, claim);
    if (result !== 'done') return result;
    this.reports = reports;
    this.needsRewrite = false;
    this.nextWindow = Math.max(this.nextWindow, this.newestWindow + 1);
    return result;
  }

  private isOverdue({window}: UsageReport, wallMs: number): boolean {
    return wallMs > this.options.usageLedger.getWindowEndMs(window) + this.options.reportDueMs;
  }
}
