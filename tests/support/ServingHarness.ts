/** Runs the request path of one entry against in-process stand-in engines, without log and peers. */
import {createHash, randomUUID} from 'node:crypto';
import {request} from 'undici';
import {Blackboard, type Instance} from '../../src/blackboard/index.js';
import type {Configuration, Service} from '../../src/configuration/index.js';
import {chooseBackendServer, type ChooseServer} from '../../src/controllers/routing/index.js';
import {EngineClient} from '../../src/engine/index.js';
import {ServerWatcher} from '../../src/entry/ServerWatcher.js';
import {
  CallerHttpServer,
  Handover,
  ServingParts,
  type HandlerContext,
} from '../../src/http/index.js';
import {Metrics} from '../../src/metrics/index.js';
import {DEFAULT_ENGINE_PROFILE, ModelEngine, type EngineProfile} from '../../standins/index.js';
import {CONFIGURATION, GUIDANCE, createEntry} from './deployment.js';

/** API key of the workspace named `small`. */
export const CALLER_KEY = 'key-of-the-small-workspace';

/** Settings of a stand-in engine. */
export interface EnginePlan {
  readonly instanceId: string;
  readonly service?: string;
  readonly version?: string;
  readonly failureDomain?: string;
  readonly isColdAtStart?: boolean;
  readonly profile?: Partial<EngineProfile>;
}

/** Options of a `ServingHarness`. */
export interface ServingHarnessOptions {
  readonly engines: readonly EnginePlan[];
  readonly service?: Partial<Service>;
  /** Services configured in addition to `guidance`. */
  readonly otherServices?: readonly Service[];
  /** Routing policy; `chooseBackendServer` if undefined. */
  readonly chooseServer?: ChooseServer;
  /** Service that claims idempotency keys; if undefined, every claim rejects. */
  readonly claims?: HandlerContext['claims'];
}

/** Response to a streamed request. */
export interface StreamedResponse {
  readonly status: number;
  readonly tokens: readonly string[];
  readonly body: string;
}

/** Response to a request without streaming. */
export interface UnstreamedResponse {
  readonly status: number;
  readonly location: string;
  readonly body: string;
}

const LOOPBACK = '127.0.0.1';
const FAST_PROFILE: EngineProfile = {...DEFAULT_ENGINE_PROFILE, timeScale: 4};

/** Starts engines and one entry, and sends requests to the entry. */
export class ServingHarness {
  readonly blackboard = new Blackboard();
  readonly metrics = new Metrics({globalTags: {}});
  readonly engine = new EngineClient({connectTimeoutMs: 500, reportTimeoutMs: 500});
  readonly serving: ServingParts;
  private readonly options: ServingHarnessOptions;
  private readonly engines = new Map<string, ModelEngine>();
  private readonly instances = new Map<string, Instance>();
  private readonly watcher: ServerWatcher;
  private readonly context: HandlerContext;
  private readonly server: CallerHttpServer;

  constructor(options: ServingHarnessOptions) {
    this.options = options;
    const {blackboard, metrics, engine} = this;
    const getNowMs = () => Date.now();
    this.serving = new ServingParts({
      blackboard,
      metrics,
      ownInstanceId: 'entry-1',
      getNowMs,
      maxRunningRequests: 1_000,
      maxQueuedRequests: 1_000,
    });
    this.watcher = new ServerWatcher({
      blackboard,
      engine,
      tracker: this.serving.tracker,
      list: {
        getInstances: async () => ({instances: [...this.instances.values()], readAtMs: getNowMs()}),
      },
      getNowMs,
      markDrainingInstances: instances => instances,
      listIntervalMs: 50,
      reportIntervalMs: 50,
    });
    const {tracker, retryBudget, quarantine, evidence, runs, runningAttempts, admission} =
      this.serving;
    this.context = {
      blackboard,
      engine,
      metrics,
      tracker,
      chooseServer: options.chooseServer ?? chooseBackendServer,
      retryBudget,
      quarantine,
      evidence,
      runs,
      runningAttempts,
      admission,
      reportIncidents: this.serving.getIncidentReporter(),
      claims: options.claims ?? {
        claim: () => Promise.reject(new Error('the harness has no claim service')),
        recordOutcome: () => Promise.reject(new Error('the harness has no claim service')),
      },
      bodyLimits: {maxBytes: 1_000_000, timeoutMs: 500},
      deploymentKeys: ['deployment-key-of-tests'],
      ownInstanceId: 'entry-1',
      ownFailureDomain: 'oslo-a',
      getNowMs,
      random: () => 0,
      createId: randomUUID,
      isStopping: () => false,
      checkAccepting: () => undefined,
    };
    this.server = new CallerHttpServer({address: LOOPBACK, port: 0, context: this.context});
  }

