/** Handles the OpenAI-compatible completion calls, streamed and whole. */
import type {RequestClass} from '../configuration/index.js';
import {readCompletionBody, type CompletionBody} from '../engine/index.js';
import type {CompletionFormat} from '../engine/index.js';
import {ServingError} from '../errors/index.js';
import {countPromptTokens, createAccepted} from './acceptCompletion.js';
import {sendJson, sendSeeOther} from './Answers.js';
import {CompletionRun} from './CompletionRun.js';
import {parseJsonBody, readBody} from './RequestBody.js';
import {getServiceOrThrow, type CallerRequest, type HandlerContext} from './RequestContext.js';
import {getRequestTimeoutMsOrThrow} from './requestTimeout.js';
import {StreamWriter} from './StreamWriter.js';
import {createWholeAnswer} from './wholeAnswer.js';

const CLASS_HEADER = 'x-request-class';
const MS_PER_SECOND = 1_000;

/** Answers `POST /v1/chat/completions` and `POST /v1/completions`. */
export class CompletionHandler {
  private readonly context: HandlerContext;

  constructor(context: HandlerContext) {
    this.context = context;
  }

  /**
   * Handles one call.
   * @param caller - The request.
   * @param format - Which call it is.
   */
  async handle(caller: CallerRequest, format: CompletionFormat): Promise<void> {
    const {context} = this;
    const startedAtMs = context.getNowMs();
    const body = await readBody(caller.request, context.bodyLimits);
    const completion = readCompletionOrThrow(format, body);
    const service = getServiceOrThrow(caller, completion.body.model, 'model');
    const promptTokens = countPromptTokens(completion);
    const requestClass = getRequestClassOrThrow(caller, promptTokens);
    const tags = {workspace: caller.workspace.name, class: requestClass.name};
    const timeoutMs = getRequestTimeoutMsOrThrow(caller.request.headers, service);
    const deadlineAtMs = startedAtMs + timeoutMs;
    const release = await context.admission.enter(
      service.name,
      {
        requestId: caller.requestId,
        workspace: caller.workspace.name,
        requestClass: requestClass.name,
        deadlineAtMs,
      },
      caller.signal,
    );
    try {
      context.metrics.addCount('request.accepted', tags);
      context.metrics.addDuration('request.queued', context.getNowMs() - startedAtMs, tags);
      const accepted = createAccepted({
        requestId: caller.requestId,
        workspace: caller.workspace.name,
        service,
        requestClass,
        completion,
        path: caller.url.pathname,
        body,
        deadlineAtMs,
        passedTokens: [],
        signal: caller.signal,
      });
      const run = new CompletionRun(context, accepted);
      await this.answer(caller, completion, run, startedAtMs, tags);
      context.metrics.addDuration('request.total', context.getNowMs() - startedAtMs, tags);
    } finally {
      release();
    }
  }

  private async answer(
    caller: CallerRequest,
    completion: CompletionBody,
    run: CompletionRun,
    startedAtMs: number,
    tags: {readonly workspace: string; readonly class: string},
  ): Promise<void> {
    const {context} = this;
    const createdAtSeconds = Math.floor(startedAtMs / MS_PER_SECOND);
    const writer = new StreamWriter({caller, completion, createdAtSeconds});
    const isStreamed = completion.body.stream === true;
    let previousAtMs: number | undefined;
    const onToken = (token: string) => {
      const nowMs = context.getNowMs();
      const name = previousAtMs === undefined ? 'request.first_token' : 'request.inter_token';
      context.metrics.addDuration(name, nowMs - (previousAtMs ?? startedAtMs), tags);
      previousAtMs = nowMs;
      if (isStreamed) writer.addToken(token);
    };
    if (isStreamed) writer.startHeartbeats();
    const end = await run.run(onToken).finally(() => writer.stopHeartbeats());
    if (end.kind === 'moved') {
      if (isStreamed) writer.finishElsewhere(end.location);
      else sendSeeOther(caller.response, end.location);
      return;
    }
    if (isStreamed) writer.finish(end.result);
    else {
      const answer = createWholeAnswer(caller, completion, end.result, createdAtSeconds);
      sendJson(caller.response, 200, answer);
    }
  }
}

function readCompletionOrThrow(format: CompletionFormat, body: Buffer): CompletionBody {
  const result = readCompletionBody(format, parseJsonBody(body));
  if (!result.isValid) throw new ServingError(result.reason, {kind: 'bad-request'});
  return result.completion;
}

function getRequestClassOrThrow(caller: CallerRequest, promptTokens: number): RequestClass {
  const classes = caller.configuration.requestClasses;
  const asked = caller.request.headers[CLASS_HEADER];
  if (asked !== undefined) {
    const found = classes.find(candidate => candidate.name === asked);
    if (found) return found;
    throw new ServingError(`there is no request class "${String(asked)}"`, {kind: 'bad-request'});
  }
  const sorted = [...classes].sort((a, b) => a.maxPromptTokens - b.maxPromptTokens);
  const fitting = sorted.find(candidate => promptTokens <= candidate.maxPromptTokens);
  if (fitting) return fitting;
  throw new ServingError(`the prompt of ${promptTokens} tokens is too long for every class`, {
    kind: 'bad-request',
  });
}
