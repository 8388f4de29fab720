/** A mix of requests whose prompts share prefixes, as chats and reviews of a few workspaces do. */

/** One request of the mix. */
export interface MixedRequest {
  readonly atMs: number;
  readonly prompt: string;
  readonly maxTokens: number;
}

/** Size of the mix. */
export interface MixOptions {
  readonly requests: number;
  readonly meanIntervalMs: number;
  readonly random: () => number;
}

const WORKSPACES = 5;
const CONVERSATIONS_PER_WORKSPACE = 12;
const INSTRUCTION_WORDS = 300;
const HISTORY_WORDS = 500;
const TURN_WORDS = 40;
const ANSWER_TOKENS = 24;

/**
 * Returns the requests in the order of their arrival. A conversation's prompt starts with its workspace's instructions
 * and its own history, and grows with each turn.
 * @param options - Size and randomness.
 */
export function createMix({requests, meanIntervalMs, random}: MixOptions): readonly MixedRequest[] {
  const turns = new Map<string, number>();
  let atMs = 0;
  return Array.from({length: requests}, () => {
    atMs += -Math.log(1 - random()) * meanIntervalMs;
    // Squaring the draw makes the first workspaces the large ones.
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
    return {atMs, prompt, maxTokens: ANSWER_TOKENS};
  });
}

function createWords(prefix: string, count: number): string {
  return Array.from({length: count}, (unused, index) => `${prefix}${index}`).join(' ');
}
