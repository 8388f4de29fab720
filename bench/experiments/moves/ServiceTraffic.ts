/** Seeded requests to a service of two versions, of which the new one may have a fault. */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {PrefillBand} from '../../../src/blackboard/index.js';
import {getLoadBand, type TrySample} from '../../../src/controllers/moves/index.js';
import {MOVE_STARTS_AT_MS, type Disturbance, type MoveRun} from './MoveRun.js';

/** A request on its way to a version. */
export interface ArrivedRequest {
  readonly entryIndex: number;
  readonly route: string;
  readonly requestClass: string;
}

/** Entries that requests are spread over. */
export const ENTRIES = 3;
/** Instant at which a run's disturbance begins. */
export const DISTURBED_FROM_MS = 270_000;

const DISTURBED_TO_MS = 320_000;
const LATER_MS = 120_000;
const MAX_CONCURRENT = 8;
const REQUESTS_PER_SECOND = 40;
const BASE_ERROR_PART = 0.003;
const OVERLOAD_ERROR_PART = 0.15;
const FAULT_ERROR_PART = 0.2;
const SLOWDOWN_FACTOR = 1.7;
const INTER_TOKEN_MS = 20;
const LOG_SIGMA = 0.5;
const WAVE_MS = 40_000;
const ROUTES = [
  {route: '/v1/chat/completions', requestClass: 'chat', part: 0.55},
  {route: '/v1/chat/completions', requestClass: 'review', part: 0.1},
  {route: '/v1/completions', requestClass: 'summary', part: 0.35},
] as const;
const PREFILLS: ReadonlyArray<{readonly band: PrefillBand; readonly firstTokenMs: number}> = [
  {band: 'tiny', firstTokenMs: 60},
  {band: 'long', firstTokenMs: 400},
];

/** Draws requests and what becomes of them. */
export class ServiceTraffic {
  private readonly run: MoveRun;
  private readonly random: () => number;

  constructor(run: MoveRun) {
    this.run = run;
    const generator = xoroshiro128plus(run.seed);
    this.random = () => uniformFloat64(generator);
  }

  /** Returns how many requests arrive in the second from `nowMs` on. */
  drawCount(nowMs: number): number {
    const perSecond = this.run.requestsPerSecond ?? REQUESTS_PER_SECOND;
    const wave = 1 + 0.3 * Math.sin(nowMs / WAVE_MS);
    return Math.floor(perSecond * wave + this.random());
  }

  /** Returns a request. */
  drawRequest(): ArrivedRequest {
    const entryIndex = Math.floor(this.random() * ENTRIES);
    const chosen = this.random();
    const [chat, review, summary] = ROUTES;
    if (chosen < chat.part) return {entryIndex, ...chat};
    return {entryIndex, ...(chosen < chat.part + review.part ? review : summary)};
  }

  /**
   * Returns whether the new version is drawn.
   * @param sharePercent - Its share.
   */
  drawIsNew(sharePercent: number): boolean {
    return this.random() * 100 < sharePercent;
  }

  /** Load rises with the waves, for both versions alike, and more for a version that lost servers. */
  drawOpenRequests(isNew: boolean, nowMs: number): number {
    const wave = 3 + 2 * Math.sin(nowMs / WAVE_MS);
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
        return nowMs >= MOVE_STARTS_AT_MS + LATER_MS;
      case 'errors-under-load':
        return getLoadBand(openRequests, MAX_CONCURRENT) !== 'low';
      case 'errors-on-one-route':
        return route === '/v1/completions';
      default:
        return true;
    }
  }

  /** Returns what an entry sees of a request. */
  drawSample(
    {route, requestClass}: ArrivedRequest,
    {isNew, isFaulty, openRequests}: VersionChoice,
    nowMs: number,
  ): TrySample {
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
      hasFailed: this.random() < this.getErrorPart(isFaulty, nowMs),
      firstTokenMs: prefill.firstTokenMs * loadFactor * slowFirst * this.drawNoise(),
      interTokenMs: INTER_TOKEN_MS * loadFactor * slowTokens * this.drawNoise(),
    };
  }

  /** Returns whether a disturbance is under way. */
  isDisturbed(disturbance: Disturbance, nowMs: number): boolean {
    if (this.run.disturbance !== disturbance) return false;
    return nowMs >= DISTURBED_FROM_MS && nowMs < DISTURBED_TO_MS;
  }

  private getErrorPart(isFaulty: boolean, nowMs: number): number {
    const {kind, faultErrorPart = FAULT_ERROR_PART} = this.run;
    const overloadPart = this.isDisturbed('overload', nowMs) ? OVERLOAD_ERROR_PART : 0;
    const faultPart = isFaulty && kind.startsWith('errors') ? faultErrorPart : 0;
    return BASE_ERROR_PART + overloadPart + faultPart;
  }

  /** Log-normal noise from two uniform draws. */
  private drawNoise(): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.random()));
    return Math.exp(LOG_SIGMA * radius * Math.cos(2 * Math.PI * this.random()));
  }
}

/** The version that a request goes to, and what it meets there. */
export interface VersionChoice {
  readonly isNew: boolean;
  readonly isFaulty: boolean;
  readonly openRequests: number;
}
