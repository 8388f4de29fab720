/** Tells operators and the system's own daemons what an entry knows. */
import type {ServerResponse} from 'node:http';
import {sendJson} from './Answers.js';
import type {HandlerContext} from './RequestContext.js';

/** Answer of `GET /v1/status`. */
export interface StatusAnswer {
  readonly instanceId: string;
  readonly failureDomain: string;
  readonly configurationRevision: number;
  readonly isStopping: boolean;
  readonly members: readonly {readonly instanceId: string; readonly state: string}[];
  readonly backendServers: readonly {
    readonly instanceId: string;
    readonly service: string;
    readonly version: string;
    readonly failureDomain: string;
    readonly state: string;
    readonly warmth: string;
  }[];
}

/** Answers `GET /v1/status`, `GET /v1/stats` and `GET /v1/evidence?fromMs=N`. */
export class OperatorHandler {
  private readonly context: HandlerContext;

  constructor(context: HandlerContext) {
    this.context = context;
  }

  /**
   * Returns the handler of a path for operators; undefined for other paths.
   * @param url - URL of the request.
   */
  getHandler(url: URL): ((response: ServerResponse) => void) | undefined {
    switch (url.pathname) {
      case '/v1/status':
        return response => this.handleStatus(response);
      case '/v1/stats':
        return response => this.handleStats(response);
      case '/v1/evidence':
        return response => this.handleEvidence(response, Number(url.searchParams.get('fromMs')));
      default:
        return undefined;
    }
  }

  private handleStatus(response: ServerResponse): void {
    const {blackboard, ownInstanceId, ownFailureDomain, isStopping} = this.context;
    const {configuration, peers, backendServers} = blackboard.getSections();
    const answer: StatusAnswer = {
      instanceId: ownInstanceId,
      failureDomain: ownFailureDomain,
      configurationRevision: configuration.revision,
      isStopping: isStopping(),
      members: peers.members.map(({instanceId, state}) => ({instanceId, state})),
      backendServers: backendServers.servers.map(
        ({instanceId, service, version, failureDomain, state, warmth}) => ({
          instanceId,
          service,
          version,
          failureDomain,
          state,
          warmth,
        }),
      ),
    };
    sendJson(response, 200, answer);
  }

  private handleStats(response: ServerResponse): void {
    const {metrics, ownInstanceId} = this.context;
    sendJson(response, 200, {instanceId: ownInstanceId, metrics: metrics.getSnapshot()});
  }

  private handleEvidence(response: ServerResponse, fromMs: number): void {
    const {evidence, ownInstanceId} = this.context;
    sendJson(response, 200, {instanceId: ownInstanceId, windows: evidence.getEvidence(fromMs)});
  }
}
