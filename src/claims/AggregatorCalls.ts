/** Sends claims and outcomes in batches to the entries that aggregate them. */
import type {ClaimAnswer} from '../controllers/claims/index.js';
import {ServingError} from '../errors/index.js';
import type {Sleep} from '../log/index.js';
import type {ClaimProposal, OutcomeProposal} from '../records/index.js';

/** Claims and outcomes that are sent to an aggregator in one call. */
export interface ClaimAggregationBatch {
  readonly claims: readonly ClaimProposal[];
  readonly outcomes: readonly OutcomeProposal[];
}

/** Another entry that collects claims of several entries and appends them to the log together. */
export interface ClaimAggregator {
  readonly instanceId: string;
  /**
   * Has the entry claim keys and append outcomes.
   * @param batch - Claims and outcomes of this entry.
   * @param timeoutMs - Time limit of the call.
   * @returns Decisions on the claims, in the same order; rejects if the entry doesn't respond in time.
   */
  aggregate(batch: ClaimAggregationBatch, timeoutMs: number): Promise<readonly ClaimAnswer[]>;
}

/** Chooses the entries that aggregate claims and outcomes, according to current membership. */
export interface ClaimAggregation {
  /** Returns the aggregator of this entry; undefined if this entry appends its own claims. */
  readonly getAggregator: () => ClaimAggregator | undefined;
  /** Returns the number of entries that share the log's append rate. */
  readonly getAppenderCount: () => number;
}

/** Options of `AggregatorCalls`. */
export interface AggregatorCallsOptions {
  /** Returns monotonic time in milliseconds. */
  readonly getNowMs: () => number;
  readonly sleep: Sleep;
  /** Time limit of a claim or outcome, from when it is queued to the aggregator's response. */
  readonly timeoutMs: number;
  /** Shortest time between the starts of two calls to the same aggregator. */
  readonly callIntervalMs: number;
}

/**
 * Largest number of concurrent calls to an aggregator. Further claims queue up, so a slow one gets fewer, larger calls.
 */
const MAX_OPEN_CALLS = 4;
/** Outcomes contain response bodies, so this also bounds the size of a call. */
const MAX_ITEMS_PER_CALL = 200;
/** Share of the timeout after which an item that is still queued is rejected. */
const MAX_QUEUE_TIME_SHARE = 0.5;

/** A queued claim or outcome, with the promise of its caller. */
interface Item {
  readonly claim?: ClaimProposal;
  readonly outcome?: OutcomeProposal;
  readonly addedAtMs: number;
  readonly resolve: (answer: ClaimAnswer | undefined) => void;
  readonly reject: (cause: Error) => void;
}

/**
 * Keeps a queue for each aggregator: calls an idle one at once, and a busy one with all items queued since its last
 * call.
 */
export class AggregatorCalls {
  private readonly options: AggregatorCallsOptions;
  private readonly queues = new Map<ClaimAggregator, AggregatorQueue>();
  private readonly openItems = new Set<Item>();

  constructor(options: AggregatorCallsOptions) {
    this.options = options;
  }

  /**
   * Claims a key through an aggregator.
   * @param aggregator - Entry to call.
   * @param claim - Claim of this entry.
   * @returns The aggregator's decision; rejects if there is none in time.
   */
  async claim(aggregator: ClaimAggregator, claim: ClaimProposal): Promise<ClaimAnswer> {
    const answer = await this.add(aggregator, {claim});
    if (!answer) throw createError(`${aggregator.instanceId} returned no decision on a claim`);
    return answer;
  }

  /**
   * Sends an outcome to an aggregator. Resolves once the aggregator has accepted it, which doesn't mean that it is in
   * the log.
   * @param aggregator - Entry to call.
   * @param outcome - Outcome of an attempt of this entry.
   */
  async addOutcome(aggregator: ClaimAggregator, outcome: OutcomeProposal): Promise<void> {
    await this.add(aggregator, {outcome});
  }

  /** Rejects all queued items and those of calls in progress. */
  stop(): void {
    rejectAll([...this.openItems], createError('this entry is stopping'));
    this.openItems.clear();
  }

