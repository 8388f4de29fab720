/** Estimates from the load of a service how many backend servers it needs. */

import {PromptWait, type WaitPressure} from './PromptWait.js';

/** Load of a service over all gateways. */
export interface ServiceLoad {
  /** Requests that are open at its servers, queued ones included. */
  readonly openRequests: number;
  /** Prompt tokens per second that its servers are expected to prefill. */
  readonly promptTokensPerSecond: number;
  /** Prompt tokens of its requests whose first event is still awaited. */
  readonly pendingPromptTokens: number;
}

/** Load and servers of one service. */
export interface NeedView {
  readonly load: ServiceLoad;
  /** Requests that a server runs at once. */
  readonly slotsPerServer: number;
  /** Servers that accept requests. */
  readonly availableServers: number;
  /** Failure domains among which the servers are divided. */
  readonly failureDomains: number;
  /** Target time to the first event of its requests; 0 if there is none. */
  readonly latencyTargetMs: number;
}

/** Prompt tokens that a model engine prefills in a second. */
const PREFILL_TOKENS_PER_SECOND = 100_000;
/** Share of its prefill rate that a server is meant to use on average, so that bursts don't queue for long. */
const PREFILL_UTILIZATION = 0.4;
/** Share of its slots that a server is meant to use; above, bursts are rejected. */
const SLOT_UTILIZATION = 0.6;
/** Time for which the highest need is kept: a server returned in a lull takes seconds to boot and to warm up again. */
const PEAK_RETENTION_MS = 45_000;
/** Load that is observed for less time is no reason to return servers. */
const OBSERVATION_MS = 30_000;
/** Time after which the load is known well enough to replace lost servers by fewer ones, and for which it counts. */
const GAP_OBSERVATION_MS = 10_000;
/** Time without new servers after which those provided at first are taken to be complete. */
const REGISTRATION_MS = 2_500;

/**
 * Factor on the estimate by the load for servers that fill a gap: they have no cached prefixes at first, and must carry
 * bursts without the spares of a full fleet.
 */
const GAP_FACTOR = 3;
/** Factor on the servers while requests wait too long. */
const TOO_FEW_FACTOR = 1.3;
/** Share by which the need falls in a second: the rest must show first that it carries the load with its own caches. */
const DECLINE_PER_SECOND = 0.05;
const MS_PER_SECOND = 1_000;

/** Servers that a service needs, without spares. */
export interface ServerNeed {
  /** Servers for a fleet at the lowest price per server. */
  readonly servers: number;
  /** At most `servers`: those that fill a gap, with a margin for cold caches and bursts. */
  readonly leastServers: number;
  /** Those that carry the recent load, without any margin. */
  readonly loadServers: number;
}

interface NeedSample {
  readonly atMs: number;
  readonly needed: number;
  /** Estimate of `leastServers`. */
  readonly least: number;
  readonly byLoad: number;
}

/** Tracks the need of one service. */
export class NeededServers {
  private providedServers = 0;
  private providedAtMs: number | undefined;
  private loadedSinceMs: number | undefined;
  private samples: NeedSample[] = [];
  private readonly promptWait = new PromptWait();
  /** The need returned last, which falls only gradually. */
  private latest: {readonly atMs: number; readonly needed: number} | undefined;

