/** Answers callers who come from an entry that stopped for the rest of their answer. */
import type {ServingError} from '../errors/index.js';
import {sendJson, sendSeeOther} from './Answers.js';
import type {HandedRun, HandedRuns} from './HandedRuns.js';
import {readCompletionBody, type CompletionBody} from '../engine/index.js';
import {parseJsonBody} from './RequestBody.js';
import type {CallerRequest, HandlerContext} from './RequestContext.js';
import {StreamWriter} from './StreamWriter.js';
import {createWholeAnswer} from './wholeAnswer.js';

const LAST_EVENT_ID_HEADER = 'last-event-id';
const MS_PER_SECOND = 1_000;

/** Answers `GET /v1/requests/{requestId}`. */
export class HandedHandler {
  private readonly context: HandlerContext;
  private readonly runs: HandedRuns;

  constructor(context: HandlerContext, runs: HandedRuns) {
    this.context = context;
    this.runs = runs;
  }

  /**
   * Handles one call: the tokens after `Last-Event-ID` as a stream, or the whole answer.
   * @param caller - The request.
   * @param requestId - Request that was handed over.
   */
  async handle(caller: CallerRequest, requestId: string): Promise<void> {
    const run = this.runs.getRunOrThrow(requestId, caller.workspace.name);
    const completion = readHandedBody(run);
    const owner = {...caller, requestId};
    if (completion.body.stream) await this.stream(owner, run, completion);
    else await this.sendWhole(owner, run, completion);
  }

  private async stream(
    caller: CallerRequest,
    run: HandedRun,
    completion: CompletionBody,
  ): Promise<void> {
    const createdAtSeconds = this.getNowSeconds();
    const fromToken = Number(caller.request.headers[LAST_EVENT_ID_HEADER] ?? 0) || 0;
    const writer = new StreamWriter({caller, completion, createdAtSeconds, fromToken});
    writer.startHeartbeats();
    try {
      for (let sent = fromToken; !caller.signal.aborted;) {
        const tokens = run.getTokens();
        for (; sent < tokens.length; sent += 1) writer.addToken(tokens[sent]);
        const result = run.getResult();
        if (result) return writer.finish(result);
        const location = run.getLocation();
        if (location !== undefined) return writer.finishElsewhere(location);
        throwIfFailed(run.getError());
        await run.waitForChange();
      }
    } finally {
      writer.stopHeartbeats();
    }
  }

  private async sendWhole(
    caller: CallerRequest,
    run: HandedRun,
    completion: CompletionBody,
  ): Promise<void> {
    for (;;) {
      const result = run.getResult();
      if (result) {
        const answer = createWholeAnswer(caller, completion, result, this.getNowSeconds());
        return sendJson(caller.response, 200, answer);
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

function readHandedBody({request}: HandedRun): CompletionBody {
  const result = readCompletionBody(request.format, parseJsonBody(request.body));
  if (!result.isValid) throw new Error(result.reason);
  return result.completion;
}
