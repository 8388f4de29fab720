/** Read-only endpoints with the state of an entry, for operators and the deployment's other daemons. */
import type {ServerResponse} from 'node:http';
import {sendJson} from './responses.js';
import type {HandlerContext} from './RequestContext.js';

/** Response body of `GET /v1/status`. */
export interface StatusResponse {
  readonly instanceId: string;
  readonly failureDomain: string;
  /** Revision of the configuration in force; 0 while there is none. */
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

/** Handles `GET /v1/status`, `GET /v1/stats` and `GET /v1/evidence?fromMs=N`. */
export class OperatorHandler {
  private readonly context: HandlerContext;

  constructor(context: HandlerContext) {
    this.context = context;
  }

  /** Returns the handler for the path of an operator's request; undefined for other paths. */
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
    const body: StatusResponse = {
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
    sendJson(response, 200, body);
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