  /** Publishes the configuration on the blackboard, then starts engines, watcher and server. */
  async start(): Promise<void> {
    this.blackboard.setSection('configuration', {
      revision: 1,
      configuration: this.createConfiguration(),
      confirmedAtMs: Date.now(),
    });
    for (const plan of this.options.engines) await this.startEngine(plan);
    await this.watcher.start();
    this.serving.start();
    await this.server.start();
  }

  /** Stops the entry, then the engines that still run. */
  async stop(): Promise<void> {
    this.watcher.stop();
    this.serving.stop();
    await this.server.stop();
    await this.engine.close();
    await Promise.all(
      [...this.engines.values()].map(engine => engine.stop().catch(() => undefined)),
    );
  }

  /** Returns the URL that callers use. */
  getUrl(): string {
    return `http://${LOOPBACK}:${this.server.getPort()}`;
  }

  /** Returns a running engine; throws if it was never started or has stopped. */
  getEngine(instanceId: string): ModelEngine {
    const engine = this.engines.get(instanceId);
    if (!engine) throw new Error(`engine "${instanceId}" is not running`);
    return engine;
  }

  /** Returns the instance ids of the engines that still run. */
  getRunningEngineIds(): readonly string[] {
    return [...this.engines.keys()];
  }

  /**
   * Hands the open requests over to another entry, as an entry that stops does.
   * @param peer - Entry that continues the requests.
   */
  handOverTo(peer: ServingHarness): void {
    const member = createEntry('entry-2', {callersPort: peer.server.getPort()});
    this.blackboard.setSection('peers', {members: [member]});
    const handover = new Handover({
      context: this.context,
      send: async (unused, requests) => peer.server.getHandedRequestRuns().accept(requests),
    });
    handover.handOver(Date.now());
  }

  /** Records fast first tokens until the entry regards an engine as warm. */
  warmUp(instanceId: string): void {
    const {servers} = this.blackboard.getSection('backendServers');
    const server = servers.find(other => other.instanceId === instanceId);
    if (!server) throw new Error(`unknown backend server "${instanceId}"`);
    while (this.serving.tracker.getWarmth(instanceId) !== 'warm') {
      this.serving.tracker.addFirstToken(server, {expectedMs: 1, observedMs: 1});
    }
  }

  /** Changes fields of an instance in the platform's list; ignored if the instance is unknown. */
  changeInstance(instanceId: string, changes: Partial<Instance>): void {
    const instance = this.instances.get(instanceId);
    if (instance) this.instances.set(instanceId, {...instance, ...changes});
  }

  /** Stops an engine, which stays in the platform's list. */
  async kill(instanceId: string): Promise<void> {
    const engine = this.getEngine(instanceId);
    this.engines.delete(instanceId);
    await engine.stop();
  }

  /** Sets the injected faults of an engine over its HTTP interface. */
  async setFaults(instanceId: string, faults: object): Promise<void> {
    const url = `http://${LOOPBACK}:${this.getEngine(instanceId).getPort()}/standin/faults`;
    const response = await request(url, {method: 'PUT', body: JSON.stringify(faults)});
    await response.body.dump();
  }

  /**
   * Sends a chat request and reads the streamed response.
   * @param content - Text of the user's message.
   * @param maxTokens - Number of tokens to generate.
   * @param onToken - Called after each token with the number received so far.
   */
  chat(
    content: string,
    maxTokens: number,
    onToken: (count: number) => void = () => undefined,
  ): Promise<StreamedResponse> {
    const url = `http://${LOOPBACK}:${this.server.getPort()}/v1/chat/completions`;
    return callStream(url, createChat(content, maxTokens, true), onToken);
  }

