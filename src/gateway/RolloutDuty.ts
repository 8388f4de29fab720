/** The duty of moving services to the versions that operators have ordered: decides the steps and writes the verdicts. */
import type {Catalog, KnownServer, RolloutOrder} from '../catalog/index.js';
import {
  decideRollout,
  getRolloutKey,
  isFinalStep,
  type ExposureLimits,
  type FleetEvidence,
  type RolloutStep,
} from '../controllers/moves/index.js';
import type {DutyClaim} from '../gossip/index.js';
import type {EventLogger} from '../logging/index.js';
import type {RolloutLog, RolloutVerdict} from './ports.js';
import type {RolloutGate} from './RolloutGate.js';

/** Constructor options of `RolloutDuty`. */
export interface RolloutDutyOptions {
  readonly catalog: Catalog;
  readonly gate: Pick<RolloutGate, 'getStep' | 'setStep'>;
  readonly evidence: FleetEvidence;
  readonly log: RolloutLog;
  readonly limits: ExposureLimits;
  readonly events: EventLogger;
  /** Returns the requests that all gateways have open at a server. */
  readonly getOpenRequests: (serverId: string, nowMs: number) => number;
  /** Returns the monotonic time in milliseconds. */
  readonly getNowMs: () => number;
  /** Returns the Unix time in milliseconds, the same at all gateways. */
  readonly getWallMs: () => number;
}

/** Shortest interval between two attempts to read or write the verdicts. */
const LOG_RETRY_MS = 300;

/** Decides the steps of all roll-outs while this gateway holds the duties. */
export class RolloutDuty {
  private readonly options: RolloutDutyOptions;
  private claim: DutyClaim | undefined;
  private renewals = 0;
  /** What the store says of each service; undefined until it has been read under the present claim. */
  private written: Map<string, RolloutVerdict> | undefined;
  private isCalling = false;
  private nextCallAtMs = -Infinity;

  constructor(options: RolloutDutyOptions) {
    this.options = options;
  }

  /**
   * Decides and announces the next step of each roll-out, and writes verdicts that the store doesn't have yet.
   * @param claim - Claim under which this gateway holds the duties; undefined if it doesn't.
   */
  tick(claim: DutyClaim | undefined): void {
    if (claim?.token !== this.claim?.token) this.written = undefined;
    this.claim = claim;
    if (!claim) return;
    for (const order of this.options.catalog.rollouts.values()) this.advance(order, claim);
    this.callLog(claim);
  }

  private advance(order: RolloutOrder, claim: DutyClaim): void {
    const step = this.getStep(order);
    if (!step || isFinalStep(step)) return;
    const {gate, getNowMs, getWallMs, evidence, limits, events} = this.options;
    const nowMs = getNowMs();
    const wallMs = getWallMs();
    const {targetServers, otherServers} = this.getServers(order);
    const rows = evidence.getTotal(
      getRolloutKey(order.service, order.targetVersion),
      step.startedAtMs,
    );
    const decision = decideRollout(
      {
        step,
        deadlineAtMs: step.startedAtMs + order.durationMs,
        evidence: rows,
        limits,
        targetServers: targetServers.filter(isUsable).length,
        otherServers: otherServers.length,
        otherOpenRequests: this.countOpenRequests(otherServers, nowMs),
        isStreamed: this.isStreamed(order.service),
      },
      wallMs,
    );
    const {phase, sharePercent, reason} = decision;
    this.renewals += 1;
    gate.setStep(
      {
        ...step,
        phase,
        sharePercent,
        changedAtMs: reason === undefined ? step.changedAtMs : wallMs,
        token: claim.token,
        number: this.renewals,
      },
      nowMs,
    );
    if (reason === undefined) return;
    const target = rows.filter(({isTarget}) => isTarget);
    events.log('roll-out decided', {
      service: order.service,
      targetVersion: order.targetVersion,
      phase,
      sharePercent: Math.round(sharePercent),
      reason,
      targetResults: sumRequests(target),
      allResults: sumRequests(rows),
      sinceStartMs: Math.round(wallMs - step.startedAtMs),
      token: claim.token,
    });
  }

