/** Handles the OpenAI-compatible completion calls, streamed and non-streamed. */
import type {RequestClass} from '../configuration/index.js';
import {parseCompletionBody, type CompletionBody} from '../engine/index.js';
import type {CompletionFormat} from '../engine/index.js';
import {ServingError} from '../errors/index.js';
import {countPromptTokens, createAcceptedCompletion} from './createAcceptedCompletion.js';
import {sendJson, sendSeeOther} from './responses.js';
import {CompletionRun} from './CompletionRun.js';
import {parseJsonBody, readBody} from './RequestBody.js';
import {getServiceOrThrow, type CallerRequest, type HandlerContext} from './RequestContext.js';
import {getRequestTimeoutMsOrThrow} from './requestTimeout.js';
import {StreamWriter} from './StreamWriter.js';
import {createCompletionResponse} from './completionResponse.js';

const CLASS_HEADER = 'x-request-class';
const MS_PER_SECOND = 1_000;

/** Handles `POST /v1/chat/completions` and `POST /v1/completions`. */
export class CompletionHandler {
  private readonly context: HandlerContext;

  constructor(context: HandlerContext) {
    this.context = context;
  }

  /**
   * Validates, admits and runs one completion, and sends its response.
   * @param caller - Authenticated request; its body is read here.
   * @param format - `chat` or `text`, by the path of the request.
   * @throws ServingError if the request is invalid, refused or fails.
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
      const accepted = createAcceptedCompletion({
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
      await this.respond(caller, completion, run, startedAtMs, tags);
      context.metrics.addDuration('request.total', context.getNowMs() - startedAtMs, tags);
    } finally {
      release();
    }
  }

  private async respond(
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
    const completionEnd = await run.run(onToken).finally(() => writer.stopHeartbeats());
    if (completionEnd.kind === 'moved') {
      if (isStreamed) writer.finishWithLocation(completionEnd.location);
      else sendSeeOther(caller.response, completionEnd.location);
      return;
    }
    if (isStreamed) writer.finish(completionEnd.result);
    else {
      const responseBody = createCompletionResponse(
        caller,
        completion,
        completionEnd.result,
        createdAtSeconds,
      );
      sendJson(caller.response, 200, responseBody);
    }
  }
}

function readCompletionOrThrow(format: CompletionFormat, body: Buffer): CompletionBody {
  const result = parseCompletionBody(format, parseJsonBody(body));
  if (!result.isValid) throw new ServingError(result.reason, {kind: 'bad-request'});
  return result.completion;
}

function getRequestClassOrThrow(caller: CallerRequest, promptTokens: number): RequestClass {
  const classes = caller.configuration.requestClasses;
  const requestedName = caller.request.headers[CLASS_HEADER];
  if (requestedName !== undefined) {
    const requestClass = classes.find(candidate => candidate.name === requestedName);
    if (requestClass) return requestClass;
    throw new ServingError(`unknown request class "${String(requestedName)}"`, {
      kind: 'bad-request',
    });
  }
  const sorted = [...classes].sort((a, b) => a.maxPromptTokens - b.maxPromptTokens);
  const smallestFitting = sorted.find(candidate => promptTokens <= candidate.maxPromptTokens);
  if (smallestFitting) return smallestFitting;
  throw new ServingError(
    `the prompt of ${promptTokens} tokens exceeds the limit of every request class`,
    {
      kind: 'bad-request',
    },
  );
}
