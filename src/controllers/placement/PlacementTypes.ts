/** What a placement depends on, and its result. */
import type {KnownServer} from '../../catalog/index.js';
import type {AvailabilityView} from './getAvailability.js';
import type {ServerLoad} from './ServerLoads.js';
import type {SpeedView} from './ServerSpeeds.js';

/** Segment of a prompt that may be in a backend server's prefix cache. */
export interface PromptPart {
  /** Id that the caller sets; equal in all prompts that share the segment. */
  readonly id: string;
  readonly tokens: number;
}

/** The properties of a request on which its placement depends. */
export interface PlacementRequest {
  /** Segments in order; the last one is not shared with other requests. Empty for requests without a prompt. */
  readonly promptParts: readonly PromptPart[];
  /** Ids of the backend servers of earlier attempts. */
  readonly attemptedServerIds: ReadonlySet<string>;
  /** Targets of the request and of those with which it shares servers; undefined if there are none. */
  readonly targets?: PlacementTargets;
}

/** Latency targets by which a placement is judged; 0 for none. */
export interface PlacementTargets {
  /** Target of the request's route. */
  readonly latencyTargetMs: number;
  /** Shortest target of the routes that share the service. */
  readonly shortestTargetMs: number;
  /** Shortest target of those routes for the longest time between two events. */
  readonly shortestPauseMs: number;
}

/** State of the backend servers, as this gateway sees it. */
export interface PlacementView extends AvailabilityView {
  /** Servers that may run the request. */
  readonly servers: readonly KnownServer[];
  /** Returns the load that all gateways put on a server. */
  getLoad(serverId: string): ServerLoad;
  /** Returns the failure rate of recent attempts, from 0 to 1. */
  getFailureRate(serverId: string): number;
  /** Speeds of the servers; undefined if the servers report no work factors. */
  readonly speeds?: SpeedView;
}

/** The chosen backend server, or why none was chosen. */
export type PlacementDecision =
  | {
      readonly kind: 'chosen';
      readonly server: KnownServer;
      /** Prompt tokens that the server is expected to prefill. */
      readonly uncachedTokens: number;
      /** Predicted time until the server starts to run the request. */
      readonly expectedWaitMs: number;
      /** Predicted time until the first event or the head of the response. */
      readonly expectedFirstEventMs: number;
      /** Work factor of the server on which the prediction is based; undefined if its service reports none. */
      readonly workFactor?: number;
    }
  /**
   * `all-tried`: all servers had an earlier attempt; `cold`, `limited`: some others are at their rate limit; `paused`: the
   * others want no requests for some time.
   */
  | {
      readonly kind: 'none';
      readonly reason: 'no-server' | 'all-tried' | 'cold' | 'limited' | 'paused';
      /** Time after which the first of the paused servers wants requests again; undefined for other reasons. */
      readonly retryAfterMs?: number;
    };
