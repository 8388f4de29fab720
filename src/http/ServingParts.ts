/** Builds and runs the parts of an entry that serve callers' requests. */
import type {Blackboard, Incident} from '../blackboard/index.js';
import type {Service} from '../configuration/index.js';
import {EvidenceRecorder, findCircuitBreakerFault} from '../controllers/moves/index.js';
import {DEFAULT_QUARANTINE, QuarantineLedger} from '../controllers/quarantine/index.js';
import {RetryBudget} from '../controllers/retry/index.js';
import {ServerTracker} from '../engine/index.js';
import type {Metrics} from '../metrics/index.js';
import {rankByRendezvous} from '../utils/index.js';
import {AdmissionGates} from './AdmissionGates.js';
import {IncidentBoard} from './IncidentBoard.js';
import {RunRegistry} from './RunRegistry.js';
import {RunningAttempts} from './RunningAttempts.js';
import {getServiceCapacity} from './serviceCapacity.js';

/** Options of `ServingParts`. */
export interface ServingPartsOptions {
  readonly blackboard: Blackboard;
  readonly metrics: Metrics;
  readonly ownInstanceId: string;
  readonly getNowMs: () => number;
  /** Upper limit for the running requests of each service. */
  readonly maxRunningRequests: number;
  /** Upper limit for the queued requests of each service. */
  readonly maxQueuedRequests: number;
}

const DRAIN_CHECK_INTERVAL_MS = 100;
const MAINTENANCE_INTERVAL_MS = 250;
/** Time for which the circuit breaker of a version stays tripped unless new evidence trips it again. */
const CIRCUIT_BREAKER_OPEN_MS = 30_000;

/** Connects server tracking, retries, quarantine, version evidence, runs and admission, which share one blackboard. */
export class ServingParts {
  readonly tracker: ServerTracker;
  readonly retryBudget = new RetryBudget();
  readonly quarantine: QuarantineLedger;
  readonly evidence = new EvidenceRecorder();
  readonly runs = new RunRegistry();
  readonly runningAttempts: RunningAttempts;
  readonly admission: AdmissionGates;
  readonly incidents: IncidentBoard;
  private readonly options: ServingPartsOptions;
  private timer: NodeJS.Timeout | undefined;

  constructor(options: ServingPartsOptions) {
    this.options = options;
    const {blackboard, ownInstanceId, getNowMs} = options;
    this.tracker = new ServerTracker({
      ownInstanceId,
      getEntries: () => blackboard.getSection('peers').members,
      getService: name => this.getService(name),
      getNowMs,
    });
    this.quarantine = new QuarantineLedger({
      ...DEFAULT_QUARANTINE,
      ownInstanceId,
      isAlive: entry => this.isAlive(entry),
      getRank: fingerprint => this.getOwnRank(fingerprint),
    });
    const {quarantine} = this;
    this.runningAttempts = new RunningAttempts({quarantine, metrics: options.metrics, getNowMs});
    this.incidents = new IncidentBoard({
      blackboard,
      quarantine: this.quarantine,
      getNowMs,
      onReportedCold: instanceId => this.tracker.addReportedCold(instanceId),
      onReportedPoison: () => this.runningAttempts.stopSuspects(),
    });
    this.admission = new AdmissionGates({
      getLimits: service => this.getAdmissionLimits(service),
      getNowMs,
    });
  }

  /** Starts the periodic tasks. */
  start(): void {
    this.runs.start(DRAIN_CHECK_INTERVAL_MS);
    this.timer ??= setInterval(() => this.runMaintenance(), MAINTENANCE_INTERVAL_MS);
  }

  /** Stops the periodic tasks. */
  stop(): void {
    this.runs.stop();
    clearInterval(this.timer);
    this.timer = undefined;
  }

  /** Returns a function that records incidents observed by this entry and broadcasts them. */
  getIncidentReporter(): (incidents: readonly Incident[]) => Promise<void> {
    return incidents => this.incidents.reportIncidents(incidents);
  }

  private runMaintenance(): void {
    this.admission.admitQueued();
    this.incidents.removeExpired();
    this.checkCircuitBreakers();
  }

  /** Trips the circuit breaker for the new version of a move if this entry's own evidence shows a fault. */
  private checkCircuitBreakers(): void {
    const {blackboard, getNowMs, metrics, ownInstanceId} = this.options;
    const nowMs = getNowMs();
    const {moves, incidents} = blackboard.getSections();
    const running = moves.moves.filter(({phase}) => phase === 'running' || phase === 'soaking');
    for (const move of running) {
      const isTripped = incidents.incidents.some(
        ({kind, service, subject, reporter}) =>
          kind === 'bad-version' &&
          service === move.service &&
          subject === move.toVersion &&
          reporter === ownInstanceId,
      );
      if (isTripped || !findCircuitBreakerFault(this.evidence.getEvidence(0), move, nowMs))
        continue;
      const {service, toVersion} = move;
      metrics.addCount('version.braked', {service, version: toVersion});
      void this.incidents.reportIncidents([
        {
          kind: 'bad-version',
          subject: toVersion,
          service,
          reporter: ownInstanceId,
          observedAtMs: nowMs,
          expiresAtMs: nowMs + CIRCUIT_BREAKER_OPEN_MS,
        },
      ]);
    }
  }

  private getService(name: string): Service | undefined {
    const {configuration} = this.options.blackboard.getSection('configuration');
    return configuration?.services.find(service => service.name === name);
  }

  private getOwnRank(fingerprint: string): number {
    const {blackboard, ownInstanceId} = this.options;
    const {members} = blackboard.getSection('peers');
    const others = members
      .map(({instanceId}) => instanceId)
      .filter(instanceId => instanceId !== ownInstanceId && this.isAlive(instanceId));
    const ranked = rankByRendezvous(fingerprint, [...others, ownInstanceId], id => id);
    return ranked.indexOf(ownInstanceId);
  }

  private isAlive(entryInstanceId: string): boolean {
    const {members} = this.options.blackboard.getSection('peers');
    const member = members.find(({instanceId}) => instanceId === entryInstanceId);
    return member?.state === 'alive' || member?.state === 'suspect';
  }

  private getAdmissionLimits(service: string) {
    const {blackboard, maxRunningRequests, maxQueuedRequests, getNowMs} = this.options;
    const {configuration} = blackboard.getSection('configuration');
    const capacity = getServiceCapacity(blackboard, this.tracker, service, getNowMs());
    return {
      workspaces: configuration?.workspaces ?? [],
      requestClasses: configuration?.requestClasses ?? [],
      maxRunningRequests: Math.min(maxRunningRequests, capacity),
      maxQueuedRequests,
    };
  }
}
