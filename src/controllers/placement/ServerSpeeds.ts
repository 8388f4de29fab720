/** Speed of each backend server: what its service's servers usually need, times the server's present work factor. */
import type {ServerEntry} from '../../catalog/index.js';
import {ServerFactor} from './ServerFactor.js';
import {ServiceSpeed} from './ServiceSpeed.js';

/** Expectation and measurement of the first event of an attempt. */
export interface FirstEventTime {
  /** Prompt tokens that the server was expected to prefill; 0 for requests without a prompt. */
  readonly promptTokens: number;
  /** Time that was expected when the attempt was sent. */
  readonly expectedMs: number;
  /** Work factor with which that was expected. */
  readonly workFactor: number;
  /** Measured time from the sending of the attempt to its first event or the head of its response. */
  readonly tookMs: number;
}

/** Speeds of one service's servers at one time. */
export interface SpeedView {
  /** Prefill speed at a work factor of 1, in tokens per millisecond. */
  readonly promptTokensPerMs: number;
  /** Mean time for which a request with a prompt takes a slot at a work factor of 1; undefined until learned. */
  readonly requestMs: number | undefined;
  /** Mean duration of a request without a prompt at a work factor of 1; undefined until learned. */
  readonly plainMs: number | undefined;
  /** Returns the believed work factor of a server. */
  getFactor(server: ServerEntry): number;
  /** Returns the prompt tokens that are probably pending at a server now, given those that were reported. */
  expectPendingTokens(server: ServerEntry, reportedTokens: number): number;
}

/** Distribution of the believed work factors of a service's servers. */
export interface FactorSummary {
  readonly service: string;
  readonly min: number;
  readonly median: number;
  readonly max: number;
  /** Age of the newest report. */
  readonly ageMs: number;
}

/** A change of a server's believed work factor that operators should know of. */
export interface FactorChange {
  readonly before: number;
  readonly after: number;
}

/** Service state is kept for this time after the last work factor was reported. */
const ACTIVE_MS = 60_000;
/** A server without a report for this time is forgotten; it then has the median of its service. */
const SERVER_RETENTION_MS = 300_000;
/** Interval at which servers are forgotten and the median of the factors is computed. */
const MAINTENANCE_MS = 1_000;
/** Bounds the memory in case a fault registers servers without end. */
const MAX_SERVERS = 10_000;
/** Changes of a believed factor below this ratio aren't reported. */
const MIN_CHANGE_RATIO = 1.5;

interface ServiceState {
  readonly speed: ServiceSpeed;
  /** Time of the last report of any of its servers. */
  reportedAtMs: number;
  /** Median of the lasting factors of its servers, without the corrections by responses. */
  medianFactor: number;
  maintainedAtMs: number;
  readonly factors: Map<string, ServerFactor>;
}

/**
 * Estimates the speed of backend servers from their reports and from the responses that this gateway got. Nothing is
 * kept for services whose servers report no work factor.
 */
export class ServerSpeeds {
  private readonly services = new Map<string, ServiceState>();
  private readonly isKnown: (serverId: string) => boolean;
  private servers = 0;

  /** @param isKnown - Returns whether a server is still registered; others are forgotten. */
  constructor(isKnown: (serverId: string) => boolean) {
    this.isKnown = isKnown;
  }

  /** Returns whether servers of a service report work factors. */
  isActive(service: string, nowMs: number): boolean {
    const state = this.services.get(service);
    return state !== undefined && nowMs - state.reportedAtMs <= ACTIVE_MS;
  }

  /**
   * Applies the work factor that a server reports.
   * @returns How the believed factor has changed, if it has changed much since a change was last returned.
   */
  addReport(server: ServerEntry, workFactor: number, nowMs: number): FactorChange | undefined {
    const state = this.getOrCreateState(server.service, nowMs);
    state.reportedAtMs = nowMs;
    this.maintain(state, nowMs);
    const factor = this.getOrCreateFactor(state, server, nowMs);
    factor.addReport(workFactor, nowMs);
    return getNotableChange(factor, factor.getLasting(state.medianFactor, nowMs));
  }

  /**
   * Compares the first event of an attempt with the expectation: learns the speed of the service, and corrects the
   * factors of servers whose reports disagree with their responses.
   */
  addFirstEvent(
    server: ServerEntry,
    time: FirstEventTime,
    nowMs: number,
  ): FactorChange | undefined {
    const state = this.services.get(server.service);
    if (!state || !this.isActive(server.service, nowMs)) return undefined;
    const factor = this.getOrCreateFactor(state, server, nowMs);
    // A report that came with the response says more of its time than what was believed before.
    const believed = factor.getBelieved(state.medianFactor, nowMs);
    const expectedMs = (time.expectedMs / time.workFactor) * believed;
    const {tookMs, promptTokens} = time;
    if (!(expectedMs > 0) || !(tookMs > 0)) return undefined;
    const isLearned = state.speed.isLearned(promptTokens);
    const deviationLog = state.speed.addFirstEvent({
      promptTokens,
      expectedMs,
      tookMs,
      workFactor: believed,
    });
    // Before the service's speed is known, a deviation isn't that of the server.
    if (isLearned) factor.addResponse({expectedMs, deviationLog}, nowMs);
    return getNotableChange(factor, factor.getLasting(state.medianFactor, nowMs));
  }