  private async add(
    aggregator: ClaimAggregator,
    content: Pick<Item, 'claim' | 'outcome'>,
  ): Promise<ClaimAnswer | undefined> {
    const addedAtMs = this.options.getNowMs();
    let item: Item | undefined;
    try {
      return await new Promise((resolve, reject) => {
        item = {...content, addedAtMs, resolve, reject};
        this.openItems.add(item);
        this.getQueue(aggregator).add(item);
      });
    } finally {
      if (item) this.openItems.delete(item);
    }
  }

  private getQueue(aggregator: ClaimAggregator): AggregatorQueue {
    const existing = this.queues.get(aggregator);
    if (existing) return existing;
    const queue = new AggregatorQueue({
      aggregator,
      ...this.options,
      isOpen: item => this.openItems.has(item),
      onIdle: () => this.queues.delete(aggregator),
    });
    this.queues.set(aggregator, queue);
    return queue;
  }
}

interface AggregatorQueueOptions extends AggregatorCallsOptions {
  readonly aggregator: ClaimAggregator;
  /** Returns whether an item has been neither resolved nor rejected. */
  readonly isOpen: (item: Item) => boolean;
  /** Called once the queue is empty and no call is in progress. */
  readonly onIdle: () => void;
}

/** Queue of items for one aggregator, and the calls that are in progress. */
class AggregatorQueue {
  private readonly options: AggregatorQueueOptions;
  private readonly openCalls = new Set<Promise<void>>();
  private queuedItems: Item[] = [];
  private running: Promise<void> | undefined;

  constructor(options: AggregatorQueueOptions) {
    this.options = options;
  }

  add(item: Item): void {
    this.queuedItems.push(item);
    this.running ??= this.run();
  }

  private async run(): Promise<void> {
    while (this.queuedItems.length > 0) {
      if (this.openCalls.size < MAX_OPEN_CALLS) {
        this.startCall();
        await this.options.sleep(this.options.callIntervalMs);
      } else {
        await Promise.race(this.openCalls);
      }
    }
    this.running = undefined;
    this.notifyIfIdle();
  }

  private startCall(): void {
    const items = this.takeNextBatch();
    if (items.length === 0) return;
    const call = this.call(items).finally(() => {
      this.openCalls.delete(call);
      this.notifyIfIdle();
    });
    this.openCalls.add(call);
  }

  /** Dequeues the items of the next call, the oldest first; rejects those that were queued for too long. */
  private takeNextBatch(): readonly Item[] {
    const {aggregator, timeoutMs, isOpen} = this.options;
    const dequeued = this.queuedItems.splice(0, MAX_ITEMS_PER_CALL).filter(isOpen);
    const isLate = (item: Item) => this.getAgeMs(item) > timeoutMs * MAX_QUEUE_TIME_SHARE;
    const error = createError(`calls to ${aggregator.instanceId} were busy for too long`);
    rejectAll(dequeued.filter(isLate), error);
    return dequeued.filter(item => !isLate(item));
  }

  private async call(items: readonly Item[]): Promise<void> {
    const {aggregator} = this.options;
    const claimItems = items.filter(({claim}) => claim !== undefined);
    const claims = claimItems.flatMap(({claim}) => claim ?? []);
    const outcomes = items.flatMap(({outcome}) => outcome ?? []);
    const timeoutMs = this.options.timeoutMs - this.getAgeMs(items[0]);
    try {
      const answers = await aggregator.aggregate({claims, outcomes}, timeoutMs);
      claimItems.forEach((item, index) => item.resolve(answers[index]));
      items.forEach(item => item.resolve(undefined));
    } catch (cause) {
      rejectAll(items, createError(`claim call to ${aggregator.instanceId} failed`, cause));
    }
  }

  private notifyIfIdle(): void {
    if (!this.running && this.openCalls.size === 0) this.options.onIdle();
  }

  private getAgeMs({addedAtMs}: Item): number {
    return Math.max(0, Math.round(this.options.getNowMs() - addedAtMs));
  }
}

function rejectAll(items: readonly Item[], error: Error): void {
  items.forEach(({reject}) => reject(error));
}

function createError(message: string, cause?: unknown): ServingError {
  return new ServingError(message, {kind: 'log-unavailable', cause});
}
