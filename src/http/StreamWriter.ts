/** Writes an answer as server-sent events in the OpenAI-compatible form. */
import type {CompletionBody} from '../engine/index.js';
import {createUsage} from './wholeAnswer.js';
import type {CompletionResult} from './CompletionTypes.js';
import type {CallerRequest} from './RequestContext.js';

/** Options of a `StreamWriter`. */
export interface StreamWriterOptions {
  readonly caller: CallerRequest;
  readonly completion: CompletionBody;
  readonly createdAtSeconds: number;
  /** Tokens that the caller has got from another entry; absent for none. */
  readonly fromToken?: number;
}

/** Time between the comments that keep a silent stream open. */
const HEARTBEAT_MS = 5_000;

/** Sends the head with the first token, so that a refusal before it keeps its own status. */
export class StreamWriter {
  private readonly options: StreamWriterOptions;
  private tokenCount = 0;
  private heartbeat: NodeJS.Timeout | undefined;

  constructor(options: StreamWriterOptions) {
    this.options = options;
    this.tokenCount = options.fromToken ?? 0;
  }

  /** Starts to send a comment at intervals; the first one sends the head, so that it comes late. */
  startHeartbeats(): void {
    this.heartbeat = setInterval(() => {
      this.writeHead();
      this.options.caller.response.write(': waiting\n\n');
    }, HEARTBEAT_MS);
  }

  /** Stops sending comments. */
  stopHeartbeats(): void {
    clearInterval(this.heartbeat);
  }

  /**
   * Sends a token. Its event id is the number of tokens sent so far, by which a caller resumes.
   * @param token - Text of the token.
   */
  addToken(token: string): void {
    this.writeHead();
    this.tokenCount += 1;
    const {completion} = this.options;
    const choice =
      completion.format === 'chat'
        ? {index: 0, delta: {content: token}, finish_reason: null}
        : {index: 0, text: token, finish_reason: null};
    this.writeEvent({choices: [choice]});
  }

  /**
   * Ends the stream.
   * @param result - How the completion ended.
   */
  finish(result: CompletionResult): void {
    this.writeHead();
    const {completion, caller} = this.options;
    const empty = completion.format === 'chat' ? {delta: {}} : {text: ''};
    this.writeEvent({choices: [{index: 0, ...empty, finish_reason: result.finishReason}]});
    if (completion.body.stream_options?.include_usage) {
      this.writeEvent({choices: [], usage: createUsage(result)});
    }
    caller.response.end('data: [DONE]\n\n');
  }

  /**
   * Ends the part of the stream that this entry sends, and says where the rest is.
   * @param location - URL that the caller reads with `Last-Event-ID`.
   */
  finishElsewhere(location: string): void {
    this.writeHead();
    const data = JSON.stringify({location});
    this.options.caller.response.end(`event: moved\ndata: ${data}\n\n`);
  }

  private writeHead(): void {
    const {response} = this.options.caller;
    if (response.headersSent) return;
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      'cache-control': 'no-cache',
      'x-accel-buffering': 'no',
    });
  }

  private writeEvent(part: object): void {
    const {caller, completion, createdAtSeconds} = this.options;
    const chunk = {
      id: caller.requestId,
      object: completion.format === 'chat' ? 'chat.completion.chunk' : 'text_completion',
      created: createdAtSeconds,
      model: completion.body.model,
      ...part,
    };
    caller.response.write(`id: ${this.tokenCount}\ndata: ${JSON.stringify(chunk)}\n\n`);
  }
}
