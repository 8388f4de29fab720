/** Hands claims and outcomes to the entries that gather them, many in a call. */
import type {ClaimAnswer} from '../controllers/claims/index.js';
import {ServingError} from '../errors/index.js';
import type {Sleep} from '../log/index.js';
import type {ClaimProposal, OutcomeProposal} from '../records/index.js';

/** What goes to a gatherer in one call. */
export interface GatheredBatch {
  readonly claims: readonly ClaimProposal[];
  readonly outcomes: readonly OutcomeProposal[];
}

/** Another entry that claims for this one. */
export interface ClaimGatherer {
  readonly instanceId: string;
  /**
   * Claims keys, and takes outcomes over.
   * @param batch - The claims and outcomes.
   * @param timeoutMs - Longest wait.
   * @returns Answers to the claims, in their order; rejects where the entry doesn't answer.
   */
  gather(batch: GatheredBatch, timeoutMs: number): Promise<readonly ClaimAnswer[]>;
}

/** Which entries gather claims and outcomes. */
export interface ClaimGathering {
  /** Returns the entry that gathers for this one; undefined where this one claims for itself. */
  readonly getGatherer: () => ClaimGatherer | undefined;
  /** Returns the number of entries among which this one shares appends. */
  readonly getAppenderCount: () => number;
}

/** Options of `GathererCalls`. */
export interface GathererCallsOptions {
  readonly getNowMs: () => number;
  readonly sleep: Sleep;
  /** Longest wait for a gatherer, from the moment at which a claim or outcome is added. */
  readonly timeoutMs: number;
  /** Shortest time between the starts of two calls to a gatherer. */
  readonly callGapMs: number;
}

/** Calls to a gatherer that are open at once; beyond it claims wait, so that a slow one gets fewer and larger calls. */
const MAX_OPEN_CALLS = 4;
/** Outcomes carry answers, so this bounds the size of a call too. */
const MAX_ITEMS_PER_CALL = 200;
/** Part of the timeout after which what still waits for its call is given up. */
const MAX_WAIT_SHARE = 0.5;

interface Item {
  readonly claim?: ClaimProposal;
  readonly outcome?: OutcomeProposal;
  readonly addedAtMs: number;
  readonly resolve: (answer: ClaimAnswer | undefined) => void;
  readonly reject: (cause: Error) => void;
}

/** A queue for each gatherer: an idle one is called at once, a busy one gets what came since the last call. */
export class GathererCalls {
  private readonly options: GathererCallsOptions;
  private readonly queues = new Map<ClaimGatherer, GathererQueue>();
  private readonly openItems = new Set<Item>();

  constructor(options: GathererCallsOptions) {
    this.options = options;
  }

  /**
   * Claims a key at a gatherer.
   * @param gatherer - The gatherer.
   * @param claim - The claim.
   * @returns Its answer; rejects where there is none in time.
   */
  async claim(gatherer: ClaimGatherer, claim: ClaimProposal): Promise<ClaimAnswer> {
    const answer = await this.add(gatherer, {claim});
    if (!answer) throw createError(`${gatherer.instanceId} left a claim unanswered`);
    return answer;
  }

  /**
   * Hands an outcome to a gatherer; resolves once it was taken over, which doesn't mean that it stands.
   * @param gatherer - The gatherer.
   * @param outcome - The outcome.
   */
  async addOutcome(gatherer: ClaimGatherer, outcome: OutcomeProposal): Promise<void> {
    await this.add(gatherer, {outcome});
  }

  /** Rejects all that waits or is under way. */
  stop(): void {
    rejectAll([...this.openItems], createError('this entry stops'));
    this.openItems.clear();
  }

  private async add(
    gatherer: ClaimGatherer,
    content: Pick<Item, 'claim' | 'outcome'>,
  ): Promise<ClaimAnswer | undefined> {
    const addedAtMs = this.options.getNowMs();
    let item: Item | undefined;
    try {
      return await new Promise((resolve, reject) => {
        item = {...content, addedAtMs, resolve, reject};
        this.openItems.add(item);
        this.getQueue(gatherer).add(item);
      });
    } finally {
      if (item) this.openItems.delete(item);
    }
  }

  private getQueue(gatherer: ClaimGatherer): GathererQueue {
    const kept = this.queues.get(gatherer);
    if (kept) return kept;
    const queue = new GathererQueue({
      gatherer,
      ...this.options,
      isOpen: item => this.openItems.has(item),
      onIdle: () => this.queues.delete(gatherer),
    });
    this.queues.set(gatherer, queue);
    return queue;
  }
}

interface GathererQueueOptions extends GathererCallsOptions {
  readonly gatherer: ClaimGatherer;
  /** Returns whether someone still waits for an item. */
  readonly isOpen: (item: Item) => boolean;
  /** Called once nothing waits and no call is under way. */
  readonly onIdle: () => void;
}

/** What waits for calls to one gatherer. */
class GathererQueue {
  private readonly options: GathererQueueOptions;
  private readonly openCalls = new Set<Promise<void>>();
  private waiting: Item[] = [];
  private running: Promise<void> | undefined;

  constructor(options: GathererQueueOptions) {
    this.options = options;
  }

  add(item: Item): void {
    this.waiting.push(item);
    this.running ??= this.run();
  }

  private async run(): Promise<void> {
    while (this.waiting.length > 0) {
      if (this.openCalls.size < MAX_OPEN_CALLS) {
        this.startCall();
        await this.options.sleep(this.options.callGapMs);
      } else {
        await Promise.race(this.openCalls);
      }
    }
    this.running = undefined;
    this.noteIdle();
  }

  private startCall(): void {
    const items = this.takeItems();
    if (items.length === 0) return;
    const call = this.call(items).finally(() => {
      this.openCalls.delete(call);
      this.noteIdle();
    });
    this.openCalls.add(call);
  }

  /** Returns what goes into the next call, the oldest first. */
  private takeItems(): readonly Item[] {
    const {gatherer, timeoutMs, isOpen} = this.options;
    const taken = this.waiting.splice(0, MAX_ITEMS_PER_CALL).filter(isOpen);
    const isLate = (item: Item) => this.getAgeMs(item) > timeoutMs * MAX_WAIT_SHARE;
    const error = createError(`no call to ${gatherer.instanceId} was free in time`);
    rejectAll(taken.filter(isLate), error);
    return taken.filter(item => !isLate(item));
  }

  private async call(items: readonly Item[]): Promise<void> {
    const {gatherer} = this.options;
    const claimItems = items.filter(({claim}) => claim !== undefined);
    const claims = claimItems.flatMap(({claim}) => claim ?? []);
    const outcomes = items.flatMap(({outcome}) => outcome ?? []);
    const timeoutMs = this.options.timeoutMs - this.getAgeMs(items[0]);
    try {
      const answers = await gatherer.gather({claims, outcomes}, timeoutMs);
      claimItems.forEach((item, index) => item.resolve(answers[index]));
      items.forEach(item => item.resolve(undefined));
    } catch (cause) {
      rejectAll(items, createError(`${gatherer.instanceId} gave no answer`, cause));
    }
  }

  private noteIdle(): void {
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
