/** Counters, gauges and latency histograms of a gateway, in the Prometheus text exposition format. */
import {Counter, Gauge, Histogram, Registry} from 'prom-client';
import {isFinalStep, type RolloutStep} from '../controllers/moves/index.js';
import type {FactorSummary} from '../controllers/placement/index.js';
import type {ForwardedOutcome, RefusalKind, RunOutcome} from '../exchange/index.js';
import type {GossipTraffic} from '../gossip/index.js';

/** Gauge values, read each time the metrics are scraped. */
export interface GatewayGauges {
  readonly openRequests: number;
  readonly configurationVersion: number;
  readonly configurationAgeMs: number;
  readonly registrationsAgeMs: number;
  readonly isCutOff: boolean;
  readonly gatewaysHeard: number;
  readonly gatewaysKnown: number;
  readonly backendServers: number;
  readonly dutyToken: number;
  readonly isDutyHolder: boolean;
  readonly quarantines: number;
  readonly droppedLogLines: number;
  readonly leftOutLogLines: number;
  readonly gossip: GossipTraffic;
  /** Believed work factors of the servers that report some, by service. */
  readonly factors: readonly FactorSummary[];
  /** Requests that wait for a slot, by service. */
  readonly waitingRequests: ReadonlyMap<string, number>;
}

/** Gauge values of the callers' connections, read each time the metrics are scraped. */
export interface CallerGauges {
  /** Memory of the requests that haven't been answered. */
  readonly incomingBytes: number;
  readonly connections: number;
}

/** Gauges with a single value, which are exported without labels. */
type PlainGauge = Exclude<keyof GatewayGauges, 'gossip' | 'factors' | 'waitingRequests'>;

/** Label value for a request without a route, workspace or refusal. */
const NO_VALUE = 'none';
const MS_PER_SECOND = 1_000;
/**
 * Upper bounds of the histogram buckets in seconds, from the duration of a plain response to that of the longest
 * stream.
 */
const SECONDS_BUCKETS = [0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8];

/** Metric name and help text of each gauge. */
const GAUGE_HELP: Readonly<Record<PlainGauge, readonly [name: string, help: string]>> = {
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
  isCutOff: [
    'buckthorn_cut_off',
    'Whether this gateway has lost its links to most backend servers.',
  ],
  gatewaysHeard: ['buckthorn_gateways_heard', 'Other gateways that are heard.'],
  gatewaysKnown: ['buckthorn_gateways_known', 'Other gateways that may be running.'],
  backendServers: ['buckthorn_backend_servers', 'Backend servers that are known.'],
  dutyToken: ['buckthorn_duty_token', 'Fencing token of the newest claim of the duties.'],
  isDutyHolder: ['buckthorn_duty_held', 'Whether this gateway holds the duties.'],
  quarantines: [
    'buckthorn_quarantines',
    'Prompt parts and whole requests that are refused because servers crash on them.',
  ],
  droppedLogLines: [
    'buckthorn_log_lines_dropped',
    'Log lines dropped since the start, since nobody read them.',
  ],
  leftOutLogLines: [
    'buckthorn_log_lines_left_out',
    'Log lines left out since the start, since their event came too often.',
  ],
};

