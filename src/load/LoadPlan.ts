/** What a load consists of: seeded arrivals over workspaces, classes and conversations. */
import {createSeededRandom} from '../utils/index.js';

/** One kind of request in a mix. */
export interface LoadKind {
  /** Request class that the entry is told. */
  readonly requestClass: string;
  /** Relative frequency. */
  readonly weight: number;
  /** Tokens of the history that the first request of a conversation brings. */
  readonly historyTokens: number;
  /** Tokens that each further request adds to its conversation. */
  readonly turnTokens: number;
  readonly answerTokens: number;
}

/** A workspace that sends requests. */
export interface LoadWorkspace {
  readonly name: string;
  readonly key: string;
  /** Relative frequency. */
  readonly weight: number;
}

/** Options of a load. */
export interface LoadPlanOptions {
  readonly seed: number;
  readonly durationMs: number;
  readonly startRatePerSecond: number;
  /** Rate at the end; the rate changes evenly in between. */
  readonly endRatePerSecond: number;
  readonly kinds: readonly LoadKind[];
  readonly workspaces: readonly LoadWorkspace[];
  /** Conversations that go on at a time in each workspace and class. */
  readonly conversations: number;
  /** Requests after which a conversation ends and a new one takes its place; absent for conversations without an end. */
  readonly maxTurns?: number;
}

/** One request of a load. */
export interface PlannedRequest {
  readonly atMs: number;
  readonly workspace: LoadWorkspace;
  readonly kind: LoadKind;
  /** Text of the user's message: the conversation so far. */
  readonly content: string;
  readonly promptTokens: number;
  /** Tokens of the prompt that earlier requests of the load have already sent. */
  readonly repeatedTokens: number;
}

const MS_PER_SECOND = 1_000;

/**
 * Returns the requests of a load in the order of their times; the same options give the same requests.
 * @param options - The load.
 */
export function planLoad(options: LoadPlanOptions): readonly PlannedRequest[] {
  const random = createSeededRandom(options.seed);
  const turns = new Map<string, number>();
  const planned: PlannedRequest[] = [];
  for (let atMs = 0; ;) {
    atMs += drawIntervalMs(options, atMs, random);
    if (atMs >= options.durationMs) return planned;
    const workspace = drawWeighted(options.workspaces, random);
    const kind = drawWeighted(options.kinds, random);
    const conversation = Math.floor(random() * options.conversations);
    const place = `${workspace.name}.${kind.requestClass}.${conversation}`;
    const count = turns.get(place) ?? 0;
    turns.set(place, count + 1);
    const turn = count % (options.maxTurns ?? Infinity);
    const generation = options.maxTurns ? `.${Math.floor(count / options.maxTurns)}` : '';
    const name = `${place}${generation}`;
    planned.push({atMs, workspace, kind, ...createPrompt(name, kind, turn)});
  }
}

function drawIntervalMs(options: LoadPlanOptions, atMs: number, random: () => number): number {
  const {startRatePerSecond, endRatePerSecond, durationMs} = options;
  const part = Math.min(1, atMs / durationMs);
  const ratePerSecond = startRatePerSecond + (endRatePerSecond - startRatePerSecond) * part;
  return (-Math.log(1 - random()) / ratePerSecond) * MS_PER_SECOND;
}

function drawWeighted<Item extends {readonly weight: number}>(
  items: readonly Item[],
  random: () => number,
): Item {
  const sum = items.reduce((total, {weight}) => total + weight, 0);
  let rest = random() * sum;
  for (const item of items) {
    rest -= item.weight;
    if (rest < 0) return item;
  }
  return items[items.length - 1];
}

function createPrompt(name: string, kind: LoadKind, turn: number) {
  const promptTokens = kind.historyTokens + turn * kind.turnTokens;
  const repeatedTokens = turn === 0 ? 0 : promptTokens - kind.turnTokens;
  const content = Array.from({length: promptTokens}, (_, i) => `${name}.${i}`).join(' ');
  return {content, promptTokens, repeatedTokens};
}