  /** Records the time for which a request with a prompt took a slot of a server. */
  addDuration(server: ServerEntry, durationMs: number, nowMs: number): void {
    const state = this.services.get(server.service);
    if (!state || !this.isActive(server.service, nowMs)) return;
    state.speed.addDuration(durationMs / this.getFactor(state, server, nowMs));
  }

  /** Returns the speeds of a service's servers; undefined if none of them reports work factors. */
  getView(service: string, nowMs: number): SpeedView | undefined {
    const state = this.services.get(service);
    if (!state || !this.isActive(service, nowMs)) return undefined;
    this.maintain(state, nowMs);
    return {
      promptTokensPerMs: state.speed.promptTokensPerMs,
      requestMs: state.speed.requestMs,
      plainMs: state.speed.plainMs,
      getFactor: server => this.getFactor(state, server, nowMs),
      expectPendingTokens: (server, reportedTokens) => {
        const factor = state.factors.get(server.id);
        return factor?.isForStart(server)
          ? factor.expectPendingTokens(reportedTokens)
          : reportedTokens;
      },
    };
  }

  /** Returns the believed factors of each active service, for metrics. */
  getSummaries(nowMs: number): readonly FactorSummary[] {
    return [...this.services].flatMap(([service, state]) => {
      if (!this.isActive(service, nowMs) || state.factors.size === 0) return [];
      const factors = [...state.factors.values()]
        .map(factor => factor.getBelieved(state.medianFactor, nowMs))
        .sort((a, b) => a - b);
      const median = getMedian(factors);
      const ageMs = nowMs - state.reportedAtMs;
      return [{service, min: factors[0], median, max: factors[factors.length - 1], ageMs}];
    });
  }

  /** Number of servers of which an estimate is kept. */
  get serverCount(): number {
    return this.servers;
  }

  private getFactor(state: ServiceState, server: ServerEntry, nowMs: number): number {
    const factor = state.factors.get(server.id);
    if (!factor?.isForStart(server)) return state.medianFactor;
    return factor.getBelieved(state.medianFactor, nowMs);
  }

  private getOrCreateState(service: string, nowMs: number): ServiceState {
    const known = this.services.get(service);
    if (known) return known;
    const created: ServiceState = {
      speed: new ServiceSpeed(),
      reportedAtMs: nowMs,
      medianFactor: 1,
      maintainedAtMs: -Infinity,
      factors: new Map(),
    };
    this.services.set(service, created);
    return created;
  }

  /** Returns the estimate of a start of a server; one of an earlier start is replaced. */
  private getOrCreateFactor(state: ServiceState, server: ServerEntry, nowMs: number): ServerFactor {
    const known = state.factors.get(server.id);
    if (known?.isForStart(server)) return known;
    if (known) this.deleteFactor(state, server.id);
    if (this.servers >= MAX_SERVERS) this.deleteOldest();
    const created = new ServerFactor(server, nowMs);
    state.factors.set(server.id, created);
    this.servers += 1;
    return created;
  }

  private deleteFactor(state: ServiceState, serverId: string): void {
    if (state.factors.delete(serverId)) this.servers -= 1;
  }

  private deleteOldest(): void {
    let oldest: {state: ServiceState; id: string; atMs: number} | undefined;
    for (const state of this.services.values()) {
      for (const [id, {updatedAtMs: atMs}] of state.factors) {
        if (!oldest || atMs < oldest.atMs) oldest = {state, id, atMs};
      }
    }
    if (oldest) this.deleteFactor(oldest.state, oldest.id);
  }

  private maintain(state: ServiceState, nowMs: number): void {
    if (nowMs - state.maintainedAtMs < MAINTENANCE_MS) return;
    state.maintainedAtMs = nowMs;
    for (const [id, {updatedAtMs}] of state.factors) {
      const isOld = nowMs - updatedAtMs > SERVER_RETENTION_MS;
      if (isOld || !this.isKnown(id)) this.deleteFactor(state, id);
    }
    if (state.factors.size === 0) return;
    const lasting = [...state.factors.values()].map(factor => factor.ownLasting);
    state.medianFactor = getMedian(lasting.sort((a, b) => a - b));
  }
}

function getNotableChange(factor: ServerFactor, lasting: number): FactorChange | undefined {
  const before = factor.announcedFactor;
  const ratio = Math.max(lasting / before, before / lasting);
  if (ratio <= MIN_CHANGE_RATIO) return undefined;
  factor.announcedFactor = lasting;
  return {before, after: lasting};
}

function getMedian(sorted: readonly number[]): number {
  return sorted[Math.floor(sorted.length / 2)];
}
