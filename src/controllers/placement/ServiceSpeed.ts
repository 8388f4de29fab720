/** What the servers of one service usually need for their work, learned from responses of all of them. */
import {ASSUMED_PROMPT_TOKENS_PER_MS} from './scoreConstants.js';

/** A first event, with the expectation by what is known of its server now. */
export interface MeasuredTime {
  /** 0 for requests without a prompt. */
  readonly promptTokens: number;
  /** Time that is expected with `workFactor`. */
  readonly expectedMs: number;
  readonly tookMs: number;
  /** Estimated work factor of the server. */
  readonly workFactor: number;
}

/** Shortest prompt that measures the speed; transmission and decoding matter more in a shorter one. */
const MIN_MEASURED_TOKENS = 2_000;
/** Step of the speed's logarithm at the first measurement; the n-th has an n-th of it. */
const FIRST_SPEED_STEP = 0.4;
/** Least step, so that the estimate follows a lasting change of the speed. */
const MIN_SPEED_STEP = 0.01;
/** Measurements after which the speed is taken as known. */
const LEARNED_AFTER = 8;
/** Bounds of the speed, relative to the assumed one. */
const MAX_SPEED_RATIO = 50;
/** Least weight of a duration in its mean; until then all durations have the same weight. */
const MIN_DURATION_WEIGHT = 0.02;
/** Weight of a response without a prompt in their mean deviation. */
const DEVIATION_WEIGHT = 0.02;

/** Learns the prefill speed and the mean durations of requests at a work factor of 1. */
export class ServiceSpeed {
  private speedLog = Math.log(ASSUMED_PROMPT_TOKENS_PER_MS);
  private measurements = 0;
  private plainResponses = 0;
  /**
   * Mean deviation of requests without a prompt. It isn't 0: their expectation is a mean duration, and the mean logarithm
   * of durations is less than the logarithm of their mean.
   */
  private plainDeviationLog = 0;
  private readonly plain = new MeanDuration();
  private readonly requests = new MeanDuration();

  /** Prefill speed in tokens per millisecond. */
  get promptTokensPerMs(): number {
    return Math.exp(this.speedLog);
  }

  /** Returns whether enough responses to requests with or without a prompt have been measured. */
  isLearned(promptTokens: number): boolean {
    return (promptTokens === 0 ? this.plainResponses : this.measurements) >= LEARNED_AFTER;
  }

  /** Mean duration of requests without a prompt; undefined before the first one. */
  get plainMs(): number | undefined {
    return this.plain.meanMs;
  }

  /** Mean time for which requests with a prompt take a slot; undefined before the first one. */
  get requestMs(): number | undefined {
    return this.requests.meanMs;
  }

  /** Learns from a first event; returns the logarithm of its deviation from what is usual for the service. */
  addFirstEvent(time: MeasuredTime): number {
    const deviationLog = Math.log(time.tookMs / time.expectedMs);
    if (time.promptTokens > 0) {
      this.addPrompt(time.promptTokens, -deviationLog);
      return deviationLog;
    }
    this.plainResponses += 1;
    this.plain.add(time.tookMs / time.workFactor);
    const weight = Math.max(1 / this.plainResponses, DEVIATION_WEIGHT);
    this.plainDeviationLog += weight * (deviationLog - this.plainDeviationLog);
    return deviationLog - this.plainDeviationLog;
  }

  /** Adds the time for which a request with a prompt took a slot, at a work factor of 1. */
  addDuration(durationMs: number): void {
    this.requests.add(durationMs);
  }

  /**
   * Moves the speed a step towards a measurement. The steps depend only on the sign of the deviation and lead to the
   * median, which responses that waited for unknown requests hardly change.
   */
  private addPrompt(promptTokens: number, fasterLog: number): void {
    if (promptTokens < MIN_MEASURED_TOKENS) return;
    this.measurements += 1;
    const step = Math.max(FIRST_SPEED_STEP / this.measurements, MIN_SPEED_STEP);
    const moved = this.speedLog + Math.sign(fasterLog) * Math.min(step, Math.abs(fasterLog));
    const assumedLog = Math.log(ASSUMED_PROMPT_TOKENS_PER_MS);
    const maxRatioLog = Math.log(MAX_SPEED_RATIO);
    this.speedLog = Math.min(assumedLog + maxRatioLog, Math.max(assumedLog - maxRatioLog, moved));
  }
}

/** Moving mean of durations. */
class MeanDuration {
  private count = 0;
  private mean = 0;

  get meanMs(): number | undefined {
    return this.count === 0 ? undefined : this.mean;
  }

  add(durationMs: number): void {
    this.count += 1;
    this.mean += Math.max(1 / this.count, MIN_DURATION_WEIGHT) * (durationMs - this.mean);
  }
}
