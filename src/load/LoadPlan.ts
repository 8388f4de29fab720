/**
 * Plans the requests of a load test: seeded random arrivals, spread over workspaces, request kinds and conversations.
 */
import {createSeededRandom} from '../utils/index.js';

/** A kind of request in the mix of a load test. */
export interface RequestKind {
  /** Request class, sent to the entry in the `x-request-class` header. */
  readonly requestClass: string;
  /** Relative frequency; the weights needn't add up to a particular sum. */
  readonly weight: number;
  /** Prompt tokens of the first request of a conversation. */
  readonly historyTokens: number;
  /** Prompt tokens that each further request of a conversation adds. */
  readonly turnTokens: number;
  /** Limit for the tokens of the response. */
  readonly answerTokens: number;
}

/** A workspace whose callers the load test simulates. */
export interface LoadWorkspace {
  readonly name: string;
  /** Bearer key of the workspace, in clear text. */
  readonly key: string;
  /** Relative frequency; the weights needn't add up to a particular sum. */
  readonly weight: number;
}

/** Options of a load test. */
export interface LoadPlanOptions {
  /** Seed of the random arrivals and choices. */
  readonly seed: number;
  readonly durationMs: number;
  readonly startRatePerSecond: number;
  /** Rate at the end; the rate changes linearly in between. */
  readonly endRatePerSecond: number;
  readonly kinds: readonly RequestKind[];
  readonly workspaces: readonly LoadWorkspace[];
  /** Concurrent conversations for each workspace and request class. */
  readonly conversations: number;
  /** Number of requests after which a conversation is replaced by a new one; absent if conversations never end. */
  readonly maxTurns?: number;
}

/** A planned request of a load test. */
export interface PlannedRequest {
  /** Time from the start of the load test at which the request is sent. */
  readonly atMs: number;
  readonly workspace: LoadWorkspace;
  readonly kind: RequestKind;
  /** Text of the user's message, which contains the conversation so far. */
  readonly content: string;
  readonly promptTokens: number;
  /** Number of prompt tokens that equal the prompt of the previous request of the conversation. */
  readonly repeatedTokens: number;
}

const MS_PER_SECOND = 1_000;

/**
 * Returns the requests of a load test, ordered by time. The intervals between them are exponentially distributed, with
 * a mean that follows the rate. Equal options give equal requests.
 */
export function planLoad(options: LoadPlanOptions): readonly PlannedRequest[] {
  const random = createSeededRandom(options.seed);
  const turnCounts = new Map<string, number>();
  const planned: PlannedRequest[] = [];
  for (let atMs = 0; ;) {
    atMs += drawIntervalMs(options, atMs, random);
    if (atMs >= options.durationMs) return planned;
    const workspace = drawWeighted(options.workspaces, random);
    const kind = drawWeighted(options.kinds, random);
    const conversation = Math.floor(random() * options.conversations);
    const slotKey = `${workspace.name}.${kind.requestClass}.${conversation}`;
    const turnCount = turnCounts.get(slotKey) ?? 0;
    turnCounts.set(slotKey, turnCount + 1);
    const turn = turnCount % (options.maxTurns ?? Infinity);
    const generation = options.maxTurns ? `.${Math.floor(turnCount / options.maxTurns)}` : '';
    const conversationName = `${slotKey}${generation}`;
    planned.push({atMs, workspace, kind, ...createPrompt(conversationName, kind, turn)});
  }
}

function drawIntervalMs(options: LoadPlanOptions, atMs: number, random: () => number): number {
  const {startRatePerSecond, endRatePerSecond, durationMs} = options;
  const progress = Math.min(1, atMs / durationMs);
  const ratePerSecond = startRatePerSecond + (endRatePerSecond - startRatePerSecond) * progress;
  return (-Math.log(1 - random()) / ratePerSecond) * MS_PER_SECOND;
}

function drawWeighted<Item extends {readonly weight: number}>(
  items: readonly Item[],
  random: () => number,
): Item {
  const totalWeight = items.reduce((total, {weight}) => total + weight, 0);
  let remainingWeight = random() * totalWeight;
  for (const item of items) {
    remainingWeight -= item.weight;
    if (remainingWeight < 0) return item;
  }
  return items[items.length - 1];
}

function createPrompt(name: string, kind: RequestKind, turn: number) {
  const promptTokens = kind.historyTokens + turn * kind.turnTokens;
  const repeatedTokens = turn === 0 ? 0 : promptTokens - kind.turnTokens;
  const content = Array.from({length: promptTokens}, (_, i) => `${name}.${i}`).join(' ');
  return {content, promptTokens, repeatedTokens};
}
