/** A model of a service under a version move in virtual time: seeded versions, load, entries with brakes, one holder. */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {Move, PrefillBand, VersionEvidence} from '../../src/blackboard/index.js';
import {
  decideLocalBrake,
  decideMove,
  EVIDENCE_KEPT_MS,
  EVIDENCE_WINDOW_MS,
  EvidenceRecorder,
  getLoadBand,
  isWindowFinal,
  mergeEvidence,
} from '../../src/controllers/moves/index.js';
import {FleetFold, isMoveEnded} from '../../src/folds/index.js';
import type {LogBody, LogBodyOf} from '../../src/records/index.js';
import {claim} from './fleetRecords.js';

/** What is wrong with a version; nothing where it is good. */
export type VersionKind =
  | 'good'
  | 'errors-at-once'
  | 'errors-later'
  | 'errors-under-load'
  | 'errors-on-one-route'
  | 'slow-first-token'
  | 'slow-first-token-later'
  | 'slow-tokens';

/** What else happens during a move. */
export type Disturbance = 'none' | 'overload' | 'reclaim-wave' | 'holder-killed';

/** A seeded run. */
export interface MoveRun {
  readonly kind: VersionKind;
  readonly disturbance: Disturbance;
  readonly seed: number;
  readonly deadlineMs?: number;
  readonly requestsPerSecond?: number;
}

/** How a run ended. */
export interface MoveRunResult {
  readonly move: Move;
  readonly endedAtMs: number;
  readonly requests: number;
  /** Requests that met the new version's fault. */
  readonly faultyRequests: number;
  /** Instant of the first one; undefined where none met it. */
  readonly firstFaultAtMs: number | undefined;
  /** Requests to the new version later than 10 s after the first one that met the fault. */
  readonly requestsAfterFault: number;
  readonly largestSharePercent: number;
  /** The move's steps as written. */
  readonly steps: ReadonlyArray<LogBodyOf<'move-step'>>;
}

const ENTRIES = 3;
const TICK_MS = 1_000;
const DECISION_MS = 2_000;
const MAX_CONCURRENT = 8;
const BRAKE_MS = 60_000;
const FAULT_SHOWS_MS = 10_000;
const DISTURBED_FROM_MS = 270_000;
const DISTURBED_TO_MS = 320_000;
const LATER_MS = 120_000;
const EVIDENCE_LAG_MS = 2_000;
const BASE_ERROR_PART = 0.003;
const FAULT_ERROR_PART = 0.2;
const SLOWDOWN = 1.7;
const LOG_SIGMA = 0.5;
const ROUTES = [
  {route: '/v1/chat/completions', requestClass: 'chat', part: 0.55},
  {route: '/v1/chat/completions', requestClass: 'review', part: 0.1},
  {route: '/v1/completions', requestClass: 'summary', part: 0.35},
] as const;
const PREFILLS: ReadonlyArray<{readonly band: PrefillBand; readonly firstTokenMs: number}> = [
  {band: 'tiny', firstTokenMs: 60},
  {band: 'long', firstTokenMs: 400},
];

/** Runs one move to its end. */
export class MoveModel {
  private readonly run: MoveRun;
  private readonly random: () => number;
  private readonly fold = new FleetFold();
  private readonly entries = Array.from({length: ENTRIES}, () => new EvidenceRecorder());
  private readonly brakedUntilMs = new Array<number>(ENTRIES).fill(0);
  private readonly steps: Array<LogBodyOf<'move-step'>> = [];
  private offset = 0;
  private holderSinceMs = 0;
  private finalEvidence: readonly VersionEvidence[] = [];
  private finalToMs = 0;
  private requests = 0;
  private faultyRequests = 0;
  private requestsAfterFault = 0;
  private largestSharePercent = 0;
  private firstFaultAtMs: number | undefined;

  constructor(run: MoveRun) {
    this.run = run;
    const generator = xoroshiro128plus(run.seed);
    this.random = () => uniformFloat64(generator);
  }

