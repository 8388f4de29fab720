/** Open-loop load: callers that send requests at a fixed rate, without waiting for earlier ones. */
import {setTimeout as sleep} from 'node:timers/promises';
import {createResponseText} from '../../standins/index.js';
import type {LoadPlan} from '../language/index.js';
import {AddressBook} from './AddressBook.js';
import {getSuccessfulAttempt, type CallAttempt, type CallRecord} from './CallRecord.js';
import {sendCallerRequest, type CallerRequest} from './CallerRequest.js';

/** Options of a `CallerLoad`. */
export interface CallerLoadOptions {
  readonly plan: LoadPlan;
  readonly workspaceKey: string;
  /** Returns the URLs of entries from which a caller can get its first addresses. */
  readonly getSeedUrls: () => readonly string[];
  /** Returns a number from 0 (inclusive) to 1 (exclusive), used for the words of the prompts. */
  readonly random: () => number;
}

const MS_PER_SECOND = 1_000;
const RETRY_DELAY_MS = 200;
const VOCABULARY_SIZE = 5_000;

/** Sends the calls of one load and records their attempts. */
export class CallerLoad {
  private readonly options: CallerLoadOptions;
  private readonly addressBook: AddressBook;
  private readonly records: CallRecord[] = [];
  private completion: Promise<void> | undefined;

  constructor(options: CallerLoadOptions) {
    this.options = options;
    this.addressBook = new AddressBook(options.getSeedUrls, options.workspaceKey);
  }

  /** Starts sending; further calls have no effect. */
  start(): void {
    this.completion ??= this.run();
  }

  /** Waits until every call has ended, including its repeat; returns at once if the load wasn't started. */
  async waitForEnd(): Promise<void> {
    await this.completion;
  }

  /** Returns the name of the load in the scenario file. */
  getName(): string {
    return this.options.plan.name;
  }

  /** Returns the calls that have ended, in order of their end. */
  getRecords(): readonly CallRecord[] {
    return this.records;
  }

  private async run(): Promise<void> {
    const {ratePerSecond, durationMs} = this.options.plan;
    const startedAtMs = Date.now();
    const count = Math.max(Math.round((ratePerSecond * durationMs) / MS_PER_SECOND), 1);
    const calls: Array<Promise<void>> = [];
    for (let index = 0; index < count; index++) {
      const dueAtMs = startedAtMs + (index / ratePerSecond) * MS_PER_SECOND;
      await sleep(Math.max(dueAtMs - Date.now(), 0));
      calls.push(this.runCall(index));
    }
    await Promise.all(calls);
  }

  private async runCall(index: number): Promise<void> {
    const {name, isRepeated} = this.options.plan;
    const marker = `${name}-call-${index}.`;
    const {request, expectedText} = this.createRequest(marker, index);
    const attempts = this.sendWithRetries(request, 0);
    const repeats = isRepeated ? this.sendRepeat(request) : Promise.resolve([]);
    this.records.push({
      load: name,
      marker,
      expectedText,
      attempts: await attempts,
      repeatAttempts: await repeats,
    });
  }

  private async sendRepeat(request: CallerRequest): Promise<readonly CallAttempt[]> {
    await sleep(this.options.plan.repeatAfterMs);
    return this.sendWithRetries(request, 1);
  }

  /** Retries at the next entry after a refusal or an aborted response, unless the status rules out that a retry can succeed. */
  private async sendWithRetries(
    request: CallerRequest,
    firstEntry: number,
  ): Promise<readonly CallAttempt[]> {
    const attempts: CallAttempt[] = [];
    for (let index = 0; index <= this.options.plan.maxRetries; index++) {
      if (index > 0) await sleep(RETRY_DELAY_MS * index);
      const urls = await this.addressBook.getUrls(Date.now());
      const url = urls[(firstEntry + index) % urls.length];
      const attempt = await sendCallerRequest(url, request);
      attempts.push(attempt);
      if (getSuccessfulAttempt([attempt]) || isFinalRefusal(attempt)) break;
      this.addressBook.invalidate();
    }
    return attempts;
  }

  private createRequest(marker: string, index: number) {
    const {plan, workspaceKey} = this.options;
    const headers = {
      authorization: `Bearer ${workspaceKey}`,
      'idempotency-key': marker,
      'x-request-class': plan.requestClass,
    };
    const common = {headers, timeoutMs: plan.timeoutMs};
    if (plan.kind === 'booking') {
      const body = JSON.stringify({call: marker, note: plan.bodyText});
      const path = `/v1/services/${plan.service}/bookings`;
      return {request: {...common, path, body, isStreamed: false}, expectedText: undefined};
    }
    const content = this.createPrompt(marker, index);
    const isStreamed = plan.kind === 'stream';
    const body = JSON.stringify({
      model: plan.service,
      messages: [{role: 'user', content}],
      max_tokens: plan.tokens,
      stream: isStreamed,
    });
    const expectedText = createResponseText(`<user>\n${content}\n<assistant>\n`, plan.tokens);
    const request = {...common, path: '/v1/chat/completions', body, isStreamed};
    return {request, expectedText};
  }

  private createPrompt(marker: string, index: number): string {
    const {promptWords, sharedPrefixWords, prefixes, bodyText} = this.options.plan;
    const prefix = `prefix${index % prefixes}`;
    const sharedWords = Array.from(
      {length: sharedPrefixWords},
      (unused, word) => `${prefix}-${word}`,
    );
    const ownWords = Array.from({length: Math.max(promptWords - sharedPrefixWords, 0)}, () => {
      return `word${Math.floor(this.options.random() * VOCABULARY_SIZE)}`;
    });
    return [...sharedWords, marker, ...ownWords, bodyText].join(' ').trim();
  }
}

function isFinalRefusal({status}: CallAttempt): boolean {
  return status !== undefined && status >= 400 && status < 500 && ![409, 429].includes(status);
}
