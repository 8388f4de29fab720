/**
 * Runs requests that stopping entries handed over to this one, and retains their results until the callers fetch them.
 */
import type {CompletionFormat} from '../engine/index.js';
import {parseCompletionBody} from '../engine/index.js';
import {ServingError, toServingError} from '../errors/index.js';
import {createAcceptedCompletion} from './createAcceptedCompletion.js';
import {CompletionRun} from './CompletionRun.js';
import type {CompletionResult} from './CompletionTypes.js';
import {parseJsonBody} from './RequestBody.js';
import type {HandlerContext} from './RequestContext.js';

/** A request that a stopping entry hands over, as it is sent to another entry. */
export interface HandedRequest {
  readonly requestId: string;
  readonly workspace: string;
  readonly service: string;
  readonly requestClass: string;
  readonly format: CompletionFormat;
  /** Path that the caller requested. */
  readonly path: string;
  readonly body: Buffer;
  /** Tokens that were already sent to the caller. */
  readonly passedTokens: readonly string[];
  readonly deadlineAtMs: number;
}

/** A request that another entry handed over, as it runs at this entry. */
export interface HandedRequestRun {
  readonly request: HandedRequest;
  /** Returns all tokens so far, including those that the other entry sent. */
  getTokens(): readonly string[];
  /** Resolves when the next token arrives or the run ends. */
  waitForChange(): Promise<void>;
  /** Returns the result; undefined unless the run completed the response. */
  getResult(): CompletionResult | undefined;
  /** Returns the URL at which the request continues; undefined unless this entry handed it over to a third one. */
  getLocation(): string | undefined;
  /** Returns why the run failed; undefined unless it failed. */
  getError(): ServingError | undefined;
}

/** Time for which the result of an ended run is retained for its caller. */
const RESULT_RETENTION_MS = 60_000;
/** Largest number of runs, running or ended, before further requests are refused. */
const MAX_RETAINED_RUNS = 10_000;

/** Starts requests as soon as they are handed over, without waiting for their callers to connect. */
export class HandedRequestRuns {
  private readonly context: HandlerContext;
  private readonly runs = new Map<string, HandedRequestRun>();

  constructor(context: HandlerContext) {
    this.context = context;
  }

  /**
   * Starts requests that a stopping entry hands over. Requests that already run here are accepted again.
   * @returns Ids of the accepted requests; the others continue at the entry that sent them.
   */
  accept(requests: readonly HandedRequest[]): readonly string[] {
    return requests.filter(request => this.start(request)).map(({requestId}) => requestId);
  }

  /**
   * Returns the run of a request that was handed over.
   * @param requestId - Id of the request.
   * @param workspace - Workspace of the caller; runs of other workspaces are not found.
   * @throws ServingError of kind `not-found`.
   */
  getRunOrThrow(requestId: string, workspace: string): HandedRequestRun {
    const run = this.runs.get(requestId);
    if (run?.request.workspace === workspace) return run;
    throw new ServingError(
      `request ${requestId} was not handed over to this entry, or its result has expired`,
      {
        kind: 'not-found',
        run: 'unknown',
      },
    );
  }

  private start(request: HandedRequest): boolean {
    if (this.runs.has(request.requestId)) return true;
    if (this.runs.size >= MAX_RETAINED_RUNS || this.context.isStopping()) return false;
    const run = this.createRun(request);
    if (!run) return false;
    this.runs.set(request.requestId, this.trackRun(request, run));
    return true;
  }

  private createRun(request: HandedRequest): CompletionRun | undefined {
    const {context} = this;
    const {configuration} = context.blackboard.getSection('configuration');
    const service = configuration?.services.find(({name}) => name === request.service);
    const requestClass = configuration?.requestClasses.find(
      ({name}) => name === request.requestClass,
    );
    const result = parseCompletionBody(request.format, parseJsonBody(request.body));
    if (!service || !requestClass || !result.isValid) return undefined;
    const {completion} = result;
    const signal = new AbortController().signal;
    return new CompletionRun(
      context,
      createAcceptedCompletion({...request, service, requestClass, completion, signal}),
    );
  }

  private trackRun(request: HandedRequest, run: CompletionRun): HandedRequestRun {
    let result: CompletionResult | undefined;
    let error: ServingError | undefined;
    let location: string | undefined;
    const waiters = new Set<() => void>();
    const notifyWaiters = () => {
      for (const waiter of waiters) waiter();
      waiters.clear();
    };
    run
      .run(notifyWaiters)
      .then(
        end => {
          if (end.kind === 'answered') result = end.result;
          else location = end.location;
        },
        (cause: unknown) => (error = toServingError(cause)),
      )
      .finally(() => {
        notifyWaiters();
        setTimeout(() => this.runs.delete(request.requestId), RESULT_RETENTION_MS).unref();
      })
      .catch(() => undefined);
    return {
      request,
      getTokens: () => run.getForwardedTokens(),
      waitForChange: () => new Promise(resolve => waiters.add(resolve)),
      getResult: () => result,
      getError: () => error,
      getLocation: () => location,
    };
  }
}
