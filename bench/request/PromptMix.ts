/** Generates requests whose prompts share prefixes, as conversations of a few workspaces do. */

/** A generated request. */
export interface MixedRequest {
  /** Arrival time in milliseconds from the start of the load. */
  readonly atMs: number;
  readonly prompt: string;
  readonly maxTokens: number;
}

/** Options of `createMix`. */
export interface PromptMixOptions {
  readonly requests: number;
  /** Mean of the exponentially distributed time between arrivals. */
  readonly meanIntervalMs: number;
  readonly random: () => number;
}

const WORKSPACES = 5;
const CONVERSATIONS_PER_WORKSPACE = 12;
const INSTRUCTION_WORDS = 300;
const HISTORY_WORDS = 500;
const TURN_WORDS = 40;
const MAX_TOKENS = 24;

/**
 * Returns the requests in order of arrival. A prompt consists of the workspace's instructions, the conversation's history
 * and its turns, so it grows with each turn.
 */
export function createPromptMix({
  requests,
  meanIntervalMs,
  random,
}: PromptMixOptions): readonly MixedRequest[] {
  const turns = new Map<string, number>();
  let atMs = 0;
  return Array.from({length: requests}, () => {
    atMs += -Math.log(1 - random()) * meanIntervalMs;
    // Squaring the random number makes the first workspaces send more requests than the others.
    const workspace = Math.floor(random() ** 2 * WORKSPACES);
    const conversation = Math.floor(random() * CONVERSATIONS_PER_WORKSPACE);
    const key = `w${workspace}c${conversation}`;
    const turn = turns.get(key) ?? 0;
    turns.set(key, turn + 1);
    const prompt = [
      createWords(`w${workspace}i`, INSTRUCTION_WORDS),
      createWords(`${key}h`, HISTORY_WORDS),
      createWords(`${key}t`, (turn + 1) * TURN_WORDS),
    ].join(' ');
    return {atMs, prompt, maxTokens: MAX_TOKENS};
  });
}

function createWords(prefix: string, count: number): string {
  return Array.from({length: count}, (unused, index) => `${prefix}${index}`).join(' ');
}
