/** Seeded traffic of a service with two versions, of which the new one may be faulty. */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {PrefillBand} from '../../../src/blackboard/index.js';
import {getLoadBand, type AttemptSample} from '../../../src/controllers/moves/index.js';
import {MOVE_STARTS_AT_MS, type Disturbance, type MoveRun} from './MoveRun.js';

/** A drawn request, before a version has been chosen for it. */
export interface DrawnRequest {
  readonly entryIndex: number;
  readonly route: string;
  readonly requestClass: string;
}

/** Number of entries; requests are spread over them evenly at random. */
export const ENTRIES = 3;
/** Virtual time in milliseconds at which a run's disturbance begins. */
export const DISTURBANCE_START_MS = 270_000;

const DISTURBANCE_END_MS = 320_000;
const FAULT_DELAY_MS = 120_000;
const MAX_CONCURRENT = 8;
const REQUESTS_PER_SECOND = 40;
const BASE_ERROR_PROBABILITY = 0.003;
const OVERLOAD_ERROR_PROBABILITY = 0.15;
const FAULT_ERROR_PROBABILITY = 0.2;
const SLOWDOWN_FACTOR = 1.7;
const INTER_TOKEN_MS = 20;
const LOG_SIGMA = 0.5;
const LOAD_WAVE_MS = 40_000;
const ROUTES = [
  {route: '/v1/chat/completions', requestClass: 'chat', part: 0.55},
  {route: '/v1/chat/completions', requestClass: 'review', part: 0.1},
  {route: '/v1/completions', requestClass: 'summary', part: 0.35},
] as const;
const PREFILLS: ReadonlyArray<{readonly band: PrefillBand; readonly firstTokenMs: number}> = [
  {band: 'tiny', firstTokenMs: 60},
  {band: 'long', firstTokenMs: 400},
];

/** Draws arrivals, concurrency, errors and latencies from one seeded generator. */
export class ServiceTraffic {
  private readonly run: MoveRun;
  private readonly random: () => number;

  constructor(run: MoveRun) {
    this.run = run;
    const generator = xoroshiro128plus(run.seed);
    this.random = () => uniformFloat64(generator);
  }

  /** Returns the number of requests that arrive in the second that starts at `nowMs`. */
  drawCount(nowMs: number): number {
    const perSecond = this.run.requestsPerSecond ?? REQUESTS_PER_SECOND;
    const wave = 1 + 0.3 * Math.sin(nowMs / LOAD_WAVE_MS);
    return Math.floor(perSecond * wave + this.random());
  }

  /** Draws the entry, route and class of a request. */
  drawRequest(): DrawnRequest {
    const entryIndex = Math.floor(this.random() * ENTRIES);
    const chosen = this.random();
    const [chat, review, summary] = ROUTES;
    if (chosen < chat.part) return {entryIndex, ...chat};
    return {entryIndex, ...(chosen < chat.part + review.part ? review : summary)};
  }

  /**
   * Draws whether a request goes to the new version.
   * @param sharePercent - Traffic share of the new version.
   */
  drawIsNewVersion(sharePercent: number): boolean {
    return this.random() * 100 < sharePercent;
  }

  /** Draws the concurrency per server; it follows a sine wave, and is higher for the new version after it lost servers. */
  drawOpenRequests(isNew: boolean, nowMs: number): number {
    const wave = 3 + 2 * Math.sin(nowMs / LOAD_WAVE_MS);
    const overload = this.isDisturbed('overload', nowMs) ? 4 : 0;
    const lost = isNew && this.isDisturbed('reclaim-wave', nowMs) ? 2 : 0;
    return Math.max(wave + overload + lost + 2 * this.random() - 1, 0);
  }

  /** Returns whether a request to the new version meets its fault. */
  meetsFault(route: string, openRequests: number, nowMs: number): boolean {
    switch (this.run.kind) {
      case 'good':
        return false;
      case 'errors-later':
      case 'slow-first-token-later':
        return nowMs >= MOVE_STARTS_AT_MS + FAULT_DELAY_MS;
      case 'errors-under-load':
        return getLoadBand(openRequests, MAX_CONCURRENT) !== 'low';
      case 'errors-on-one-route':
        return route === '/v1/completions';
      default:
        return true;
    }
  }

  /** Draws outcome and latencies of a request as an entry records them. */
  drawSample(
    {route, requestClass}: DrawnRequest,
    {isNew, isFaulty, openRequests}: RequestConditions,
    nowMs: number,
  ): AttemptSample {
    const {kind, slowdownFactor = SLOWDOWN_FACTOR} = this.run;
    const prefill = PREFILLS[Math.floor(this.random() * PREFILLS.length)];
    const slowFirst = isFaulty && kind.startsWith('slow-first-token') ? slowdownFactor : 1;
    const slowTokens = isFaulty && kind === 'slow-tokens' ? slowdownFactor : 1;
    const loadFactor = 1 + openRequests / MAX_CONCURRENT;
    return {
      service: 'guidance',
      version: isNew ? 'v2' : 'v1',
      route,
      requestClass,
      loadBand: getLoadBand(openRequests, MAX_CONCURRENT),
      prefillBand: prefill.band,
      hasFailed: this.random() < this.getErrorProbability(isFaulty, nowMs),
      firstTokenMs: prefill.firstTokenMs * loadFactor * slowFirst * this.drawNoise(),
      interTokenMs: INTER_TOKEN_MS * loadFactor * slowTokens * this.drawNoise(),
    };
  }

  /** Returns whether the run has this disturbance and it is in progress at `nowMs`. */
  isDisturbed(disturbance: Disturbance, nowMs: number): boolean {
    if (this.run.disturbance !== disturbance) return false;
    return nowMs >= DISTURBANCE_START_MS && nowMs < DISTURBANCE_END_MS;
  }

  private getErrorProbability(isFaulty: boolean, nowMs: number): number {
    const {kind, faultErrorProbability = FAULT_ERROR_PROBABILITY} = this.run;
    const overloadProbability = this.isDisturbed('overload', nowMs)
      ? OVERLOAD_ERROR_PROBABILITY
      : 0;
    const faultProbability = isFaulty && kind.startsWith('errors') ? faultErrorProbability : 0;
    return BASE_ERROR_PROBABILITY + overloadProbability + faultProbability;
  }

  /** Draws a log-normal factor by the Box-Muller transform. */
  private drawNoise(): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.random()));
    return Math.exp(LOG_SIGMA * radius * Math.cos(2 * Math.PI * this.random()));
  }
}

/** The version that a request goes to, and its conditions there. */
export interface RequestConditions {
  readonly isNew: boolean;
  readonly isFaulty: boolean;
  readonly openRequests: number;
}
