/** Splits prompts into tokens and hashes their blocks, in the same way as the cache events of inference engines do. */
import xxhash from 'xxhash-wasm';

const {h64} = await xxhash();

/** Number of tokens in a block of an engine's prefix cache. */
export const BLOCK_TOKENS = 16;

const HEXADECIMAL = 16;
const HASH_DIGITS = 16;
const RESPONSE_ROLE = 'assistant';

/** The parts of a chat message that become prompt tokens. */
export interface PromptMessage {
  readonly role: string;
  readonly content: string;
}

/** Approximates tokenization: a token is a word with the white space after it, or leading white space. */
export function splitTokens(text: string): readonly string[] {
  return text.match(/\S+\s*|\s+/g) ?? [];
}

/** Renders chat messages into a prompt, which ends with the role of the response. */
export function renderChatPrompt(messages: readonly PromptMessage[]): string {
  const parts = messages.map(({role, content}) => `<${role}>\n${content}\n`);
  return `${parts.join('')}<${RESPONSE_ROLE}>\n`;
}

/**
 * Returns the chained hashes of the complete blocks of a prompt. Each hash identifies the prompt from its start to the
 * end of the block.
 */
export function hashBlocks(tokens: readonly string[]): readonly string[] {
  const hashes: string[] = [];
  let previous = 0n;
  for (let end = BLOCK_TOKENS; end <= tokens.length; end += BLOCK_TOKENS) {
    previous = h64(tokens.slice(end - BLOCK_TOKENS, end).join(''), previous);
    hashes.push(previous.toString(HEXADECIMAL).padStart(HASH_DIGITS, '0'));
  }
  return hashes;
}
