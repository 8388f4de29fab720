/** Fixtures for tests of runs: servers, routes, and a harness with a scripted transport and a recording sink. */
import type {KnownServer, Route} from '../../src/catalog/index.js';
import {
  ExchangeRun,
  type AttemptMeasurement,
  type BackendCall,
  type BackendHead,
  type BackendResponseHandler,
  type HeaderFields,
  type Refusal,
  type RefusalKind,
  type RunOutcome,
  type RunServices,
  type ServingRequest,
} from '../../src/exchange/index.js';
import {BufferBudget} from '../../src/utils/index.js';

/** An attempt that the run has sent to the transport; the test calls its handler. */
export interface SentAttempt {
  readonly call: BackendCall;
  readonly handler: BackendResponseHandler;
  isCancelled: boolean;
  isPaused: boolean;
  isStalled: boolean;
}

export const SUCCESS: BackendHead = {
  status: 200,
  headers: {'x-signature': 's1'},
  isNotRun: false,
  hasNotRunStatus: false,
  isSigned: true,
  isFramed: true,
  isMisdirected: false,
  isLeaving: false,
  pauseMs: undefined,
  coldMs: undefined,
  requestLimit: undefined,
};

export const NOT_RUN: BackendHead = {
  ...SUCCESS,
  status: 503,
  isNotRun: true,
  hasNotRunStatus: true,
  isSigned: false,
};

/** Returns a registered server that is warm and available. */
export function createServer(id: string, service = 'app'): KnownServer {
  return {
    entry: {
      id,
      service,
      address: '10.0.0.1:80',
      failureDomain: 'a',
      softwareVersion: 'v1',
      slots: 8,
      isDraining: false,
      isReclaimable: false,
      coldMs: 0,
      startedAtMs: 1,
    },
    firstSeenAtMs: 0,
    changedAtMs: 0,
    coldUntilMs: 0,
    expiredAtMs: undefined,
  };
}

export const ROUTE: Route = {
  name: 'r',
  host: 'h.example',
  pathPrefix: '/a/',
  kind: 'idempotent',
  isResumable: false,
  isPublic: false,
  maxAttempts: 2,
  timeoutMs: 1_000,
  latencyTargetMs: 100,
  longestPauseMs: 0,
  priority: 1,
  shares: [{service: 'app', weight: 1}],
  homeRegions: [],
};

export const REQUEST: ServingRequest = {
  id: 'q1',
  method: 'GET',
  host: 'h.example',
  path: '/a/1',
  key: 'k',
  headers: {},
  body: Buffer.alloc(0),
  deadlineMs: 1_000,
  receivedAtMs: 0,
  promptParts: [],
  tokens: undefined,
  lastEventId: undefined,
  isForwarded: false,
};

/** Runs one request at a fixed time of 0 ms and records what the caller and the servers receive. */
export class RunHarness {
  readonly sentAttempts: SentAttempt[] = [];
  readonly writtenChunks: string[] = [];
  readonly openByServer = new Map<string, number>();
  startedResponses: {status: number; headers: HeaderFields}[] = [];
  refusals: Refusal[] = [];
  outcome: RunOutcome | undefined;
  /** Why the request isn't admitted any more when it is sent again. */
  recheckRefusal: RefusalKind | undefined;
  isResponseEnded = false;
  isResponseAborted = false;
  remainingRetries = 10;
  /** Whether the connections of attempts were used before. */
  isConnectionKept = true;
  /** Time after which an attempt is overdue. */
  stallMs = 60_000;
  runningCount = 0;
  /** Whether the caller's connection is full; `drain` empties it. */
  isSinkFull = false;
  readonly measurements: AttemptMeasurement[] = [];
  private onDrained: (() => void) | undefined;
  readonly buffers: BufferBudget;
  readonly run: ExchangeRun;

  constructor(
    route: Partial<Route>,
    serverIds: readonly string[],
    request = REQUEST,
    deadlineAtMs = 1_000,
    buffers = new BufferBudget(Infinity),
  ) {
    this.buffers = buffers;
    const isFull = () => this.isSinkFull;
    this.run = new ExchangeRun({
      admitted: {
        request,
        route: {...ROUTE, ...route},
        service: 'app',
        workspace: 'w',
        priority: 1,
        homeRegions: [],
        deadlineAtMs,
      },
      sink: {
        start: (status, headers) => this.startedResponses.push({status, headers}),
        write: chunk => this.writtenChunks.push(chunk.toString()),
        get isFull() {
          return isFull();
        },
        onceDrained: onDrained => (this.onDrained = onDrained),
        end: () => (this.isResponseEnded = true),
        abortResponse: () => (this.isResponseAborted = true),
        refuse: refusal => this.refusals.push(refusal),
      },
      transport: {
        send: (call, handler) => {
          const sentAttempt: SentAttempt = {
            call,
            handler,
            isCancelled: false,
            isPaused: false,
            isStalled: false,
          };
          this.sentAttempts.push(sentAttempt);
          return {
            cancel: () => (sentAttempt.isCancelled = true),
            pause: () => (sentAttempt.isPaused = true),
            resume: () => (sentAttempt.isPaused = false),
            reportStall: () => {
              sentAttempt.isStalled = true;
              return this.isConnectionKept;
            },
          };
        },
        hasStopped: async () => false,
        canConnect: async () => true,
        closeIdleConnections: () => undefined,
      },
      services: this.createServices(serverIds),
      getNowMs: () => 0,
      onOutcome: outcome => (this.outcome = outcome),
    });
  }

  /** Lets the caller take everything that was written. */
  drain(): void {
    this.isSinkFull = false;
    const onDrained = this.onDrained;
    this.onDrained = undefined;
    onDrained?.();
  }

  /** Body that the caller received. */
  get text(): string {
    return this.writtenChunks.join('');
  }

  /** Number of attempts that count as open, over all servers. */
  get openCount(): number {
    return [...this.openByServer.values()].reduce((sum, count) => sum + count, 0);
  }

  /** Returns services that choose the given servers in their order, and count in this harness. */
  createServices(serverIds: readonly string[]): RunServices {
    const add = (id: string, count: number) =>
      this.openByServer.set(id, (this.openByServer.get(id) ?? 0) + count);
    return {
      checkQuarantine: () => ({kind: 'run'}),
      onAnswered: () => undefined,
      onReceived: () => undefined,
      onMeasured: (_admitted, measurement) => this.measurements.push(measurement),
      recheck: () => this.recheckRefusal,
      choose: (_admitted, attemptedServerIds) => {
        const id = serverIds.find(candidate => !attemptedServerIds.has(candidate));
        if (id === undefined) return {kind: 'none', reason: 'all-tried'};
        return {
          kind: 'chosen',
          server: createServer(id),
          uncachedTokens: 10,
          expectedWaitMs: 0,
          expectedFirstEventMs: 0,
        };
      },
      consumeRetry: () => (this.remainingRetries -= 1) >= 0,
      getMaxConnections: () => 10,
      getRetryAfterMs: () => 250,
      openBuffer: onExceeded => this.buffers.open(onExceeded),
      getStallMs: () => this.stallMs,
      onStalled: () => undefined,
      onSent: (_admitted, server) => add(server.entry.id, 1),
      onHead: () => undefined,
      onPrefillEnd: () => undefined,
      onRunning: () => (this.runningCount += 1),
      onAttemptEnd: () => undefined,
      onLost: () => undefined,
      onClosed: server => add(server.entry.id, -1),
    };
  }
}
