/** Runs one completion to its end, over as many backend servers as it takes. */
import {chooseBackendServer, type RoutingRequest} from '../controllers/routing/index.js';
import {
  createEngineBody,
  type CompletionBody,
  type EngineEvent,
  type EngineUsage,
} from '../engine/index.js';
import {ServingError, toServingError} from '../errors/index.js';
import type {BackendServer} from '../blackboard/index.js';
import {getRoutingView, type CallerRequest, type HandlerContext} from './RequestContext.js';

/** What a completion needs beside its caller's request. */
export interface CompletionRunOptions {
  readonly context: HandlerContext;
  readonly caller: CallerRequest;
  readonly completion: CompletionBody;
  readonly routing: Omit<RoutingRequest, 'excludedInstanceIds'>;
}

/** How a completion ended. */
export interface CompletionResult {
  readonly finishReason: string;
  readonly usage: EngineUsage;
  readonly tokens: readonly string[];
}

const MAX_ATTEMPTS = 5;

/** Passes on each token once and in order; a broken try is resumed elsewhere from the passed tokens. */
export class CompletionRun {
  private readonly options: CompletionRunOptions;
  private readonly passedTokens: string[] = [];
  private readonly excludedInstanceIds = new Set<string>();
  private finishReason: string | undefined;
  private usage: EngineUsage = {promptTokens: 0, cachedTokens: 0};

  constructor(options: CompletionRunOptions) {
    this.options = options;
  }

  /**
   * Runs the completion.
   * @param onToken - Called with each token.
   * @throws ServingError where no try could end it.
   */
  async run(onToken: (token: string) => void): Promise<CompletionResult> {
    for (let attempt = 1; this.finishReason === undefined; attempt += 1) {
      const server = this.chooseServer();
      try {
        await this.runAttempt(server, attempt, onToken);
      } catch (error) {
        this.excludedInstanceIds.add(server.instanceId);
        this.checkRetry(toServingError(error), attempt);
        this.options.context.metrics.addCount('request.retries', this.getTags());
      }
    }
    return {finishReason: this.finishReason, usage: this.usage, tokens: this.passedTokens};
  }

  private chooseServer(): BackendServer {
    const {context, caller, routing} = this.options;
    const decision = chooseBackendServer(
      getRoutingView(context, caller.configuration),
      {...routing, excludedInstanceIds: this.excludedInstanceIds},
      context.getNowMs(),
      context.random,
    );
    if (decision.kind === 'chosen') return decision.server;
    const hasStarted = this.excludedInstanceIds.size > 0;
    throw new ServingError(decision.reason, {
      kind: decision.errorKind,
      ...(hasStarted ? {run: 'unknown' as const} : {}),
    });
  }

  private async runAttempt(
    server: BackendServer,
    attempt: number,
    onToken: (token: string) => void,
  ): Promise<void> {
    const {context, caller, completion} = this.options;
    context.openRequests.addRequest(server.instanceId);
    const cancelling = new AbortController();
    try {
      const events = context.engine.streamCompletion({
        server,
        format: completion.format,
        requestId: caller.requestId,
        attemptId: `${caller.requestId}.${attempt}`,
        workspace: caller.workspace.name,
        body: createEngineBody(completion, this.passedTokens),
        signal: AbortSignal.any([caller.signal, cancelling.signal]),
      });
      for await (const event of events) this.applyEvent(event, onToken);
    } finally {
      cancelling.abort();
      context.openRequests.removeRequest(server.instanceId);
    }
  }

  private applyEvent(event: EngineEvent, onToken: (token: string) => void): void {
    if (event.kind === 'token') {
      this.passedTokens.push(event.text);
      onToken(event.text);
    } else if (event.kind === 'finished') {
      this.finishReason = event.finishReason;
    } else {
      this.usage = event.usage;
    }
  }

  private checkRetry(error: ServingError, attempt: number): void {
    if (this.options.caller.signal.aborted || attempt >= MAX_ATTEMPTS) throw error;
    if (error.kind !== 'backend-failed') throw error;
  }

  private getTags() {
    const {caller, routing} = this.options;
    return {workspace: caller.workspace.name, class: routing.requestClass};
  }
}
