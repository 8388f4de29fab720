/** Runs the decisions about version moves and failure domains: writes them to the fleet stream. */
import type {VersionEvidence} from '../blackboard/index.js';
import {decideFailureDomains, type DomainOrderEffect} from '../controllers/failureDomains/index.js';
import {decideMove, type MoveStepEffect} from '../controllers/moves/index.js';
import {isMoveEnded} from '../folds/index.js';
import type {Logger} from '../logging/index.js';
import type {Metrics} from '../metrics/index.js';
import type {LogBody} from '../records/index.js';
import type {FleetStream} from './FleetStream.js';
import type {LeaseKeeper} from './LeaseKeeper.js';

/** Options of a `MoveRunner`. */
export interface MoveRunnerOptions {
  readonly stream: FleetStream;
  readonly lease: LeaseKeeper;
  readonly incarnation: string;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** What the move of a service is decided by. */
export interface ServiceReadiness {
  readonly service: string;
  readonly readyPercent: number;
}

/** Decides and writes the steps of moves and the ends of returns. */
export class MoveRunner {
  private readonly options: MoveRunnerOptions;
  private readonly wantedShares = new Map<string, number>();

  constructor(options: MoveRunnerOptions) {
    this.options = options;
  }

  /**
   * Returns the share that the move of a service needs capacity for next.
   * @param service - The service.
   */
  getWantedSharePercent(service: string): number {
    return this.wantedShares.get(service) ?? 0;
  }

  /**
   * Decides about all moves and failure domains.
   * @param evidence - Evidence of all entries.
   * @param readiness - Ready part of the new version of each move.
   * @param nowMs - Present time by the wall clock.
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
      for (const effect of effects) await this.writeStep(effect, nowMs);
    }
    const statuses = fold.getFailureDomains();
    for (const effect of decideFailureDomains({statuses}, nowMs).effects) {
      await this.writeDomainOrder(effect, nowMs);
    }
  }

  private async writeStep(effect: MoveStepEffect, nowMs: number): Promise<void> {
    const {moveId, phase, sharePercent, reason} = effect;
    const fencingToken = this.options.lease.getFencingToken();
    const step = {moveId, fencingToken, phase, sharePercent, decidedAtMs: nowMs, reason};
    if (!(await this.write({kind: 'move-step', ...step}))) return;
    this.options.logger.info({moveId, phase, sharePercent, reason}, 'move step');
  }

  private async writeDomainOrder(effect: DomainOrderEffect, nowMs: number): Promise<void> {
    const {failureDomain, state, replacesRevision} = effect;
    const requestedBy = this.options.incarnation;
    const order = {failureDomain, state, replacesRevision, requestedBy, requestedAtMs: nowMs};
    if (!(await this.write({kind: 'domain-order', ...order}))) return;
    this.options.logger.info({failureDomain, state}, 'failure domain returned');
  }

  /** Returns whether the record holds. The fold refuses an old token, so the log takes it from the holder only. */
  private async write(body: LogBody): Promise<boolean> {
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
