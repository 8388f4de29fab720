/** Hands over requests that a stopping entry can't finish in time to its peers. */
import {isIPv6} from 'node:net';
import type {Member} from '../blackboard/index.js';
import {getRequestsToHandOver} from '../controllers/drain/index.js';
import {rankByRendezvous} from '../utils/index.js';
import type {CompletionRun} from './CompletionRun.js';
import {getHandedRequestPath} from './handedRequestPath.js';
import type {HandedRequest} from './HandedRequestRuns.js';
import type {HandlerContext} from './RequestContext.js';

/** Sends requests to a peer and resolves with the ids of those that it accepted. */
export type HandoverSender = (
  peer: Member,
  requests: readonly HandedRequest[],
) => Promise<readonly string[]>;

/** Options of a `Handover`. */
export interface HandoverOptions {
  readonly context: HandlerContext;
  readonly send: HandoverSender;
}

/** Selects the runs that would end too late, and offers each to the alive peers until one accepts it. */
export class Handover {
  private readonly options: HandoverOptions;
  /** Ids of requests whose handover is in progress. */
  private readonly pendingRequestIds = new Set<string>();

  constructor(options: HandoverOptions) {
    this.options = options;
  }

  /**
   * Starts to hand over the runs that are not expected to end before this entry stops; runs that no peer accepts
   * continue here. May be called repeatedly; requests whose handover is in progress are skipped.
   * @param leavingAtMs - Time at which this entry stops, by the context's clock.
   */
  handOver(leavingAtMs: number): void {
    const {context} = this.options;
    const runs = context.runs.getRuns();
    const candidates = runs.map(run => ({
      requestId: run.accepted.requestId,
      isIdempotent: true,
      remainingTokens: run.getRemainingTokens(),
      interTokenMs: run.accepted.requestClass.interTokenTargetMs,
    }));
    const selectedIds = new Set(getRequestsToHandOver(candidates, leavingAtMs, context.getNowMs()));
    for (const run of runs) {
      const {requestId} = run.accepted;
      if (!selectedIds.has(requestId) || this.pendingRequestIds.has(requestId)) continue;
      this.pendingRequestIds.add(requestId);
      void run
        .handOver(() => this.sendToPeers(run))
        .finally(() => this.pendingRequestIds.delete(requestId));
    }
  }

  private async sendToPeers(run: CompletionRun): Promise<string | undefined> {
    const {context, send} = this.options;
    const {requestId, workspace} = run.accepted;
    for (const peer of this.rankPeers(workspace)) {
      const acceptedIds = await send(peer, [createHandedRequest(run)]).catch(
        (): readonly string[] => [],
      );
      if (!acceptedIds.includes(requestId)) continue;
      context.metrics.addCount('request.handed_over', {workspace});
      const host = isIPv6(peer.address) ? `[${peer.address}]` : peer.address;
      return `http://${host}:${peer.callersPort}${getHandedRequestPath(requestId)}`;
    }
    return undefined;
  }

  private rankPeers(workspace: string): readonly Member[] {
    const {blackboard, ownInstanceId} = this.options.context;
    const {members} = blackboard.getSection('peers');
    const alivePeers = members.filter(
      ({instanceId, state, callersPort}) =>
        instanceId !== ownInstanceId && state === 'alive' && callersPort > 0,
    );
    return rankByRendezvous(workspace, alivePeers, ({instanceId}) => instanceId);
  }
}

function createHandedRequest(run: CompletionRun): HandedRequest {
  const {requestId, workspace, service, requestClass, completion, path, body, deadlineAtMs} =
    run.accepted;
  return {
    requestId,
    workspace,
    service: service.name,
    requestClass: requestClass.name,
    format: completion.format,
    path,
    body,
    passedTokens: run.getForwardedTokens(),
    deadlineAtMs,
  };
}
