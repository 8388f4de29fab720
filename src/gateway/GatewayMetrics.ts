/** Counters, gauges and latency histograms of a gateway in the text exposition format. */
import {Counter, Gauge, Histogram, Registry} from 'prom-client';
import type {RefusalKind, RunOutcome} from '../exchange/index.js';

/** Values that are read when the metrics are fetched. */
export interface GatewayGauges {
  readonly openRequests: number;
  readonly configurationVersion: number;
  readonly configurationAgeMs: number;
  readonly registrationsAgeMs: number;
  readonly gatewaysHeard: number;
  readonly gatewaysKnown: number;
  readonly backendServers: number;
  readonly dutyToken: number;
  readonly isDutyHolder: boolean;
  readonly droppedLogLines: number;
  readonly leftOutLogLines: number;
}

/** Labels of requests that are refused before they have a route or workspace. */
const NONE = 'none';
const MS_PER_SECOND = 1_000;
/** Upper bounds of the histograms' buckets in seconds: from a plain answer's time to the longest stream's. */
const SECONDS_BUCKETS = [0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8];

const GAUGE_HELP: Readonly<Record<keyof GatewayGauges, readonly [name: string, help: string]>> = {
  openRequests: ['buckthorn_open_requests', 'Requests under way.'],
  configurationVersion: [
    'buckthorn_configuration_version',
    'Version of the configuration in force.',
  ],
  configurationAgeMs: [
    'buckthorn_configuration_age_ms',
    'Time since the configuration was last known to be the newest.',
  ],
  registrationsAgeMs: [
    'buckthorn_registrations_age_ms',
    'Time since the registrations of backend servers were last known to be complete.',
  ],
  gatewaysHeard: ['buckthorn_gateways_heard', 'Other gateways that are heard.'],
  gatewaysKnown: ['buckthorn_gateways_known', 'Other gateways that may be running.'],
  backendServers: ['buckthorn_backend_servers', 'Backend servers that are known.'],
  dutyToken: ['buckthorn_duty_token', 'Fencing token of the newest claim of the duties.'],
  isDutyHolder: ['buckthorn_duty_held', 'Whether this gateway holds the duties.'],
  droppedLogLines: [
    'buckthorn_log_lines_dropped',
    'Log lines dropped since the start, since nobody read them.',
  ],
  leftOutLogLines: [
    'buckthorn_log_lines_left_out',
    'Log lines left out since the start, since their event came too often.',
  ],
};

/** Metrics of one process. */
export class GatewayMetrics {
  private readonly registry = new Registry();
  private readonly requests = new Counter({
    name: 'buckthorn_requests_total',
    help: 'Requests by how they ended.',
    labelNames: ['route', 'workspace', 'outcome', 'refusal'],
    registers: [this.registry],
  });
  private readonly attempts = new Counter({
    name: 'buckthorn_attempts_total',
    help: 'Tries at backend servers.',
    labelNames: ['route'],
    registers: [this.registry],
  });
  private readonly firstEvents = new Histogram({
    name: 'buckthorn_first_event_seconds',
    help: 'Time from the arrival of a request to its answer or the first event of its stream.',
    labelNames: ['route'],
    buckets: SECONDS_BUCKETS,
    registers: [this.registry],
  });
  private readonly durations = new Histogram({
    name: 'buckthorn_request_seconds',
    help: 'Time from the arrival of a request to its end.',
    labelNames: ['route', 'outcome'],
    buckets: SECONDS_BUCKETS,
    registers: [this.registry],
  });
  private readonly storeCalls = new Counter({
    name: 'buckthorn_store_calls_total',
    help: 'Calls to the store by what they ask and how they ended.',
    labelNames: ['call', 'result'],
    registers: [this.registry],
  });

  /**
   * Counts a request that a backend server was chosen for, or was to be.
   * @param route - Name of its route.
   * @param workspace - Name of its workspace; undefined for a public route.
   * @param outcome - How it ended.
   */
  addOutcome(route: string, workspace: string | undefined, outcome: RunOutcome): void {
    const refusal = outcome.refusal ?? NONE;
    this.requests.inc({route, workspace: workspace ?? NONE, outcome: outcome.kind, refusal});
    this.attempts.inc({route}, outcome.attempts);
    this.durations.observe({route, outcome: outcome.kind}, outcome.totalMs / MS_PER_SECOND);
    if (outcome.firstEventMs === undefined) return;
    this.firstEvents.observe({route}, outcome.firstEventMs / MS_PER_SECOND);
  }

  /**
   * Counts a request that was refused at once.
   * @param refusal - Why.
   * @param workspace - Name of its workspace; undefined where it isn't known.
   */
  addRefusal(refusal: RefusalKind, workspace: string | undefined): void {
    const outcome = 'refused';
    this.requests.inc({route: NONE, workspace: workspace ?? NONE, outcome, refusal});
  }

  /**
   * Counts a call to the store.
   * @param call - What it asks.
   * @param result - How it ended.
   */
  addStoreCall(call: string, result: string): void {
    this.storeCalls.inc({call, result});
  }

  /**
   * Sets what the gauges show.
   * @param getGauges - Returns the present values; called at each fetch.
   */
  setGauges(getGauges: () => GatewayGauges): void {
    for (const [key, [name, help]] of Object.entries(GAUGE_HELP)) {
      const field = key as keyof GatewayGauges;
      const gauge: Gauge = new Gauge({
        name,
        help,
        registers: [this.registry],
        collect: () => gauge.set(Number(getGauges()[field])),
      });
    }
  }

  /** Returns all metrics as text. */
  async getText(): Promise<string> {
    return this.registry.metrics();
  }
}
