/** Writes completions in the OpenAI-compatible format, streamed or as one JSON body. */
import type {Exchange} from '../http/index.js';
import type {CompletionRequest} from './CompletionRequest.js';

/** Token counts in the `usage` field of a completion. */
export interface TokenUsage {
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly generatedTokens: number;
}

const MS_PER_SECOND = 1_000;
const OBJECTS = {
  chat: {whole: 'chat.completion', chunk: 'chat.completion.chunk'},
  completion: {whole: 'text_completion', chunk: 'text_completion'},
};

/** Writes the completion of one request. */
export class CompletionWriter {
  private readonly exchange: Exchange;
  private readonly request: CompletionRequest;
  private readonly id: string;
  private readonly version: string;
  private readonly tokens: string[] = [];
  private hasStarted = false;

  constructor(exchange: Exchange, request: CompletionRequest, id: string, version: string) {
    this.exchange = exchange;
    this.request = request;
    this.id = id;
    this.version = version;
  }

  /** Sends a token if the request is streamed; otherwise buffers it until `finish`. */
  addToken(token: string): void {
    this.tokens.push(token);
    if (!this.request.isStreamed) return;
    this.startStream();
    this.sendChunk(this.createDelta(token), null);
  }

  /** Sends the finish reason, the usage if requested, and the end of the stream; or the complete JSON body. */
  finish(reason: 'stop' | 'length', usage: TokenUsage): void {
    if (!this.request.isStreamed) {
      this.exchange.sendJson(200, this.createFullResponse(reason, usage));
      return;
    }
    this.sendChunk(this.request.kind === 'chat' ? {delta: {}} : {text: ''}, reason);
    if (this.request.includesUsage) {
      const chunk = {...this.createEnvelope('chunk'), choices: [], usage: describeUsage(usage)};
      this.exchange.sendEvent(JSON.stringify(chunk));
    }
    this.exchange.sendEvent('[DONE]');
    this.exchange.endEvents();
  }

  private startStream(): void {
    if (this.hasStarted) return;
    this.hasStarted = true;
    this.exchange.startEvents();
    if (this.request.kind === 'chat') {
      this.sendChunk({delta: {role: 'assistant', content: ''}}, null);
    }
  }

  private createDelta(token: string) {
    return this.request.kind === 'chat' ? {delta: {content: token}} : {text: token};
  }

  private sendChunk(content: object, finishReason: string | null): void {
    const choice = {index: 0, ...content, finish_reason: finishReason};
    const chunk = {...this.createEnvelope('chunk'), choices: [choice]};
    this.exchange.sendEvent(JSON.stringify(chunk));
  }

  private createFullResponse(reason: string, usage: TokenUsage) {
    const text = this.tokens.join('');
    const content =
      this.request.kind === 'chat' ? {message: {role: 'assistant', content: text}} : {text};
    const choice = {index: 0, ...content, finish_reason: reason};
    return {...this.createEnvelope('whole'), choices: [choice], usage: describeUsage(usage)};
  }

  private createEnvelope(form: 'whole' | 'chunk') {
    return {
      id: this.id,
      object: OBJECTS[this.request.kind][form],
      created: Math.floor(Date.now() / MS_PER_SECOND),
      model: this.request.model,
      system_fingerprint: this.version,
    };
  }
}

function describeUsage({promptTokens, cachedTokens, generatedTokens}: TokenUsage) {
  return {
    prompt_tokens: promptTokens,
    completion_tokens: generatedTokens,
    total_tokens: promptTokens + generatedTokens,
    prompt_tokens_details: {cached_tokens: cachedTokens},
  };
}