/** Metrics of one gateway process, in a registry of their own. */
export class GatewayMetrics {
  private readonly registry = new Registry();
  private readonly requests = new Counter({
    name: 'buckthorn_requests_total',
    help: 'Requests by how they ended.',
    labelNames: ['route', 'workspace', 'outcome', 'refusal'],
    registers: [this.registry],
  });
  private readonly forwarded = new Counter({
    name: 'buckthorn_forwarded_requests_total',
    help: 'Requests that were passed on to another gateway, by how they ended.',
    labelNames: ['outcome'],
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
  private readonly queueTimes = new Histogram({
    name: 'buckthorn_queue_seconds',
    help: 'Time for which started requests have waited for a slot, without those that did not wait.',
    labelNames: ['service'],
    buckets: SECONDS_BUCKETS,
    registers: [this.registry],
  });
  private readonly queueRefusals = new Counter({
    name: 'buckthorn_queue_refusals_total',
    help: 'Requests that were refused because no slot would be free in time, by reason.',
    labelNames: ['service', 'reason'],
    registers: [this.registry],
  });
  private readonly storeCalls = new Counter({
    name: 'buckthorn_store_calls_total',
    help: 'Calls to the store by what they ask and how they ended.',
    labelNames: ['call', 'result'],
    registers: [this.registry],
  });

  private readonly callerRefusals = new Counter({
    name: 'buckthorn_callers_refused_total',
    help: 'Requests refused and connections closed to keep the bounds of memory and connections.',
    labelNames: ['reason'],
    registers: [this.registry],
  });
  private readonly rolloutShares = new Gauge({
    name: 'buckthorn_rollout_share_percent',
    help: 'Share of the new requests of a service that may go to the version that it is moved to.',
    labelNames: ['service', 'version'],
    registers: [this.registry],
  });
  private readonly rolloutVerdicts = new Counter({
    name: 'buckthorn_rollout_verdicts_total',
    help: 'Roll-outs that this gateway knows to have ended, by their verdict.',
    labelNames: ['service', 'version', 'verdict'],
    registers: [this.registry],
  });

  /**
   * Counts an admitted request and records its latencies.
   * @param route - Name of the route.
   * @param workspace - Name of the workspace; undefined for a public route.
   * @param outcome - Result, number of attempts and durations.
   */
  addOutcome(route: string, workspace: string | undefined, outcome: RunOutcome): void {
    const refusal = outcome.refusal ?? NO_VALUE;
    this.requests.inc({route, workspace: workspace ?? NO_VALUE, outcome: outcome.kind, refusal});
    this.attempts.inc({route}, outcome.attempts);
    this.durations.observe({route, outcome: outcome.kind}, outcome.totalMs / MS_PER_SECOND);
    if (outcome.firstEventMs === undefined) return;
    this.firstEvents.observe({route}, outcome.firstEventMs / MS_PER_SECOND);
  }

  /**
   * Counts a request that was refused before admission.
   * @param refusal - Reason, used as a label value.
   * @param workspace - Name of the workspace; undefined if it isn't known.
   */
  addRefusal(refusal: RefusalKind, workspace: string | undefined): void {
    const outcome = 'refused';
    this.requests.inc({route: NO_VALUE, workspace: workspace ?? NO_VALUE, outcome, refusal});
  }

  /** Counts a request that was passed on to another gateway. */
  addForwarded(outcome: ForwardedOutcome['kind']): void {
    this.forwarded.inc({outcome});
  }

  /** Records how long a request has waited for a slot before it was started. */
  addQueueTime(service: string, waitedMs: number): void {
    this.queueTimes.observe({service}, waitedMs / MS_PER_SECOND);
  }

  /**
   * Counts a request that was refused at the queue or while it waited.
   * @param reason - Used as a label value.
   */
  addQueueRefusal(service: string, reason: string): void {
    this.queueRefusals.inc({service, reason});
  }

  /**
   * Counts a call to the store.
   * @param call - Name of the operation, used as a label value.
   * @param result - Result of the call, used as a label value.
   */
  addStoreCall(call: string, result: string): void {
    this.storeCalls.inc({call, result});
  }

  /**
   * Counts a request that was refused, or a connection that was closed, before the gateway got to decide.
   * @param reason - Used as a label value.
   */
  addCallerRefusal(reason: string): void {
    this.callerRefusals.inc({reason});
  }

  /** Records the share of a roll-out, and counts it if it has ended. */
  addRolloutStep({service, targetVersion: version, phase, sharePercent}: RolloutStep): void {
    this.rolloutShares.set({service, version}, sharePercent);
    if (isFinalStep({phase})) this.rolloutVerdicts.inc({service, version, verdict: phase});
  }

  /**
   * Registers the gauges; call it once.
   * @param getGauges - Returns the current values; called for each gauge at each scrape.
   */
  setGauges(getGauges: () => GatewayGauges): void {
    for (const [key, [name, help]] of Object.entries(GAUGE_HELP)) {
      const field = key as PlainGauge;
      const gauge: Gauge = new Gauge({
        name,
        help,
        registers: [this.registry],
        collect: () => gauge.set(Number(getGauges()[field])),
      });
    }
    this.addGossipCounters(() => getGauges().gossip);
    this.addFactorGauges(() => getGauges().factors);
    this.addWaitingGauge(() => getGauges().waitingRequests);
  }

  private addWaitingGauge(getCounts: () => ReadonlyMap<string, number>): void {
    const waiting: Gauge = new Gauge({
      name: 'buckthorn_waiting_requests',
      help: 'Requests that wait for a slot.',
      labelNames: ['service'],
      registers: [this.registry],
      collect: () => {
        for (const [service, count] of getCounts()) waiting.set({service}, count);
      },
    });
  }

  /**
   * Registers the gauges of the callers' connections; call it once.
   * @param getGauges - Returns the current values.
   */
  setCallerGauges(getGauges: () => CallerGauges): void {
    const incoming: Gauge = new Gauge({
      name: 'buckthorn_incoming_bytes',
      help: "Memory of the requests that haven't been answered.",
      registers: [this.registry],
      collect: () => incoming.set(getGauges().incomingBytes),
    });
    const connections: Gauge = new Gauge({
      name: 'buckthorn_caller_connections',
      help: 'Open connections of callers.',
      registers: [this.registry],
      collect: () => connections.set(getGauges().connections),
    });
  }

  private addGossipCounters(getTraffic: () => GossipTraffic): void {
    const datagrams: Counter = new Counter({
      name: 'buckthorn_gossip_datagrams_total',
      help: 'Datagrams exchanged with other gateways.',
      labelNames: ['direction'],
      registers: [this.registry],
      collect: () => {
        const {sentDatagrams, receivedDatagrams} = getTraffic();
        datagrams.reset();
        datagrams.inc({direction: 'sent'}, sentDatagrams);
        datagrams.inc({direction: 'received'}, receivedDatagrams);
      },
    });
    const bytes: Counter = new Counter({
      name: 'buckthorn_gossip_bytes_total',
      help: 'Payload bytes of the datagrams exchanged with other gateways.',
      labelNames: ['direction'],
      registers: [this.registry],
      collect: () => {
        const {sentBytes, receivedBytes} = getTraffic();
        bytes.reset();
        bytes.inc({direction: 'sent'}, sentBytes);
        bytes.inc({direction: 'received'}, receivedBytes);
      },
    });
  }

  private addFactorGauges(getFactors: () => readonly FactorSummary[]): void {
    const factors: Gauge = new Gauge({
      name: 'buckthorn_server_work_factor',
      help: 'Believed work factors of the servers of a service: lowest, median and highest.',
      labelNames: ['service', 'of'],
      registers: [this.registry],
      collect: () => {
        factors.reset();
        for (const {service, min, median, max} of getFactors()) {
          factors.set({service, of: 'min'}, min);
          factors.set({service, of: 'median'}, median);
          factors.set({service, of: 'max'}, max);
        }
      },
    });
    const ages: Gauge = new Gauge({
      name: 'buckthorn_server_work_factor_age_ms',
      help: 'Time since a server of the service last reported a work factor to this gateway.',
      labelNames: ['service'],
      registers: [this.registry],
      collect: () => {
        ages.reset();
        for (const {service, ageMs} of getFactors()) ages.set({service}, ageMs);
      },
    });
  }

  /** Returns all metrics in the text exposition format. */
  async getText(): Promise<string> {
    return this.registry.metrics();
  }
}
