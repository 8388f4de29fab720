/** Estimates how many backend servers the load of a service needs, from the reports of servers and entries. */
import type {DurationMoments, VersionEvidence} from '../../blackboard/index.js';
import type {RequestClass, Service} from '../../configuration/index.js';

/** Load report of a backend server. */
export interface ServerLoad {
  readonly instanceId: string;
  /** Running and queued requests. */
  readonly openRequests: number;
  /** Time at which the report was received. */
  readonly readAtMs: number;
}

/** Input of `getReplicaDemand`. */
export interface ReplicaDemandView {
  readonly service: Service;
  readonly requestClasses: readonly RequestClass[];
  /** Ids of the service's live backend servers that aren't being drained. */
  readonly serverIds: readonly string[];
  readonly loads: readonly ServerLoad[];
  /** Response time measurements of all entries. */
  readonly evidence: readonly VersionEvidence[];
  /** Requests that entries refused for lack of capacity within the last seconds. */
  readonly refusedRequests: number;
  /**
   * New version of the move in progress; its slow responses are attributed to the version, not to a lack of servers.
   */
  readonly candidateVersion: string | undefined;
}

/** Number of backend servers that the load needs, without the spares for the loss of a failure domain. */
export interface ReplicaDemand {
  /** Lower estimate, which scaling up uses: servers without a report are assumed to have average load. */
  readonly lowerEstimate: number;
  /** Upper estimate, which scaling down uses: servers without a report are assumed to be full. */
  readonly upperEstimate: number;
  readonly pressure: ReplicaPressure;
}

/** Whether callers notice a lack of servers: `none` allows scaling down, `some` forbids it, `high` scales up. */
export type ReplicaPressure = 'none' | 'some' | 'high';

/** Age from which a backend server's load report is ignored. */
export const LOAD_REPORT_TTL_MS = 30_000;

/**
 * Utilization, as a fraction of the concurrent requests that the servers allow, above which more servers are needed.
 */
const SCALE_UP_UTILIZATION = 0.75;
/** Highest utilization after a scale-down; the gap to the scale-up threshold absorbs noise. */
const SCALE_DOWN_UTILIZATION = 0.6;
/** Utilization from which refused requests count as a lack of servers. */
const BUSY_UTILIZATION = 0.4;
/** Age up to which first-token times are considered. */
const FIRST_TOKEN_WINDOW_MS = 30_000;
/** Number of first tokens from which their 95th percentile is estimated. */
const MIN_FIRST_TOKENS = 50;
/** Standard deviations between the mean and the 95th percentile of a normal distribution. */
const P95_DEVIATIONS = 1.645;
/** Ratio of first-token time to target above which scaling down is forbidden. */
const CLOSE_TO_TARGET_RATIO = 0.7;

/**
 * Returns the number of backend servers that the load of a service needs.
 * @param view - Reports of the service's servers and of the entries.
 * @param nowMs - Current time by the clock of the reports.
 */
export function getReplicaDemand(view: ReplicaDemandView, nowMs: number): ReplicaDemand {
  const {service, serverIds} = view;
  const reports = view.loads.filter(
    ({instanceId, readAtMs}) =>
      serverIds.includes(instanceId) && nowMs < readAtMs + LOAD_REPORT_TTL_MS,
  );
  const openRequests = reports.reduce((sum, one) => sum + one.openRequests, 0);
  const missingReports = serverIds.length - reports.length;
  const assumedRequests =
    reports.length === 0 ? 0 : (openRequests / reports.length) * missingReports;
  const maxRequests = service.maxConcurrentRequests;
  const utilization = reports.length === 0 ? 0 : openRequests / (reports.length * maxRequests);
  return {
    lowerEstimate: Math.ceil(
      (openRequests + assumedRequests) / (maxRequests * SCALE_UP_UTILIZATION),
    ),
    upperEstimate: Math.ceil(
      (openRequests + missingReports * maxRequests) / (maxRequests * SCALE_DOWN_UTILIZATION),
    ),
    pressure: getPressure(view, utilization, nowMs),
  };
}

function getPressure(view: ReplicaDemandView, utilization: number, nowMs: number): ReplicaPressure {
  if (view.refusedRequests > 0 && utilization >= BUSY_UTILIZATION) return 'high';
  const ratio = getFirstTokenRatio(view, nowMs);
  if (ratio > 1) return 'high';
  return ratio > CLOSE_TO_TARGET_RATIO ? 'some' : 'none';
}

/**
 * Returns the ratio of the 95th percentile of the first-token time to its target, for the request class in which it is
 * largest. Servers with low load are left out, as more servers wouldn't make them faster.
 */
function getFirstTokenRatio(view: ReplicaDemandView, nowMs: number): number {
  const recent = view.evidence.filter(
    ({service, version, loadBand, windowStartMs}) =>
      service === view.service.name &&
      version !== view.candidateVersion &&
      loadBand !== 'low' &&
      windowStartMs > nowMs - FIRST_TOKEN_WINDOW_MS,
  );
  const ratios = view.requestClasses.map(({name, firstTokenTargetMs}) => {
    const windows = recent.filter(({requestClass}) => requestClass === name);
    return getP95Ms(windows.map(({firstToken}) => firstToken)) / firstTokenTargetMs;
  });
  return Math.max(0, ...ratios);
}

/**
 * Estimates the 95th percentile in milliseconds of log-normally distributed durations; returns 0 if there are too few.
 */
function getP95Ms(moments: readonly DurationMoments[]): number {
  const count = moments.reduce((sum, one) => sum + one.count, 0);
  if (count < MIN_FIRST_TOKENS) return 0;
  const mean = moments.reduce((sum, one) => sum + one.sumLogMs, 0) / count;
  const meanSquare = moments.reduce((sum, one) => sum + one.sumSquaredLogMs, 0) / count;
  const deviation = Math.sqrt(Math.max(meanSquare - mean * mean, 0));
  return Math.exp(mean + P95_DEVIATIONS * deviation);
}
