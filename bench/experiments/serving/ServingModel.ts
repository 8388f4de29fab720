/** Discrete-event simulation of a planned load on virtual engines behind one entry, with a routing policy and reclaims. */
import type {BackendServer, InstanceState} from '../../../src/blackboard/index.js';
import type {ChooseServer} from '../../../src/controllers/routing/index.js';
import type {PlannedRequest} from '../../../src/load/index.js';
import {createSeededRandom, hashBlocks} from '../../../src/utils/index.js';
import {DEFAULT_ENGINE_PROFILE} from '../../../standins/engine/EngineProfile.js';
import {EntryModel} from './EntryModel.js';
import {EventQueue} from './EventQueue.js';
import {VirtualEngine} from './VirtualEngine.js';

/** A reclaim of all engines of a failure domain. */
export interface ReclaimPlan {
  readonly atMs: number;
  readonly failureDomain: string;
}

/** Options of a `ServingModel`. */
export interface ServingModelOptions {
  readonly seed: number;
  readonly engines: number;
  readonly planned: readonly PlannedRequest[];
  readonly chooseServer: ChooseServer;
  readonly reclaims: readonly ReclaimPlan[];
  /** Capacity of each engine's prefix cache in tokens. */
  readonly cacheTokens: number;
}

/** Result of a request. */
export interface ServedRequest {
  readonly planned: PlannedRequest;
  /** Time from arrival to the first token; undefined if there was none by the end of the run. */
  readonly firstTokenMs: number | undefined;
  readonly interTokenMs: readonly number[];
  /** Whether all tokens of the response were produced. */
  readonly isComplete: boolean;
  /** Tokens prefilled for the request, including those prefilled again after it moved to another engine. */
  readonly computedTokens: number;
  readonly attempts: number;
}

interface OpenRequest {
  readonly planned: PlannedRequest;
  readonly promptTokens: readonly string[];
  blockHashes: readonly string[];
  readonly answer: string[];
  readonly interTokenMs: number[];
  firstTokenMs: number | undefined;
  lastTokenAtMs: number;
  computedTokens: number;
  attempts: number;
}

/** Failure domains; engines are assigned to them in turn. */
export const FAILURE_DOMAINS = ['a', 'b', 'c', 'd'] as const;

const POLL_MS = 500;
const POLL_LOSS_PROBABILITY = 0.02;
const NOTICE_DETECTION_MS = 500;
const NOTICE_MS = 2_000;
const REPLACEMENT_DELAY_MS = 60_000;
const DEADLINE_MS = 30_000;
const SETTLE_MS = 30_000;
const REVIEW_PRIORITY = 5;

/** Runs one load; each instance runs once. */
export class ServingModel {
  private readonly options: ServingModelOptions;
  private readonly queue = new EventQueue();
  private readonly entry = new EntryModel();
  private readonly engines = new Map<string, VirtualEngine>();
  private readonly random: () => number;
  private readonly requests: OpenRequest[] = [];
  /** Requests for which no server has had capacity yet, oldest first. */
  private readonly waiting: OpenRequest[] = [];
  private startedEngines = 0;

  constructor(options: ServingModelOptions) {
    this.options = options;
    this.random = createSeededRandom(options.seed);
  }

  /** Runs the simulation and returns the result of each request, in order of arrival. */
  run(): readonly ServedRequest[] {
    const {engines, planned, reclaims} = this.options;
    for (let index = 0; index < engines; index++) {
      this.startEngine(FAILURE_DOMAINS[index % FAILURE_DOMAINS.length], false);
    }
    for (const one of planned) this.queue.addEvent(one.atMs, () => this.openRequest(one));
    for (const {atMs, failureDomain} of reclaims) {
      this.queue.addEvent(atMs, () => this.reclaimDomain(failureDomain));
    }
    this.queue.runUntil((planned.at(-1)?.atMs ?? 0) + SETTLE_MS);
    return this.requests.map(({planned: plan, answer, ...rest}) => {
      const {firstTokenMs, interTokenMs, computedTokens, attempts} = rest;
      const isComplete = answer.length === plan.kind.answerTokens;
      return {planned: plan, firstTokenMs, interTokenMs, isComplete, computedTokens, attempts};
    });
  }

  private startEngine(failureDomain: string, isColdAtStart: boolean): void {
    this.startedEngines += 1;
    const instanceId = `engine-${this.startedEngines}`;
    const profile = {...DEFAULT_ENGINE_PROFILE, cacheTokens: this.options.cacheTokens};
    this.engines.set(instanceId, new VirtualEngine({queue: this.queue, profile, isColdAtStart}));
    this.updateServer(instanceId, failureDomain, 'live');
    // A random offset keeps the engines from being polled at the same time.
    this.queue.addEvent(this.random() * POLL_MS, () => this.poll(instanceId, failureDomain));
  }

  private updateServer(instanceId: string, failureDomain: string, state: InstanceState): void {
    const engine = this.engines.get(instanceId);
    if (!engine) return;
    const warmth: BackendServer['warmth'] = engine.isCold() ? 'cold' : 'warm';
    const [service, version, address, port] = ['guidance', 'v1', '127.0.0.1', 1] as const;
    const load = engine.getLoad();
    this.entry.setServer({
      ...{instanceId, service, version, address, port},
      ...{failureDomain, state, warmth, load},
    });
  }

