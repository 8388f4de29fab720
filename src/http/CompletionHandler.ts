/** Handles the OpenAI-compatible completion calls, streamed and whole. */
import type {RequestClass} from '../configuration/index.js';
import {getPromptText, readCompletionBody, type CompletionBody} from '../engine/index.js';
import type {CompletionFormat} from '../engine/index.js';
import {ServingError} from '../errors/index.js';
import {sendJson} from './Answers.js';
import {CompletionRun, type CompletionResult} from './CompletionRun.js';
import {parseJsonBody, readBody} from './RequestBody.js';
import {getServiceOrThrow, type CallerRequest, type HandlerContext} from './RequestContext.js';
import {StreamWriter} from './StreamWriter.js';

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
    const promptTokens = countTokens(getPromptText(completion));
    const requestClass = getRequestClassOrThrow(caller, promptTokens);
    const tags = {workspace: caller.workspace.name, class: requestClass.name};
    const deadlineAtMs = startedAtMs + service.requestTimeoutMs;
    const release = await context.admission.enter(
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
      const run = new CompletionRun({
        context,
        caller,
        completion,
        routing: {
          service: service.name,
          workspace: caller.workspace.name,
          requestClass: requestClass.name,
          promptTokens,
          blockHashes: [],
          deadlineAtMs,
        },
      });
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
    let isFirst = true;
    const result = await run.run(token => {
      if (isFirst) {
        context.metrics.addDuration('request.first_token', context.getNowMs() - startedAtMs, tags);
      }
      isFirst = false;
      if (completion.body.stream) writer.addToken(token);
    });
    if (completion.body.stream) writer.finish(result);
    else
      sendJson(
        caller.response,
        200,
        createWholeAnswer(caller, completion, result, createdAtSeconds),
      );
  }
}

/** Estimates the tokens of a text: its words. */
export function countTokens(text: string): number {
  return text.split(/\s+/).filter(word => word.length > 0).length;
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

function createWholeAnswer(
  caller: CallerRequest,
  completion: CompletionBody,
  result: CompletionResult,
  createdAtSeconds: number,
) {
  const text = result.tokens.join('');
  const isChat = completion.format === 'chat';
  const answer = isChat ? {message: {role: 'assistant', content: text}} : {text};
  return {
    id: caller.requestId,
    object: isChat ? 'chat.completion' : 'text_completion',
    created: createdAtSeconds,
    model: completion.body.model,
    choices: [{index: 0, ...answer, finish_reason: result.finishReason}],
    usage: createUsage(result),
  };
}

/** Returns the `usage` of an answer in the OpenAI-compatible form. */
export function createUsage({usage, tokens}: CompletionResult) {
  return {
    prompt_tokens: usage.promptTokens,
    completion_tokens: tokens.length,
    total_tokens: usage.promptTokens + tokens.length,
    prompt_tokens_details: {cached_tokens: usage.cachedTokens},
  };
}
