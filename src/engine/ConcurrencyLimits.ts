/**
 * Adaptive concurrency limits: how many requests this entry may have open at each backend server, derived from latency.
 */
import type {BackendServer} from '../blackboard/index.js';
import type {Service} from '../configuration/index.js';
import {
  createConcurrencyLimit,
  isLightlyLoaded,
  updateConcurrencyLimit,
  updateBaselineLatency,
  type ConcurrencyLimitState,
  type LatencySample,
  type BaselineLatencyState,
} from '../controllers/admission/index.js';

/** A response of a plain service; there is no predicted latency to compare it with. */
export interface PlainResponseSample {
  readonly route: string;
  readonly observedMs: number;
  /** Requests that this entry had open at the server, including the completed one. */
  readonly openRequests: number;
}

/** Keeps one limit for each backend server, and the usual latency of each route of the plain services. */
export class ConcurrencyLimits {
  private readonly limits = new Map<string, ConcurrencyLimitState>();
  /** Keyed by service and route; bounded by the number of configured routes. */
  private readonly usualLatencies = new Map<string, BaselineLatencyState>();

  /**
   * Returns the limit of a backend server, which may be fractional; undefined before its first response.
   * @param instanceId - Instance of the backend server.
   */
  getLimit(instanceId: string): number | undefined {
    return this.limits.get(instanceId)?.limit;
  }

  /**
   * Updates the limit with the time to first token of an attempt.
   * @param server - Backend server of the attempt.
   * @param service - Service whose `maxConcurrentRequests` bounds the limit.
   * @param sample - Expected and observed time, and the number of open requests.
   */
  addFirstToken({instanceId}: BackendServer, service: Service, sample: LatencySample): void {
    this.limits.set(instanceId, this.computeNextState(instanceId, service, sample));
  }

  /**
   * Updates the limit with the latency of a plain call, compared with the usual latency of its route.
   * @param server - Backend server that responded.
   * @param service - Service whose `maxConcurrentRequests` bounds the limit.
   * @param sample - Route, latency and number of open requests.
   */
  addResponse(
    {instanceId, load}: BackendServer,
    service: Service,
    sample: PlainResponseSample,
  ): void {
    const {route, observedMs, openRequests} = sample;
    const otherRequests = Math.max(openRequests, load?.runningRequests ?? 0) - 1;
    const utilisation = Math.max(0, otherRequests) / service.maxConcurrentRequests;
    const key = `${service.name} ${route}`;
    const usual = updateBaselineLatency(this.usualLatencies.get(key), {observedMs, utilisation});
    this.usualLatencies.set(key, usual);
    const previous = this.limits.get(instanceId);
    const next = this.computeNextState(instanceId, service, {
      expectedMs: usual.meanMs,
      observedMs,
      openRequests,
    });
    // Latency under load says nothing about the server's baseline, so its usual ratio, like the route's usual latency,
    // is learned under light load.
    const {baselineRatio} = previous && !isLightlyLoaded(utilisation) ? previous : next;
    this.limits.set(instanceId, {...next, baselineRatio});
  }

  /**
   * Discards the limit of a backend server.
   * @param instanceId - Instance of the backend server.
   */
  removeServer(instanceId: string): void {
    this.limits.delete(instanceId);
  }

  private computeNextState(
    instanceId: string,
    service: Service,
    sample: LatencySample,
  ): ConcurrencyLimitState {
    const bounds = {minLimit: 1, maxLimit: service.maxConcurrentRequests};
    const previous = this.limits.get(instanceId) ?? createConcurrencyLimit(bounds);
    return updateConcurrencyLimit(previous, sample, bounds);
  }
}
