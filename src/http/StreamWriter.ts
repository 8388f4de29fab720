/** Writes a completion as server-sent events in the OpenAI-compatible format. */
import type {CompletionBody} from '../engine/index.js';
import {createUsage} from './completionResponse.js';
import type {CompletionResult} from './CompletionTypes.js';
import type {CallerRequest} from './RequestContext.js';

/** Options of a `StreamWriter`. */
export interface StreamWriterOptions {
  readonly caller: CallerRequest;
  readonly completion: CompletionBody;
  /** Unix time in seconds, for the `created` field of each event. */
  readonly createdAtSeconds: number;
  /** Number of tokens that the caller has received from another entry; absent for none. */
  readonly receivedTokens?: number;
}

/** Interval of the comments that keep an idle stream open. */
const HEARTBEAT_INTERVAL_MS = 5_000;

/**
 * Sends the status and headers no earlier than the first token or heartbeat, so that an earlier error can
 * still set its own status.
 */
export class StreamWriter {
  private readonly options: StreamWriterOptions;
  private tokenCount = 0;
  private heartbeat: NodeJS.Timeout | undefined;

  constructor(options: StreamWriterOptions) {
    this.options = options;
    this.tokenCount = options.receivedTokens ?? 0;
  }

  /** Starts to send heartbeat comments; the first one, after an interval, also sends the headers. */
  startHeartbeats(): void {
    this.heartbeat = setInterval(() => {
      this.writeHead();
      this.options.caller.response.write(': waiting\n\n');
    }, HEARTBEAT_INTERVAL_MS);
  }

  /** Stops the heartbeat comments. */
  stopHeartbeats(): void {
    clearInterval(this.heartbeat);
  }

  /**
   * Sends a token. Its event id is the number of tokens sent so far; a caller resumes with it as `Last-Event-ID`.
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
   * Sends the finish reason, the usage if it was requested, and the end marker, and ends the stream.
   * @param result - Result of the completion.
   */
  finish(result: CompletionResult): void {
    this.writeHead();
    const {completion, caller} = this.options;
    const emptyContent = completion.format === 'chat' ? {delta: {}} : {text: ''};
    this.writeEvent({choices: [{index: 0, ...emptyContent, finish_reason: result.finishReason}]});
    if (completion.body.stream_options?.include_usage) {
      this.writeEvent({choices: [], usage: createUsage(result)});
    }
    caller.response.end('data: [DONE]\n\n');
  }

  /**
   * Ends the stream with a `moved` event, after which the caller continues at another entry.
   * @param location - URL to request with `Last-Event-ID` for the rest of the stream.
   */
  finishWithLocation(location: string): void {
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
