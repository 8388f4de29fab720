/** Works out how many backend servers the load of a service asks for, from what servers and entries report. */
import type {DurationMoments, VersionEvidence} from '../../blackboard/index.js';
import type {RequestClass, Service} from '../../configuration/index.js';

/** Requests that run or wait at a backend server, as it reported them. */
export interface ServerLoad {
  readonly instanceId: string;
  readonly openRequests: number;
  readonly readAtMs: number;
}

/** What the demand of a service is worked out from. */
export interface ReplicaDemandView {
  readonly service: Service;
  readonly requestClasses: readonly RequestClass[];
  /** Live backend servers of the service that aren't drained. */
  readonly serverIds: readonly string[];
  readonly loads: readonly ServerLoad[];
  /** Evidence of all entries. */
  readonly evidence: readonly VersionEvidence[];
  /** Requests that entries refused for want of places within the last seconds. */
  readonly refusedRequests: number;
  /** Version that a move under way tries out; its slowness asks for no servers. */
  readonly triedVersion: string | undefined;
}

/** How many backend servers the load asks for; spares for the loss of a failure domain come on top. */
export interface ReplicaDemand {
  /** What the load asks for by the reports that came. */
  readonly leastReplicas: number;
  /** What it may ask for, with servers whose reports are missing taken as full. */
  readonly mostReplicas: number;
  readonly pressure: ReplicaPressure;
}

/** Whether callers notice a want of servers: `none` lets servers go, `some` keeps them, `high` asks for more. */
export type ReplicaPressure = 'none' | 'some' | 'high';

/** Time after which a backend server's report says nothing any more. */
export const LOAD_KEPT_MS = 30_000;

/** Part of the places that may be taken before more servers are asked for. */
const RAISE_PART = 0.75;
/** Part of the places that may be taken after servers have gone; the gap between both bears noise. */
const LOWER_PART = 0.6;
/** From this part on, refused requests count as a want of servers. */
const BUSY_PART = 0.4;
const FIRST_TOKEN_WINDOW_MS = 30_000;
const LEAST_FIRST_TOKENS = 50;
/** Standard deviations above the mean at which 95 in 100 of a normal distribution lie. */
const P95_DEVIATIONS = 1.645;
/** Part of the target above which the first token is too close to it to let servers go. */
const CLOSE_PART = 0.7;

/**
 * Returns what the load of a service asks for.
 * @param view - Reports.
 * @param nowMs - Present time.
 */
export function getReplicaDemand(view: ReplicaDemandView, nowMs: number): ReplicaDemand {
  const {service, serverIds} = view;
  const known = view.loads.filter(
    ({instanceId, readAtMs}) => serverIds.includes(instanceId) && nowMs < readAtMs + LOAD_KEPT_MS,
  );
  const openRequests = known.reduce((sum, one) => sum + one.openRequests, 0);
  const missing = serverIds.length - known.length;
  const assumed = known.length === 0 ? 0 : (openRequests / known.length) * missing;
  const places = service.maxConcurrentRequests;
  const openPart = known.length === 0 ? 0 : openRequests / (known.length * places);
  return {
    leastReplicas: Math.ceil((openRequests + assumed) / (places * RAISE_PART)),
    mostReplicas: Math.ceil((openRequests + missing * places) / (places * LOWER_PART)),
    pressure: getPressure(view, openPart, nowMs),
  };
}

function getPressure(view: ReplicaDemandView, openPart: number, nowMs: number): ReplicaPressure {
  if (view.refusedRequests > 0 && openPart >= BUSY_PART) return 'high';
  const part = getFirstTokenPart(view, nowMs);
  if (part > 1) return 'high';
  return part > CLOSE_PART ? 'some' : 'none';
}

/** Returns the largest ratio of first-token time (95 in 100) to target over the classes, from servers under load. */
function getFirstTokenPart(view: ReplicaDemandView, nowMs: number): number {
  const recent = view.evidence.filter(
    ({service, version, loadBand, windowStartMs}) =>
      service === view.service.name &&
      version !== view.triedVersion &&
      loadBand !== 'low' &&
      windowStartMs > nowMs - FIRST_TOKEN_WINDOW_MS,
  );
  const parts = view.requestClasses.map(({name, firstTokenTargetMs}) => {
    const windows = recent.filter(({requestClass}) => requestClass === name);
    return getP95Ms(windows.map(({firstToken}) => firstToken)) / firstTokenTargetMs;
  });
  return Math.max(0, ...parts);
}

/** Takes the times as log-normal; 0 where there are too few. */
function getP95Ms(moments: readonly DurationMoments[]): number {
  const count = moments.reduce((sum, one) => sum + one.count, 0);
  if (count < LEAST_FIRST_TOKENS) return 0;
  const mean = moments.reduce((sum, one) => sum + one.sumLogMs, 0) / count;
  const squared = moments.reduce((sum, one) => sum + one.sumSquaredLogMs, 0) / count;
  const deviation = Math.sqrt(Math.max(squared - mean * mean, 0));
  return Math.exp(mean + P95_DEVIATIONS * deviation);
}