  /** Returns how the move ended. */
  getResult(): MoveRunResult {
    const startMs = 60_000;
    const deadlineAtMs = startMs + (this.run.deadlineMs ?? 420_000);
    this.append(claim('holder-1', -1));
    for (let nowMs = 0; nowMs < startMs; nowMs += TICK_MS) this.sendRequests(nowMs);
    this.append(createRequest(startMs, deadlineAtMs));
    let nowMs = startMs;
    while (!isMoveEnded(this.getMove())) {
      this.sendRequests(nowMs);
      if (nowMs % DECISION_MS === 0) {
        this.brakeEntries(nowMs);
        this.runHolder(nowMs);
      }
      nowMs += TICK_MS;
    }
    return {
      move: this.getMove(),
      endedAtMs: nowMs,
      requests: this.requests,
      faultyRequests: this.faultyRequests,
      firstFaultAtMs: this.firstFaultAtMs,
      requestsAfterFault: this.requestsAfterFault,
      largestSharePercent: this.largestSharePercent,
      steps: this.steps,
    };
  }

  private runHolder(nowMs: number): void {
    if (this.run.disturbance === 'holder-killed' && nowMs === DISTURBED_FROM_MS) {
      this.holderSinceMs = nowMs + 8_000;
      this.finalEvidence = [];
      this.finalToMs = 0;
      this.append(claim('holder-2', this.fold.getLease().newestOffset));
    }
    if (nowMs < this.holderSinceMs) return;
    const evidence = this.collectEvidence(nowMs);
    const view = {move: this.getMove(), evidence, readyPercent: this.getReadyPercent(nowMs)};
    for (const effect of decideMove(view, nowMs).effects) {
      const {moveId, phase, sharePercent, reason} = effect;
      const fencingToken = this.fold.getLease().fencingToken;
      this.largestSharePercent = Math.max(this.largestSharePercent, sharePercent);
      const decidedAtMs = nowMs;
      const body = {moveId, fencingToken, phase, sharePercent, decidedAtMs, reason};
      this.steps.push({kind: 'move-step', ...body});
      this.append({kind: 'move-step', ...body});
    }
  }

  /** A new holder has only what the entries still keep. */
  private collectEvidence(nowMs: number): readonly VersionEvidence[] {
    const fresh = this.entries
      .flatMap(entry => entry.getEvidence(nowMs - EVIDENCE_KEPT_MS + EVIDENCE_WINDOW_MS))
      .filter(window => window.windowStartMs <= nowMs - EVIDENCE_LAG_MS);
    const isFinal = (window: VersionEvidence) => isWindowFinal(window, nowMs);
    const newlyFinal = fresh.filter(
      window => isFinal(window) && window.windowStartMs >= this.finalToMs,
    );
    this.finalToMs = Math.max(this.finalToMs, ...newlyFinal.map(one => one.windowStartMs + 1));
    this.finalEvidence = mergeEvidence([...this.finalEvidence, ...newlyFinal], nowMs);
    return [
      ...this.finalEvidence,
      ...mergeEvidence(
        fresh.filter(one => !isFinal(one)),
        nowMs,
      ),
    ];
  }

  private brakeEntries(nowMs: number): void {
    this.entries.forEach((entry, index) => {
      if (
        decideLocalBrake(entry.getEvidence(nowMs - BRAKE_MS), this.getMove(), nowMs) === undefined
      )
        return;
      this.brakedUntilMs[index] = nowMs + BRAKE_MS;
    });
  }

  private sendRequests(nowMs: number): void {
    const perSecond = this.run.requestsPerSecond ?? 40;
    const wave = 1 + 0.3 * Math.sin(nowMs / 40_000);
    const count = Math.floor(perSecond * wave + this.random());
    for (let request = 0; request < count; request++) this.sendRequest(nowMs);
  }