  /** Returns the newest known step, or the first one; undefined while an earlier verdict may exist that isn't known. */
  private getStep(order: RolloutOrder): RolloutStep | undefined {
    const {service, targetVersion, learnedAtMs} = order;
    const {gate, getNowMs, getWallMs} = this.options;
    const known = gate.getStep(service, targetVersion);
    if (known) return known;
    if (!this.written) return undefined;
    const wallMs = getWallMs();
    const first: RolloutStep = {
      service,
      targetVersion,
      phase: 'running',
      sharePercent: 0,
      startedAtMs: wallMs - (getNowMs() - learnedAtMs),
      changedAtMs: wallMs,
      token: 0,
      number: 0,
    };
    const verdict = this.written.get(service);
    if (verdict?.targetVersion !== targetVersion || verdict.phase === 'running') return first;
    const sharePercent = verdict.phase === 'done' ? 100 : 0;
    const final = {...first, phase: verdict.phase, sharePercent};
    gate.setStep(final, getNowMs());
    return final;
  }

  private getServers({service, targetVersion}: RolloutOrder): {
    readonly targetServers: readonly KnownServer[];
    readonly otherServers: readonly KnownServer[];
  } {
    const servers = this.options.catalog.servers
      .getServers()
      .filter(({entry}) => entry.service === service);
    const isTarget = ({entry}: KnownServer) => entry.softwareVersion === targetVersion;
    return {
      targetServers: servers.filter(isTarget),
      otherServers: servers.filter(server => !isTarget(server)),
    };
  }

  private countOpenRequests(servers: readonly KnownServer[], nowMs: number): number {
    const {getOpenRequests} = this.options;
    return servers.reduce((sum, {entry}) => sum + getOpenRequests(entry.id, nowMs), 0);
  }

  private isStreamed(service: string): boolean {
    const routes = this.options.catalog.routeTable?.configuration.routes ?? [];
    return routes.some(
      ({kind, shares}) => kind === 'stream' && shares.some(share => share.service === service),
    );
  }

  /** Starts one call to the store if there is something to read or to write. */
  private callLog(claim: DutyClaim): void {
    const nowMs = this.options.getNowMs();
    if (this.isCalling || nowMs < this.nextCallAtMs) return;
    const verdict = this.getUnwritten();
    if (this.options.catalog.rollouts.size === 0 || (this.written && !verdict)) return;
    this.isCalling = true;
    this.nextCallAtMs = nowMs + LOG_RETRY_MS;
    const call = verdict ? this.write(verdict, claim) : this.read(claim);
    call
      .catch((error: unknown) => {
        this.options.events.log('duties failed', {error: String(error)});
      })
      .finally(() => (this.isCalling = false));
  }

  private async read(claim: DutyClaim): Promise<void> {
    const verdicts = await this.options.log.readVerdicts();
    if (verdicts && this.claim?.token === claim.token) this.written = new Map(verdicts);
  }

  private async write(verdict: RolloutVerdict, claim: DutyClaim): Promise<void> {
    const {service, targetVersion, phase} = verdict;
    const result = await this.options.log.writeVerdict(verdict, claim);
    this.options.events.log('roll-out written', {
      service,
      targetVersion,
      phase,
      result,
      token: claim.token,
    });
    if (result === 'done') this.written?.set(service, verdict);
  }

  /** Returns a verdict that the store doesn't have; undefined if it has all of them or hasn't been read. */
  private getUnwritten(): RolloutVerdict | undefined {
    const {catalog, gate} = this.options;
    for (const {service, targetVersion} of catalog.rollouts.values()) {
      const phase = gate.getStep(service, targetVersion)?.phase;
      const known = this.written?.get(service);
      if (phase === undefined || !this.written) continue;
      if (known?.targetVersion !== targetVersion || known.phase !== phase) {
        return {service, targetVersion, phase};
      }
    }
    return undefined;
  }
}

function isUsable({entry}: KnownServer): boolean {
  return !entry.isDraining;
}

function sumRequests(rows: readonly {readonly requests: number}[]): number {
  return rows.reduce((sum, {requests}) => sum + requests, 0);
}