  /**
   * Returns the servers that the service needs to carry its load, without spares. Until the load has been observed for
   * some time, these are the servers that were provided, less the spares for the loss of one domain. After that the
   * estimate is corrected by how long prompts wait, since the speed of the servers isn't known.
   * @param view - Current load and servers.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  update(view: NeedView, nowMs: number): ServerNeed {
    const {load, latencyTargetMs} = view;
    if (load.openRequests > 0) this.loadedSinceMs ??= nowMs;
    const pressure = this.promptWait.update({...load, latencyTargetMs}, nowMs);
    this.samples = this.samples.filter(({atMs}) => nowMs - atMs <= PEAK_RETENTION_MS);
    this.samples.push({
      atMs: nowMs,
      needed: this.estimateNeeded(view, pressure, nowMs),
      least: estimateLeast(view, pressure),
      byLoad: estimateByLoad(view),
    });
    const peak = Math.max(...this.samples.map(({needed}) => needed));
    const servers = this.isObserved(nowMs)
      ? Math.max(peak, this.getDeclinedNeed(nowMs))
      : this.getProvided(view, peak, nowMs);
    this.latest = {atMs: nowMs, needed: servers};
    if (!this.isObserved(nowMs, GAP_OBSERVATION_MS)) {
      return {servers, leastServers: servers, loadServers: servers};
    }
    const recent = this.samples.filter(({atMs}) => nowMs - atMs <= GAP_OBSERVATION_MS);
    return {
      servers,
      leastServers: Math.min(servers, Math.max(...recent.map(({least}) => least))),
      loadServers: Math.max(...recent.map(({byLoad}) => byLoad)),
    };
  }

  /** Returns the estimate by the load, or by the present servers if requests wait for long. */
  private estimateNeeded(view: NeedView, pressure: WaitPressure, nowMs: number): number {
    const {availableServers, failureDomains} = view;
    const byLoad = estimateByLoad(view);
    if (pressure === 'unknown-or-more' || !this.isObserved(nowMs)) return byLoad;
    const present = availableServers * getUsableShare(failureDomains);
    return Math.max(byLoad, pressure === 'too-few' ? present * TOO_FEW_FACTOR : present);
  }

  /** Returns the lowest need to which the latest one may fall by now. */
  private getDeclinedNeed(nowMs: number): number {
    if (!this.latest) return 0;
    const seconds = (nowMs - this.latest.atMs) / MS_PER_SECOND;
    return this.latest.needed * (1 - DECLINE_PER_SECOND) ** seconds;
  }

  private getProvided(
    {availableServers, failureDomains}: NeedView,
    peak: number,
    nowMs: number,
  ): number {
    const hasMore = availableServers > this.providedServers && !this.isKnown(nowMs);
    if (this.providedAtMs === undefined || hasMore) {
      this.providedServers = availableServers;
      this.providedAtMs = nowMs;
    }
    return Math.max(peak, this.providedServers * getUsableShare(failureDomains));
  }

  /**
   * Returns whether the need is known: there is load, or all servers that were provided at first have registered.
   * Orders before that would return servers that are only about to register.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  isKnown(nowMs: number): boolean {
    if (this.loadedSinceMs !== undefined) return true;
    return this.providedAtMs !== undefined && nowMs - this.providedAtMs >= REGISTRATION_MS;
  }

  private isObserved(nowMs: number, forMs = OBSERVATION_MS): boolean {
    return this.loadedSinceMs !== undefined && nowMs - this.loadedSinceMs >= forMs;
  }
}

/** Returns the share of evenly divided servers that is left after the loss of one failure domain. */
export function getUsableShare(failureDomains: number): number {
  return failureDomains <= 1 ? 1 : (failureDomains - 1) / failureDomains;
}

/** Returns the servers without which requests wait too long, now and not only on average. */
function estimateLeast(view: NeedView, pressure: WaitPressure): number {
  const {availableServers} = view;
  const byLoad = estimateByLoad(view) * GAP_FACTOR;
  return pressure === 'too-few' ? Math.max(byLoad, availableServers * TOO_FEW_FACTOR) : byLoad;
}

function estimateByLoad({load, slotsPerServer}: NeedView): number {
  const {openRequests, promptTokensPerSecond} = load;
  return Math.max(
    openRequests / (Math.max(1, slotsPerServer) * SLOT_UTILIZATION),
    promptTokensPerSecond / (PREFILL_TOKENS_PER_SECOND * PREFILL_UTILIZATION),
  );
}
