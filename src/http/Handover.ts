/** Hands the requests that a stopping entry can't finish to its peers. */
import {isIPv6} from 'node:net';
import type {Member} from '../blackboard/index.js';
import {getRequestsToHandOver} from '../controllers/drain/index.js';
import {rankByRendezvous} from '../utils/index.js';
import type {CompletionRun} from './CompletionRun.js';
import {getHandedPath} from './handedPath.js';
import type {HandedRequest} from './HandedRuns.js';
import type {HandlerContext} from './RequestContext.js';

/** Sends requests to a peer and returns the ids of those that it took. */
export type HandoverSender = (
  peer: Member,
  requests: readonly HandedRequest[],
) => Promise<readonly string[]>;

/** Options of a `Handover`. */
export interface HandoverOptions {
  readonly context: HandlerContext;
  readonly send: HandoverSender;
}

/** Looks at the open runs of an entry that stops. */
export class Handover {
  private readonly options: HandoverOptions;
  private readonly handing = new Set<string>();

  constructor(options: HandoverOptions) {
    this.options = options;
  }

  /**
   * Hands over what won't end before the entry is gone; what no peer takes goes on here.
   * @param leavingAtMs - Instant at which the entry is gone.
   */
  handOver(leavingAtMs: number): void {
    const {context} = this.options;
    const runs = context.runs.getRuns();
    const views = runs.map(run => ({
      requestId: run.accepted.requestId,
      isIdempotent: true,
      remainingTokens: run.getRemainingTokens(),
      interTokenMs: run.accepted.requestClass.interTokenTargetMs,
    }));
    const chosen = new Set(getRequestsToHandOver(views, leavingAtMs, context.getNowMs()));
    for (const run of runs) {
      const {requestId} = run.accepted;
      if (!chosen.has(requestId) || this.handing.has(requestId)) continue;
      this.handing.add(requestId);
      void run.handOver(() => this.sendToPeers(run)).finally(() => this.handing.delete(requestId));
    }
  }

  private async sendToPeers(run: CompletionRun): Promise<string | undefined> {
    const {context, send} = this.options;
    const {requestId, workspace} = run.accepted;
    for (const peer of this.rankPeers(workspace)) {
      const accepted = await send(peer, [createHandedRequest(run)]).catch(
        (): readonly string[] => [],
      );
      if (!accepted.includes(requestId)) continue;
      context.metrics.addCount('request.handed_over', {workspace});
      const host = isIPv6(peer.address) ? `[${peer.address}]` : peer.address;
      return `http://${host}:${peer.callersPort}${getHandedPath(requestId)}`;
    }
    return undefined;
  }

  private rankPeers(workspace: string): readonly Member[] {
    const {blackboard, ownInstanceId} = this.options.context;
    const {members} = blackboard.getSection('peers');
    const usable = members.filter(
      ({instanceId, state, callersPort}) =>
        instanceId !== ownInstanceId && state === 'alive' && callersPort > 0,
    );
    return rankByRendezvous(workspace, usable, ({instanceId}) => instanceId);
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
    passedTokens: run.getPassedTokens(),
    deadlineAtMs,
  };
}