  private sendRequest(nowMs: number): void {
    const entryIndex = Math.floor(this.random() * ENTRIES);
    const chosen = this.random();
    const subject =
      chosen < ROUTES[0].part
        ? ROUTES[0]
        : chosen < ROUTES[0].part + ROUTES[1].part
          ? ROUTES[1]
          : ROUTES[2];
    const isNew = this.isSentToNew(entryIndex, nowMs);
    const openRequests = this.getOpenRequests(isNew, nowMs);
    const isFaulty = isNew && this.meetsFault(subject.route, openRequests, nowMs);
    if (isNew) this.noteNewRequest(isFaulty, nowMs);
    const prefill = PREFILLS[Math.floor(this.random() * PREFILLS.length)];
    const slowFirst = isFaulty && this.run.kind.startsWith('slow-first-token') ? SLOWDOWN : 1;
    const slowTokens = isFaulty && this.run.kind === 'slow-tokens' ? SLOWDOWN : 1;
    const loadFactor = 1 + openRequests / MAX_CONCURRENT;
    this.entries[entryIndex].addTry(
      {
        service: 'guidance',
        version: isNew ? 'v2' : 'v1',
        route: subject.route,
        requestClass: subject.requestClass,
        loadBand: getLoadBand(openRequests, MAX_CONCURRENT),
        prefillBand: prefill.band,
        hasFailed: this.random() < this.getErrorPart(isFaulty, nowMs),
        firstTokenMs: prefill.firstTokenMs * loadFactor * slowFirst * this.getNoise(),
        interTokenMs: 20 * loadFactor * slowTokens * this.getNoise(),
      },
      nowMs,
    );
  }

  private isSentToNew(entryIndex: number, nowMs: number): boolean {
    const move = this.fold.getMoves()[0];
    if (!move || isMoveEnded(move) || nowMs < this.brakedUntilMs[entryIndex]) return false;
    return this.random() * 100 < move.sharePercent;
  }

  /** Load rises with the waves, for both versions alike, and more for a version that lost servers. */
  private getOpenRequests(isNew: boolean, nowMs: number): number {
    const wave = 3 + 2 * Math.sin(nowMs / 40_000);
    const overload = this.isDisturbed('overload', nowMs) ? 4 : 0;
    const lost = isNew && this.isDisturbed('reclaim-wave', nowMs) ? 2 : 0;
    return Math.max(wave + overload + lost + 2 * this.random() - 1, 0);
  }

  private meetsFault(route: string, openRequests: number, nowMs: number): boolean {
    switch (this.run.kind) {
      case 'good':
        return false;
      case 'errors-later':
      case 'slow-first-token-later':
        return nowMs >= 60_000 + LATER_MS;
      case 'errors-under-load':
        return getLoadBand(openRequests, MAX_CONCURRENT) !== 'low';
      case 'errors-on-one-route':
        return route === '/v1/completions';
      default:
        return true;
    }
  }

  private noteNewRequest(isFaulty: boolean, nowMs: number): void {
    this.requests += 1;
    if (isFaulty) {
      this.faultyRequests += 1;
      this.firstFaultAtMs ??= nowMs;
    }
    if (this.firstFaultAtMs === undefined) return;
    if (nowMs > this.firstFaultAtMs + FAULT_SHOWS_MS) this.requestsAfterFault += 1;
  }

  private getErrorPart(isFaulty: boolean, nowMs: number): number {
    const overloadPart = this.isDisturbed('overload', nowMs) ? 0.15 : 0;
    const faultPart = isFaulty && this.run.kind.startsWith('errors') ? FAULT_ERROR_PART : 0;
    return BASE_ERROR_PART + overloadPart + faultPart;
  }

  private getReadyPercent(nowMs: number): number {
    return this.isDisturbed('reclaim-wave', nowMs) ? 40 : 100;
  }

  private isDisturbed(disturbance: Disturbance, nowMs: number): boolean {
    if (this.run.disturbance !== disturbance) return false;
    return nowMs >= DISTURBED_FROM_MS && nowMs < DISTURBED_TO_MS;
  }

  /** Log-normal noise from two uniform draws. */
  private getNoise(): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.random()));
    return Math.exp(LOG_SIGMA * radius * Math.cos(2 * Math.PI * this.random()));
  }

  private getMove(): Move {
    const [move] = this.fold.getMoves();
    if (!move) throw new Error('no move was requested');
    return move;
  }

  private append(body: LogBody): void {
    const offset = this.offset++;
    this.fold.applyRecord({offset, record: {writer: 'w', sequence: offset + 1, body}});
  }
}

function createRequest(requestedAtMs: number, deadlineAtMs: number): LogBody {
  return {
    kind: 'move-request',
    moveId: 'm1',
    service: 'guidance',
    fromVersion: 'v1',
    toVersion: 'v2',
    requestedAtMs,
    deadlineAtMs,
    requestedBy: 'operator',
  };
}
