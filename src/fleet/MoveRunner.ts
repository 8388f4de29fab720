/** Carries out decisions about version moves and failure domains by appending them to the fleet stream. */
import type {VersionEvidence} from '../blackboard/index.js';
import {
  decideFailureDomains,
  type DomainStatusEffect,
} from '../controllers/failureDomains/index.js';
import {decideMove, type MoveStepEffect} from '../controllers/moves/index.js';
import {isMoveEnded} from '../folds/index.js';
import type {Logger} from '../logging/index.js';
import type {Metrics} from '../metrics/index.js';
import type {LogBody} from '../records/index.js';
import type {FleetStream} from './FleetStream.js';
import type {LeaseManager} from './LeaseManager.js';

/** Collaborators of a `MoveRunner`, and the id under which it writes orders. */
export interface MoveRunnerOptions {
  readonly stream: FleetStream;
  readonly lease: LeaseManager;
  readonly incarnation: string;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Capacity of the new version of a service that is being moved. */
export interface ServiceReadiness {
  readonly service: string;
  /** Share of the load, from 0 to 100, that the loaded backend servers of the new version sustain. */
  readonly readyPercent: number;
}

/** Appends the next steps of running moves, and marks failure domains as returned to service. */
export class MoveRunner {
  private readonly options: MoveRunnerOptions;
  private readonly wantedShares = new Map<string, number>();

  constructor(options: MoveRunnerOptions) {
    this.options = options;
  }

  /**
   * Returns the traffic share, in percent, for which the move of a service needs capacity next; 0 without a move.
   * @param service - Name of the service.
   */
  getWantedSharePercent(service: string): number {
    return this.wantedShares.get(service) ?? 0;
  }

  /**
   * Runs one round of decisions for all unfinished moves and all failure domains.
   * @param evidence - Merged evidence of all entries.
   * @param readiness - Capacity of the new version for each moved service; a missing service counts as 0 percent.
   * @param nowMs - Current Unix time in milliseconds.
   */
  async run(
    evidence: readonly VersionEvidence[],
    readiness: readonly ServiceReadiness[],
    nowMs: number,
  ): Promise<void> {
    const fold = this.options.stream.getFold();
    const moves = fold.getMoves().filter(move => !isMoveEnded(move));
    for (const move of moves) {
      const ready = readiness.find(({service}) => service === move.service);
      const view = {move, evidence, readyPercent: ready?.readyPercent ?? 0};
      const {changes, effects} = decideMove(view, nowMs);
      this.wantedShares.set(move.service, changes.wantedSharePercent);
      for (const effect of effects) await this.appendStep(effect, nowMs);
    }
    const statuses = fold.getFailureDomains();
    for (const effect of decideFailureDomains({statuses}, nowMs).effects) {
      await this.appendDomainOrder(effect, nowMs);
    }
  }

  private async appendStep(effect: MoveStepEffect, nowMs: number): Promise<void> {
    const {moveId, phase, sharePercent, reason} = effect;
    const fencingToken = this.options.lease.getFencingToken();
    const step = {moveId, fencingToken, phase, sharePercent, decidedAtMs: nowMs, reason};
    if (!(await this.appendRecord({kind: 'move-step', ...step}))) return;
    this.options.logger.info({moveId, phase, sharePercent, reason}, 'move step');
  }

  private async appendDomainOrder(effect: DomainStatusEffect, nowMs: number): Promise<void> {
    const {failureDomain, state, replacesRevision} = effect;
    const requestedBy = this.options.incarnation;
    const order = {failureDomain, state, replacesRevision, requestedBy, requestedAtMs: nowMs};
    if (!(await this.appendRecord({kind: 'domain-order', ...order}))) return;
    this.options.logger.info({failureDomain, state}, 'failure domain returned');
  }

  /** Returns whether the fold accepted the record. It rejects outdated fencing tokens, so only the holder can write. */
  private async appendRecord(body: LogBody): Promise<boolean> {
    const {lease, stream, metrics} = this.options;
    if (lease.getOrderPermission(true) !== 'allowed') return false;
    try {
      const {verdict} = await stream.propose('orders', body);
      metrics.addCount(`fleet.${body.kind}`, {verdict: verdict.rejection ?? 'accepted'});
      return verdict.isAccepted;
    } catch {
      metrics.addCount(`fleet.${body.kind}`, {verdict: 'not-read-back'});
      return false;
    }
  }
}