  /** Reads load and cache events of an engine; a lost response leaves a gap in the cache events. */
  private poll(instanceId: string, failureDomain: string): void {
    const engine = this.engines.get(instanceId);
    const server = this.entry.getServer(instanceId);
    if (!engine || !server) return;
    this.updateServer(instanceId, failureDomain, server.state);
    this.sendWaiting();
    const isLost = this.random() < POLL_LOSS_PROBABILITY;
    const events = engine.takeCacheEvents();
    const nextSequence = (events.at(-1)?.sequence ?? -1) + 1;
    const applied = isLost ? [] : events;
    if (events.length > 0) {
      const nowMs = this.queue.getNowMs();
      this.entry.applyCacheEvents(instanceId, applied, nextSequence, nowMs);
    }
    this.queue.addEvent(POLL_MS, () => this.poll(instanceId, failureDomain));
  }

  private openRequest(planned: PlannedRequest): void {
    const promptTokens = planned.content.split(' ');
    const opened: OpenRequest = {
      planned,
      promptTokens,
      blockHashes: hashBlocks(promptTokens),
      answer: [],
      interTokenMs: [],
      firstTokenMs: undefined,
      lastTokenAtMs: 0,
      computedTokens: 0,
      attempts: 0,
    };
    this.requests.push(opened);
    this.send(opened);
  }

  /** Sends a request; tokens that an earlier attempt already passed to the caller are appended to the prompt. */
  private send(opened: OpenRequest): void {
    const {promptTokens, answer} = opened;
    const tokens = answer.length === 0 ? promptTokens : [...promptTokens, ...answer];
    if (answer.length > 0) opened.blockHashes = hashBlocks(tokens);
    if (!this.startIfCapacity(opened, tokens)) this.waiting.push(opened);
  }

  /** Sends waiting requests, oldest first, while servers have capacity; requests past their deadline are dropped. */
  private sendWaiting(): void {
    const nowMs = this.queue.getNowMs();
    for (let next = this.waiting[0]; next; next = this.waiting[0]) {
      const isLate = nowMs >= next.planned.atMs + DEADLINE_MS;
      if (!isLate && !this.startIfCapacity(next, [...next.promptTokens, ...next.answer])) return;
      this.waiting.shift();
    }
  }

  private startIfCapacity(opened: OpenRequest, tokens: readonly string[]): boolean {
    const {planned, blockHashes} = opened;
    const nowMs = this.queue.getNowMs();
    const request = {
      service: 'guidance',
      workspace: planned.workspace.name,
      requestClass: planned.kind.requestClass,
      promptTokens: tokens.length,
      blockHashes,
      excludedInstanceIds: new Set<string>(),
      deadlineAtMs: planned.atMs + DEADLINE_MS,
    };
    const view = this.entry.getView(nowMs);
    const decision = this.options.chooseServer(view, request, nowMs, this.random);
    if (decision.kind === 'chosen') this.startAttempt(opened, decision.server, tokens, blockHashes);
    return decision.kind === 'chosen';
  }

  private startAttempt(
    opened: OpenRequest,
    {instanceId}: BackendServer,
    tokens: readonly string[],
    blockHashes: readonly string[],
  ): void {
    const {planned, answer} = opened;
    const nowMs = this.queue.getNowMs();
    const cachedTokens = this.entry.getView(nowMs).getCachedTokens(instanceId, blockHashes);
    const expectedTokens = Math.max(0, tokens.length - cachedTokens);
    const passedTokens = answer.length;
    this.entry.addSentRequest(instanceId, blockHashes, expectedTokens, nowMs);
    opened.attempts += 1;
    this.engines.get(instanceId)?.addJob({
      promptTokens: tokens,
      promptHashes: blockHashes,
      answerTokens: planned.kind.answerTokens - passedTokens,
      priority: planned.kind.requestClass === 'review' ? REVIEW_PRIORITY : 0,
      onAdmitted: cached => (opened.computedTokens += tokens.length - cached),
      onToken: () => {
        if (answer.length === passedTokens) {
          this.entry.removePendingTokens(instanceId, expectedTokens);
        }
        return this.addToken(opened);
      },
      onEnd: () => {
        this.entry.removeOpenRequest(instanceId);
        this.queue.addEvent(0, () => this.sendWaiting());
      },
      onLost: () => this.send(opened),
    });
  }

  private addToken(opened: OpenRequest): string {
    const nowMs = this.queue.getNowMs();
    const {planned, answer, interTokenMs} = opened;
    if (opened.firstTokenMs === undefined) opened.firstTokenMs = nowMs - planned.atMs;
    else interTokenMs.push(nowMs - opened.lastTokenAtMs);
    opened.lastTokenAtMs = nowMs;
    const token = `${planned.atMs}.${answer.length}`;
    answer.push(token);
    return token;
  }

  /** Reclaims the engines of a failure domain; the entry sees the notice 0.5 s later, and requests that still run when the
   * notice ends are sent to other engines. */
  private reclaimDomain(failureDomain: string): void {
    const reclaimed = [...this.engines.keys()].filter(
      instanceId => this.entry.getServer(instanceId)?.failureDomain === failureDomain,
    );
    for (const instanceId of reclaimed) {
      this.queue.addEvent(NOTICE_DETECTION_MS, () =>
        this.updateServer(instanceId, failureDomain, 'leaving'),
      );
      this.queue.addEvent(NOTICE_MS, () => this.terminateEngine(instanceId));
      this.queue.addEvent(REPLACEMENT_DELAY_MS, () => this.startEngine(failureDomain, true));
    }
  }

  private terminateEngine(instanceId: string): void {
    const engine = this.engines.get(instanceId);
    this.engines.delete(instanceId);
    this.entry.removeServer(instanceId);
    engine?.stop();
  }
}
