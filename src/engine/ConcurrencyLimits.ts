/** The limits that latency sets to the requests that this entry has open at each backend server. */
import type {BackendServer} from '../blackboard/index.js';
import type {Service} from '../configuration/index.js';
import {
  createConcurrencyLimit,
  isLightUse,
  updateConcurrencyLimit,
  updateUsualLatency,
  type ConcurrencyLimitState,
  type LatencySample,
  type UsualLatencyState,
} from '../controllers/admission/index.js';

/** An answer of a plain service, which has no prediction of its own. */
export interface PlainSample {
  readonly route: string;
  readonly observedMs: number;
  /** Requests that this entry had open, the answered one among them. */
  readonly openRequests: number;
}

/** Keeps one limit a backend server, and the usual latency of each route of the plain services. */
export class ConcurrencyLimits {
  private readonly limits = new Map<string, ConcurrencyLimitState>();
  /** By service and route; as many as are configured. */
  private readonly usualLatencies = new Map<string, UsualLatencyState>();

  /**
   * Returns the limit of a backend server; undefined before its first answer.
   * @param instanceId - The backend server.
   */
  getLimit(instanceId: string): number | undefined {
    return this.limits.get(instanceId)?.limit;
  }

  /**
   * Takes the first token of a try.
   * @param server - The backend server.
   * @param service - Its service.
   * @param sample - When it came, and when it was expected.
   */
  addFirstToken({instanceId}: BackendServer, service: Service, sample: LatencySample): void {
    this.limits.set(instanceId, this.getNext(instanceId, service, sample));
  }

  /**
   * Takes the answer of a plain call, against what is usual for its route.
   * @param server - The backend server.
   * @param service - Its service.
   * @param sample - The answer.
   */
  addAnswer({instanceId, load}: BackendServer, service: Service, sample: PlainSample): void {
    const {route, observedMs, openRequests} = sample;
    const others = Math.max(openRequests, load?.runningRequests ?? 0) - 1;
    const usedPart = Math.max(0, others) / service.maxConcurrentRequests;
    const key = `${service.name} ${route}`;
    const usual = updateUsualLatency(this.usualLatencies.get(key), {observedMs, usedPart});
    this.usualLatencies.set(key, usual);
    const before = this.limits.get(instanceId);
    const next = this.getNext(instanceId, service, {
      expectedMs: usual.meanMs,
      observedMs,
      openRequests,
    });
    // What a loaded server shows is not usual for it: its ratio is learned in light use, as the route's latency is.
    const {usualRatio} = before && !isLightUse(usedPart) ? before : next;
    this.limits.set(instanceId, {...next, usualRatio});
  }

  /**
   * Forgets a backend server.
   * @param instanceId - The backend server.
   */
  removeServer(instanceId: string): void {
    this.limits.delete(instanceId);
  }

  private getNext(
    instanceId: string,
    service: Service,
    sample: LatencySample,
  ): ConcurrencyLimitState {
    const bounds = {minLimit: 1, maxLimit: service.maxConcurrentRequests};
    const before = this.limits.get(instanceId) ?? createConcurrencyLimit(bounds);
    return updateConcurrencyLimit(before, sample, bounds);
  }
}
