/** What the handlers of callers' requests share. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Blackboard, Incident} from '../blackboard/index.js';
import type {ClaimService} from '../claims/index.js';
import type {Configuration, Service, Workspace} from '../configuration/index.js';
import type {EvidenceRecorder} from '../controllers/moves/index.js';
import type {QuarantineLedger} from '../controllers/quarantine/index.js';
import type {RetryBudget} from '../controllers/retry/index.js';
import type {ChooseServer, RoutingView} from '../controllers/routing/index.js';
import type {EngineClient, ServerTracker} from '../engine/index.js';
import {ServingError} from '../errors/index.js';
import type {Metrics} from '../metrics/index.js';
import type {AdmissionGates} from './AdmissionGates.js';
import type {BodyLimits} from './RequestBody.js';
import type {RunRegistry} from './RunRegistry.js';
import type {RunningTries} from './RunningTries.js';

/** Parts of the daemon that handlers use. */
export interface HandlerContext {
  readonly blackboard: Blackboard;
  readonly engine: EngineClient;
  readonly claims: Pick<ClaimService, 'claim' | 'recordOutcome'>;
  readonly admission: AdmissionGates;
  readonly tracker: ServerTracker;
  /** Routing policy. */
  readonly chooseServer: ChooseServer;
  readonly retryBudget: RetryBudget;
  readonly quarantine: QuarantineLedger;
  readonly evidence: EvidenceRecorder;
  readonly runs: RunRegistry;
  readonly tries: RunningTries;
  /** Tells peers and this entry itself of evidence; resolves when the peers that answer in time have it. */
  readonly reportIncidents: (incidents: readonly Incident[]) => Promise<void>;
  readonly metrics: Metrics;
  readonly bodyLimits: BodyLimits;
  readonly deploymentKeys: readonly string[];
  readonly ownInstanceId: string;
  readonly ownFailureDomain: string;
  readonly getNowMs: () => number;
  readonly random: () => number;
  readonly createId: () => string;
  readonly isStopping: () => boolean;
  /** Throws a ServingError where this entry may not accept new work. */
  readonly checkAccepting: () => void;
}

/** A caller's request with the workspace it belongs to. */
export interface CallerRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly url: URL;
  readonly requestId: string;
  readonly workspace: Workspace;
  readonly configuration: Configuration;
  /** Aborted when the caller has gone. */
  readonly signal: AbortSignal;
}

/** Returns the view by which requests are routed now. */
export function getRoutingView(context: HandlerContext, configuration: Configuration): RoutingView {
  const {blackboard, tracker, ownInstanceId, ownFailureDomain, getNowMs} = context;
  const sections = blackboard.getSections();
  return {
    configuration,
    servers: sections.backendServers.servers.filter(({instanceId}) => !tracker.isDown(instanceId)),
    failureDomains: sections.failureDomains.domains,
    moves: sections.moves.moves,
    incidents: sections.incidents.incidents,
    entries: sections.peers.members,
    ownInstanceId,
    ownFailureDomain,
    getOpenRequests: instanceId => tracker.getOpenRequests(instanceId),
    getPendingPrefillTokens: instanceId => tracker.getPendingPrefillTokens(instanceId),
    getConcurrencyLimit: (server, service) => tracker.getLimit(server, service),
    getCachedTokens: (instanceId, blockHashes) =>
      tracker.prefixes.getCachedTokens(instanceId, blockHashes, getNowMs()),
  };
}

/**
 * Returns a service that a workspace may use.
 * @param caller - The request.
 * @param name - Name of the service.
 * @param kind - Kind that the call needs.
 * @throws ServingError of kind `unknown-model` or `not-found`.
 */
export function getServiceOrThrow(
  {configuration, workspace}: CallerRequest,
  name: string,
  kind: Service['kind'],
): Service {
  const service = configuration.services.find(
    candidate => candidate.name === name && candidate.kind === kind,
  );
  const isAllowed = service?.workspaces?.includes(workspace.name) ?? true;
  if (!service || !isAllowed) {
    throw new ServingError(`there is no ${kind} service "${name}"`, {
      kind: kind === 'model' ? 'unknown-model' : 'not-found',
    });
  }
  return service;
}