  /** Sends a chat request without streaming. */
  async chatWithoutStream(content: string, maxTokens: number): Promise<UnstreamedResponse> {
    const url = `http://${LOOPBACK}:${this.server.getPort()}/v1/chat/completions`;
    const headers = {authorization: `Bearer ${CALLER_KEY}`, 'content-type': 'application/json'};
    const body = createChat(content, maxTokens, false);
    const response = await request(url, {method: 'POST', headers, body});
    const {location} = response.headers;
    return {
      status: response.statusCode,
      location: String(location),
      body: await response.body.text(),
    };
  }

  /** Starts an engine and adds it to the platform's list. */
  async startEngine(plan: EnginePlan): Promise<void> {
    const {instanceId, service = 'guidance', version = 'v1'} = plan;
    const {failureDomain = 'oslo-a', isColdAtStart = false} = plan;
    const identity = {
      instanceId,
      service,
      version,
      failureDomain,
      machineClass: 'small',
      market: 'reclaimable' as const,
    };
    const engine = new ModelEngine({
      address: LOOPBACK,
      port: 0,
      identity,
      profile: {...FAST_PROFILE, ...plan.profile},
      isColdAtStart,
      honoursFencingTokens: true,
      loadLagMs: 50,
      cacheEventDelayMs: 50,
      loadVersionMs: 50,
      random: () => 0.5,
      onDown: () => void this.engines.delete(instanceId),
    });
    await engine.start();
    this.engines.set(instanceId, engine);
    const port = engine.getPort();
    const state = 'live' as const;
    this.instances.set(instanceId, {...identity, role: 'backend', address: LOOPBACK, port, state});
  }

  private createConfiguration(): Configuration {
    const sha256 = createHash('sha256').update(CALLER_KEY).digest('hex');
    const service = {...GUIDANCE, coldConcurrentRequests: 16, ...this.options.service};
    return {
      ...CONFIGURATION,
      workspaces: CONFIGURATION.workspaces.map(workspace => ({
        ...workspace,
        keys: workspace.name === 'small' ? [{sha256}] : [],
      })),
      services: [service, ...(this.options.otherServices ?? [])],
    };
  }
}

function createChat(content: string, maxTokens: number, isStreamed: boolean): string {
  return JSON.stringify({
    model: 'guidance',
    stream: isStreamed,
    max_tokens: maxTokens,
    messages: [{role: 'user', content}],
  });
}

/**
 * Sends a request to an entry and reads the streamed response.
 * @param body - JSON body of a POST; undefined for a GET.
 * @param onToken - Called after each token with the number received so far.
 * @param lastEventId - Number of tokens already received, to resume the stream after them; undefined for a new stream.
 */
export async function callStream(
  url: string,
  body: string | undefined,
  onToken: (count: number) => void = () => undefined,
  lastEventId?: number,
): Promise<StreamedResponse> {
  const response = await request(url, {
    method: body === undefined ? 'GET' : 'POST',
    headers: {
      authorization: `Bearer ${CALLER_KEY}`,
      'content-type': 'application/json',
      ...(lastEventId === undefined ? {} : {'last-event-id': String(lastEventId)}),
    },
    body,
    bodyTimeout: 0,
    headersTimeout: 0,
  });
  const tokens: string[] = [];
  let partialLine = '';
  let fullBody = '';
  for await (const bytes of response.body) {
    const text = (bytes as Buffer).toString('utf8');
    fullBody += text;
    const lines = (partialLine + text).split('\n');
    partialLine = lines.pop() ?? '';
    for (const line of lines) {
      const token = readToken(line);
      if (token === undefined) continue;
      tokens.push(token);
      onToken(tokens.length);
    }
  }
  return {status: response.statusCode, tokens, body: fullBody};
}

function readToken(line: string): string | undefined {
  if (!line.startsWith('data: {')) return undefined;
  const chunk = JSON.parse(line.slice('data: '.length)) as {
    readonly choices?: ReadonlyArray<{readonly delta?: {readonly content?: string}}>;
  };
  const content = chunk.choices?.[0]?.delta?.content;
  return content === undefined || content === '' ? undefined : content;
}
