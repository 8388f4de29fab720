/** Faults that can be injected into running stand-ins with `PUT /standin/faults`. */
import {z} from 'zod';

const badVersionSchema = z.strictObject({
  /** `fail` responds with status 500; `slow` slows requests down by `slowdownFactor`. */
  effect: z.enum(['fail', 'slow']),
  /** Percentage of requests affected. */
  percent: z.number().min(0).max(100).default(100),
  /** Delay from the injection of the fault until it takes effect. */
  afterMs: z.number().int().min(0).default(0),
  /** Minimum number of open requests for the fault to take effect. */
  minRunningRequests: z.number().int().min(0).default(0),
  /** Prefix of the affected paths; absent for all paths. */
  pathPrefix: z.string().optional(),
  /** Factor by which a request takes longer. */
  slowdownFactor: z.number().min(1).default(5),
});

const refusedOfferSchema = z.strictObject({
  // An absent field matches every value.
  failureDomain: z.string().optional(),
  machineClass: z.string().optional(),
  market: z.enum(['reclaimable', 'on-demand']).optional(),
});

/** Schema of the body of `PUT /standin/faults`; absent faults are off. */
export const faultsSchema = z.strictObject({
  /** Accepts connections but never responds. */
  isFrozen: z.boolean().default(false),
  /** Connections that are open when the fault is injected stall permanently; new connections work. */
  silenceOpenConnections: z.boolean().default(false),
  /** Percentage of state-changing calls that take effect but whose response is lost. */
  loseAnswersPercent: z.number().min(0).max(100).default(0),
  /** Delay before each call is handled. */
  slowByMs: z.number().int().min(0).default(0),
  /** Percentage of calls rejected with status 503 before they take effect. */
  refusePercent: z.number().min(0).max(100).default(0),
  /** Rejects every call with status 503. */
  hasOutage: z.boolean().default(false),
  /** A backend server crashes when it receives a request whose body contains this text. */
  crashOnBodyText: z.string().min(1).optional(),
  /** Makes an engine cold, and clears its prefix cache, when the fault is injected. */
  turnCold: z.boolean().default(false),
  /** Clears the prefix cache of an engine when the fault is injected. */
  dropPrefixCache: z.boolean().default(false),
  /** Delay until a cache event is published; absent for the engine's own setting. */
  cacheEventDelayMs: z.number().int().min(0).optional(),
  /** Percentage of cache events that are never published. */
  cacheEventLossPercent: z.number().min(0).max(100).default(0),
  /** Makes the served version faulty. */
  badVersion: badVersionSchema.optional(),
  /** Percentage of instance starts that the cloud API rejects with status 409. */
  refuseStartsPercent: z.number().min(0).max(100).default(0),
  /** Offers without capacity: the cloud API rejects each start of them with status 409. */
  refuseStarts: z.array(refusedOfferSchema).default([]),
});

/** Active faults of a stand-in. */
export type Faults = z.infer<typeof faultsSchema>;
/** Faults as a client sends them: absent faults are off. */
export type FaultsInput = z.input<typeof faultsSchema>;
/** Fault of a bad version. */
export type BadVersion = z.infer<typeof badVersionSchema>;

/** State without faults. */
export const NO_FAULTS: Faults = faultsSchema.parse({});

/**
 * Returns whether a bad version's fault affects a request; leaves out the random choice by `percent`.
 * @param openRequests - Open requests of the backend server, including this one.
 * @param faultAgeMs - Time since the fault was injected.
 */
export function isVersionBad(
  fault: BadVersion,
  path: string,
  openRequests: number,
  faultAgeMs: number,
): boolean {
  const {afterMs, minRunningRequests, pathPrefix} = fault;
  if (faultAgeMs < afterMs || openRequests < minRunningRequests) return false;
  return pathPrefix === undefined || path.startsWith(pathPrefix);
}
