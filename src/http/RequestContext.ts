/**
 * Shared context of the request handlers: the entry's parts, the caller's request, and lookups that several handlers
 * need.
 */
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
import type {RunningAttempts} from './RunningAttempts.js';

/** Parts of the entry that the request handlers use. */
export interface HandlerContext {
  readonly blackboard: Blackboard;
  readonly engine: EngineClient;
  readonly claims: Pick<ClaimService, 'claim' | 'recordOutcome'>;
  readonly admission: AdmissionGates;
  readonly tracker: ServerTracker;
  /** Routing policy, which chooses the backend server of an attempt. */
  readonly chooseServer: ChooseServer;
  readonly retryBudget: RetryBudget;
  readonly quarantine: QuarantineLedger;
  readonly evidence: EvidenceRecorder;
  readonly runs: RunRegistry;
  /** Attempts that may be stopped because they can be retried. */
  readonly runningAttempts: RunningAttempts;
  /**
   * Records incidents at this entry and reports them to its peers; resolves when the peers that respond in time have
   * them.
   */
  readonly reportIncidents: (incidents: readonly Incident[]) => Promise<void>;
  readonly metrics: Metrics;
  readonly bodyLimits: BodyLimits;
  /** Valid bearer keys of operators and daemons, in clear text. */
  readonly deploymentKeys: readonly string[];
  readonly ownInstanceId: string;
  readonly ownFailureDomain: string;
  /** Returns the Unix time in milliseconds. */
  readonly getNowMs: () => number;
  /** Returns a random number from 0 up to, but not including, 1. */
  readonly random: () => number;
  readonly createId: () => string;
  readonly isStopping: () => boolean;
  /** Throws a ServingError if this entry may not accept new work. */
  readonly checkAccepting: () => void;
}

/** An authenticated request of a workspace's caller. */
export interface CallerRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly url: URL;
  readonly requestId: string;
  readonly workspace: Workspace;
  /** Configuration in force when the request arrived. */
  readonly configuration: Configuration;
  /** Aborted when the caller disconnects before the response is complete. */
  readonly signal: AbortSignal;
}

/** Returns the present input of the routing policy; backend servers that this entry can't reach are left out. */
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
 * Returns a service by name. A service that the caller's workspace may not use is reported as nonexistent.
 * @param caller - Request, whose configuration and workspace apply.
 * @param name - Name of the service.
 * @param kind - Required kind of the service.
 * @throws ServingError of kind `unknown-model` for a model service, `not-found` for a plain one.
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
