/** Faults of the stand-ins that can be switched on while they run. */
import {z} from 'zod';

const badVersionSchema = z.strictObject({
  /** Whether requests fail with status 500, or are slowed down. */
  effect: z.enum(['fail', 'slow']),
  /** Part of the requests that the fault hits. */
  percent: z.number().min(0).max(100).default(100),
  /** Time after the fault was switched on at which it begins to show. */
  afterMs: z.number().int().min(0).default(0),
  /** Shows only while at least this many requests are running. */
  minRunningRequests: z.number().int().min(0).default(0),
  /** Shows only on paths that start so; absent for all. */
  pathPrefix: z.string().optional(),
  /** How much slower each step of the engine or each answer becomes. */
  slowdownFactor: z.number().min(1).default(5),
});

const refusedOfferSchema = z.strictObject({
  /** Absent ones stand for all. */
  failureDomain: z.string().optional(),
  machineClass: z.string().optional(),
  market: z.enum(['reclaimable', 'on-demand']).optional(),
});

/** Schema of the faults; an absent one is off. */
export const faultsSchema = z.strictObject({
  /** Accepts connections and answers nothing. */
  isFrozen: z.boolean().default(false),
  /** Connections that are open when the fault is switched on go silent for good; new ones work. */
  silenceOpenConnections: z.boolean().default(false),
  /** Part of the calls that change something whose answer is lost after they took effect. */
  loseAnswersPercent: z.number().min(0).max(100).default(0),
  /** Delay before each answer. */
  slowByMs: z.number().int().min(0).default(0),
  /** Part of the calls refused with 503 before they take effect. */
  refusePercent: z.number().min(0).max(100).default(0),
  /** Every call is answered with 503. */
  hasOutage: z.boolean().default(false),
  /** A backend server crashes when it runs a request whose body holds the text. */
  crashOnBodyText: z.string().min(1).optional(),
  /** An engine becomes cold when the fault is switched on. */
  turnCold: z.boolean().default(false),
  /** An engine drops its prefix cache when the fault is switched on. */
  dropPrefixCache: z.boolean().default(false),
  /** Age at which a cache event can first be read. */
  cacheEventDelayMs: z.number().int().min(0).optional(),
  /** Part of the cache events that are never published. */
  cacheEventLossPercent: z.number().min(0).max(100).default(0),
  /** The version is bad. */
  badVersion: badVersionSchema.optional(),
  /** Starts of instances that the cloud refuses. */
  refuseStartsPercent: z.number().min(0).max(100).default(0),
  /** Offers of which the cloud refuses each start. */
  refuseStarts: z.array(refusedOfferSchema).default([]),
});

/** Faults of a stand-in. */
export type Faults = z.infer<typeof faultsSchema>;
/** Faults as they are put: absent ones are off. */
export type FaultsInput = z.input<typeof faultsSchema>;
/** A bad version's fault. */
export type BadVersion = z.infer<typeof badVersionSchema>;

/** No faults. */
export const NO_FAULTS: Faults = faultsSchema.parse({});

/**
 * Returns whether a bad version's fault shows on a request.
 * @param fault - The fault.
 * @param path - Path of the request.
 * @param openRequests - Requests that are open at the backend server.
 * @param faultAgeMs - Time since the fault was switched on.
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
