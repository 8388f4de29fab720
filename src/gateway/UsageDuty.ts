/** Reports usage as the holder of the duties: each window is written down before it is reported. */
import type {UsageLedger} from '../controllers/duties/index.js';
import type {DutyClaim} from '../gossip/index.js';
import type {EventLogger} from '../logging/index.js';
import type {DutyCalls, DutyLog, DutyResult, UsageReport} from './ports.js';

/** Options of a `UsageDuty`. */
export interface UsageDutyOptions {
  readonly ledger: UsageLedger;
  readonly calls: DutyCalls;
  readonly log: DutyLog;
  readonly events: EventLogger;
  /** Time after the end of a window within which it is reported. */
  readonly dueMs: number;
}

/** Time after the end of a window in which the other gateways' counts arrive. */
const GATHER_MS = 2_500;
/** Reports that are written down at a time, for a successor. */
const KEPT_REPORTS = 5;

/** Usage reports of one claim. */
export class UsageDuty {
  private readonly options: UsageDutyOptions;
  private reports: readonly UsageReport[];
  private readonly reported = new Set<number>();
  private nextWindow: number;

  /**
   * @param options - Its surroundings.
   * @param history - Reports that predecessors wrote down, which may have been made or not.
   * @param wallMs - Present Unix time.
   */
  constructor(options: UsageDutyOptions, history: readonly UsageReport[], wallMs: number) {
    this.options = options;
    this.reports = history;
    const oldest = options.ledger.getWindow(wallMs - options.dueMs);
    const written = Math.max(-1, ...history.map(({window}) => window));
    this.nextWindow = Math.max(oldest, written + 1);
  }

  /**
   * Writes down and reports what is due.
   * @param claim - The claim under which it acts.
   * @param wallMs - Present Unix time.
   */
  async run(claim: DutyClaim, wallMs: number): Promise<DutyResult> {
    const written = await this.writeDue(claim, wallMs);
    if (written === 'superseded') return written;
    for (const report of this.reports) {
      if (this.reported.has(report.window) || this.isTooLate(report, wallMs)) continue;
      const result = await this.options.calls.reportUsage(report, claim);
      const total = [...report.counts.values()].reduce((sum, count) => sum + count, 0);
      this.options.events.log('usage', {window: report.window, total, result, token: claim.token});
      if (result === 'superseded') return result;
      if (result !== 'unavailable') this.reported.add(report.window);
    }
    return 'done';
  }

  private async writeDue(claim: DutyClaim, wallMs: number): Promise<DutyResult> {
    const {ledger, log} = this.options;
    const due: UsageReport[] = [];
    for (let window = this.nextWindow; ledger.getEndMs(window) + GATHER_MS <= wallMs; window += 1) {
      due.push({window, counts: ledger.getTotal(window)});
    }
    const last = due.at(-1);
    if (!last) return 'done';
    const reports = [...this.reports, ...due].slice(-KEPT_REPORTS);
    const result = await log.writeReports(reports, claim);
    if (result !== 'done') return result;
    this.reports = reports;
    this.nextWindow = last.window + 1;
    return result;
  }

  private isTooLate({window}: UsageReport, wallMs: number): boolean {
    return wallMs > this.options.ledger.getEndMs(window) + this.options.dueMs;
  }
}
