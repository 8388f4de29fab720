/** Requests that other entries handed to this one, and their answers until the callers have come for them. */
import type {CompletionFormat} from '../engine/index.js';
import {readCompletionBody} from '../engine/index.js';
import {ServingError, toServingError} from '../errors/index.js';
import {createAccepted} from './acceptCompletion.js';
import {CompletionRun} from './CompletionRun.js';
import type {CompletionResult} from './CompletionTypes.js';
import {parseJsonBody} from './RequestBody.js';
import type {HandlerContext} from './RequestContext.js';

/** A request as one entry hands it to another. */
export interface HandedRequest {
  readonly requestId: string;
  readonly workspace: string;
  readonly service: string;
  readonly requestClass: string;
  readonly format: CompletionFormat;
  readonly path: string;
  readonly body: Buffer;
  /** Tokens that the caller has already been sent. */
  readonly passedTokens: readonly string[];
  readonly deadlineAtMs: number;
}

/** A request that runs here for a caller of another entry. */
export interface HandedRun {
  readonly request: HandedRequest;
  /** All tokens so far, those passed on by the other entry included. */
  getTokens(): readonly string[];
  /** Resolves with the next change of tokens or the end. */
  waitForChange(): Promise<void>;
  /** Returns the result; undefined while it runs. */
  getResult(): CompletionResult | undefined;
  /** Returns where it goes on, where this entry has handed it to yet another one. */
  getLocation(): string | undefined;
  /** Returns why it failed; undefined while it hasn't. */
  getError(): ServingError | undefined;
}

/** Time for which an ended answer is kept for its caller. */
const KEPT_MS = 60_000;
const MAX_KEPT_RUNS = 10_000;

/** Runs handed requests at once, so that their callers find the answer well under way. */
export class HandedRuns {
  private readonly context: HandlerContext;
  private readonly runs = new Map<string, HandedRun>();

  constructor(context: HandlerContext) {
    this.context = context;
  }

  /**
   * Takes requests of an entry that stops.
   * @param requests - The requests.
   * @returns Ids of those that run here now.
   */
  accept(requests: readonly HandedRequest[]): readonly string[] {
    return requests.filter(request => this.start(request)).map(({requestId}) => requestId);
  }

  /**
   * Returns a handed request of a workspace.
   * @param requestId - The request.
   * @param workspace - Workspace whose caller asks.
   * @throws ServingError of kind `not-found`.
   */
  getRunOrThrow(requestId: string, workspace: string): HandedRun {
    const run = this.runs.get(requestId);
    if (run?.request.workspace === workspace) return run;
    throw new ServingError(`request ${requestId} is not known here`, {
      kind: 'not-found',
      run: 'unknown',
    });
  }

  private start(request: HandedRequest): boolean {
    if (this.runs.has(request.requestId)) return true;
    if (this.runs.size >= MAX_KEPT_RUNS || this.context.isStopping()) return false;
    const run = this.createRun(request);
    if (!run) return false;
    this.runs.set(request.requestId, this.follow(request, run));
    return true;
  }

  private createRun(request: HandedRequest): CompletionRun | undefined {
    const {context} = this;
    const {configuration} = context.blackboard.getSection('configuration');
    const service = configuration?.services.find(({name}) => name === request.service);
    const requestClass = configuration?.requestClasses.find(
      ({name}) => name === request.requestClass,
    );
    const result = readCompletionBody(request.format, parseJsonBody(request.body));
    if (!service || !requestClass || !result.isValid) return undefined;
    const {completion} = result;
    const signal = new AbortController().signal;
    return new CompletionRun(
      context,
      createAccepted({...request, service, requestClass, completion, signal}),
    );
  }

  private follow(request: HandedRequest, run: CompletionRun): HandedRun {
    let result: CompletionResult | undefined;
    let error: ServingError | undefined;
    let location: string | undefined;
    const waiters = new Set<() => void>();
    const wake = () => {
      for (const waiter of waiters) waiter();
      waiters.clear();
    };
    run
      .run(wake)
      .then(
        end => {
          if (end.kind === 'answered') result = end.result;
          else location = end.location;
        },
        (cause: unknown) => (error = toServingError(cause)),
      )
      .finally(() => {
        wake();
        setTimeout(() => this.runs.delete(request.requestId), KEPT_MS).unref();
      })
      .catch(() => undefined);
    return {
      request,
      getTokens: () => run.getPassedTokens(),
      waitForChange: () => new Promise(resolve => waiters.add(resolve)),
      getResult: () => result,
      getError: () => error,
      getLocation: () => location,
    };
  }
}
