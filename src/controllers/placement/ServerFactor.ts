/** Work factor of one start of a backend server: its last report, its lasting part, and what its responses say. */
import type {ServerStart} from '../../catalog/index.js';

/**
 * Time in which the last report loses most of its weight: what other workloads on the host do changes several times a
 * second, while the speed of the machine itself lasts.
 */
const REPORT_DECAY_MS = 400;
/** Time in which the lasting factor of a server without reports approaches the median of its service. */
const LASTING_DECAY_MS = 30_000;
/** Least weight of a report in the lasting factor; until then all reports have the same weight. */
const MIN_REPORT_WEIGHT = 0.1;
/** Largest deviation of one report from the lasting factor that is learned, so that short peaks hardly count. */
const MAX_REPORT_STEP = Math.log(2);
/** Responses that were expected sooner aren't evaluated; transmission and decoding matter more in them. */
const MIN_EVALUATED_MS = 30;
/** Responses that must disagree with the reports before they are believed more. */
const MIN_EVALUATED_RESPONSES = 8;
/** Weight of a response in the mean deviation. */
const RESPONSE_WEIGHT = 0.1;
/** Largest deviation of one response that is learned: it may also have waited for requests that weren't known. */
const MAX_RESPONSE_STEP = Math.log(4);
/** Deviation from which responses count more than reports; requests that weren't known explain a smaller one. */
const MIN_DISAGREEMENT = Math.log(1.6);
/** Time after which a correction without new responses has lost most of its weight. */
const CORRECTION_DECAY_MS = 20_000;

/** Weight of one observation in the usual pending tokens. */
const PENDING_WEIGHT = 0.1;
/**
 * Share of the usual pending tokens in the expected ones. The reported ones are a few hundred milliseconds old: prompts
 * sent since then are missing, and mostly at servers that everybody prefers. In the simulation with 70 gateways, 0 gave more
 * late requests than 0.2.
 */
const USUAL_PENDING_SHARE = 0.2;

/** A response compared with the expectation. */
export interface ResponseDeviation {
  readonly expectedMs: number;
  /** Logarithm of the measured over the expected time. */
  readonly deviationLog: number;
}

/** Estimates the present work factor of one start of a server. */
export class ServerFactor {
  private readonly start: ServerStart;
  private lastReport = 1;
  private reportedAtMs = -Infinity;
  private reports = 0;
  /** Logarithm of the mean of the reports. */
  private lastingLog = 0;
  /** Mean logarithm of measured over expected times, without the correction. */
  private deviationLog = 0;
  private responses = 0;
  private respondedAtMs = -Infinity;
  private usualPendingTokens = 0;
  /** Factor that was last reported as a notable change. */
  announcedFactor = 1;
  /** Time of the last report or response. */
  updatedAtMs: number;

  constructor({id, startedAtMs}: ServerStart, nowMs: number) {
    this.start = {id, startedAtMs};
    this.updatedAtMs = nowMs;
  }

  /** Returns whether the estimate is that of the given start. */
  isForStart({startedAtMs}: ServerStart): boolean {
    return this.start.startedAtMs === startedAtMs;
  }

  /** Lasting factor as reported by the server alone. */
  get ownLasting(): number {
    return Math.exp(this.lastingLog);
  }

  /** Applies a work factor that the server reported. */
  addReport(workFactor: number, nowMs: number): void {
    this.lastReport = workFactor;
    this.reportedAtMs = nowMs;
    this.updatedAtMs = nowMs;
    const reportLog = Math.log(workFactor);
    if (this.reports === 0) this.announcedFactor = workFactor;
    this.reports += 1;
    const step = reportLog - this.lastingLog;
    const limitedStep = this.reports === 1 ? step : limit(step, MAX_REPORT_STEP);
    this.lastingLog += limitedStep * Math.max(1 / this.reports, MIN_REPORT_WEIGHT);
  }

  /**
   * Applies a response.
   * @param deviation - The time that was expected with the believed factor, and how the measured one deviates.
   */
  addResponse({expectedMs, deviationLog}: ResponseDeviation, nowMs: number): void {
    if (expectedMs < MIN_EVALUATED_MS) return;
    const deviation = deviationLog + this.getCorrectionLog(nowMs);
    this.responses += 1;
    this.respondedAtMs = nowMs;
    this.updatedAtMs = nowMs;
    const weight = Math.max(1 / this.responses, RESPONSE_WEIGHT);
    this.deviationLog += weight * (limit(deviation, MAX_RESPONSE_STEP) - this.deviationLog);
  }

  /** Returns the factor that the server has apart from short changes, which decays to the median without reports. */
  getLasting(medianFactor: number, nowMs: number): number {
    const ownWeight =
      this.reports === 0 ? 0 : getWeight(nowMs - this.reportedAtMs, LASTING_DECAY_MS);
    const lasting = this.lastingLog * ownWeight + Math.log(medianFactor) * (1 - ownWeight);
    return Math.exp(lasting + this.getCorrectionLog(nowMs));
  }

  /** Returns the factor that is expected now. */
  getBelieved(medianFactor: number, nowMs: number): number {
    const lasting = this.getLasting(medianFactor, nowMs);
    if (this.reports === 0) return lasting;
    const weight = getWeight(nowMs - this.reportedAtMs, REPORT_DECAY_MS);
    const reported = this.lastReport * Math.exp(this.getCorrectionLog(nowMs));
    return lasting + weight * (reported - lasting);
  }

  /** Returns the prompt tokens that are probably pending now, given those that were reported. */
  expectPendingTokens(reportedTokens: number): number {
    this.usualPendingTokens += PENDING_WEIGHT * (reportedTokens - this.usualPendingTokens);
    return reportedTokens + USUAL_PENDING_SHARE * (this.usualPendingTokens - reportedTokens);
  }

  /** Returns the logarithm of the factor by which responses contradict the reports; 0 if they don't. */
  private getCorrectionLog(nowMs: number): number {
    if (this.responses < MIN_EVALUATED_RESPONSES) return 0;
    if (Math.abs(this.deviationLog) < MIN_DISAGREEMENT) return 0;
    return this.deviationLog * getWeight(nowMs - this.respondedAtMs, CORRECTION_DECAY_MS);
  }
}

function limit(value: number, largest: number): number {
  return Math.max(-largest, Math.min(largest, value));
}

/** Returns a weight that falls from 1 with the age. */
function getWeight(ageMs: number, decayMs: number): number {
  return Math.exp(-ageMs / decayMs);
}
