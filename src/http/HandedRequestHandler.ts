/** Serves the rest of a response to callers whose request a stopping entry handed over to this one. */
import type {ServingError} from '../errors/index.js';
import {sendJson, sendSeeOther} from './responses.js';
import type {HandedRequestRun, HandedRequestRuns} from './HandedRequestRuns.js';
import {parseCompletionBody, type CompletionBody} from '../engine/index.js';
import {parseJsonBody} from './RequestBody.js';
import type {CallerRequest, HandlerContext} from './RequestContext.js';
import {StreamWriter} from './StreamWriter.js';
import {createCompletionResponse} from './completionResponse.js';

const LAST_EVENT_ID_HEADER = 'last-event-id';
const MS_PER_SECOND = 1_000;

/** Handles `GET /v1/requests/{requestId}`. */
export class HandedRequestHandler {
  private readonly context: HandlerContext;
  private readonly runs: HandedRequestRuns;

  constructor(context: HandlerContext, runs: HandedRequestRuns) {
    this.context = context;
    this.runs = runs;
  }

  /**
   * Sends the tokens after `Last-Event-ID` as a stream, or the complete response if the original request wasn't
   * streamed.
   * @param caller - Request of the caller for the rest of the response.
   * @param requestId - Id of the request that was handed over.
   * @throws ServingError of kind `not-found` if it is not known here, or the error with which its run failed.
   */
  async handle(caller: CallerRequest, requestId: string): Promise<void> {
    const run = this.runs.getRunOrThrow(requestId, caller.workspace.name);
    const completion = readHandedBody(run);
    const originalCaller = {...caller, requestId};
    if (completion.body.stream) await this.stream(originalCaller, run, completion);
    else await this.sendComplete(originalCaller, run, completion);
  }

  private async stream(
    caller: CallerRequest,
    run: HandedRequestRun,
    completion: CompletionBody,
  ): Promise<void> {
    const createdAtSeconds = this.getNowSeconds();
    const receivedTokens = Number(caller.request.headers[LAST_EVENT_ID_HEADER] ?? 0) || 0;
    const writer = new StreamWriter({
      caller,
      completion,
      createdAtSeconds,
      receivedTokens: receivedTokens,
    });
    writer.startHeartbeats();
    try {
      for (let sentTokens = receivedTokens; !caller.signal.aborted;) {
        const tokens = run.getTokens();
        for (; sentTokens < tokens.length; sentTokens += 1) writer.addToken(tokens[sentTokens]);
        const result = run.getResult();
        if (result) return writer.finish(result);
        const location = run.getLocation();
        if (location !== undefined) return writer.finishWithLocation(location);
        throwIfFailed(run.getError());
        await run.waitForChange();
      }
    } finally {
      writer.stopHeartbeats();
    }
  }

  private async sendComplete(
    caller: CallerRequest,
    run: HandedRequestRun,
    completion: CompletionBody,
  ): Promise<void> {
    for (;;) {
      const result = run.getResult();
      if (result) {
        const responseBody = createCompletionResponse(
          caller,
          completion,
          result,
          this.getNowSeconds(),
        );
        return sendJson(caller.response, 200, responseBody);
      }
      const location = run.getLocation();
      if (location !== undefined) return sendSeeOther(caller.response, location);
      throwIfFailed(run.getError());
      await run.waitForChange();
    }
  }

  private getNowSeconds(): number {
    return Math.floor(this.context.getNowMs() / MS_PER_SECOND);
  }
}

function throwIfFailed(error: ServingError | undefined): void {
  if (error) throw error;
}

function readHandedBody({request}: HandedRequestRun): CompletionBody {
  const result = parseCompletionBody(request.format, parseJsonBody(request.body));
  if (!result.isValid) throw new Error(result.reason);
  return result.completion;
}
