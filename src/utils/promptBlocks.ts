/** Tokens of a prompt and the hash chain of its blocks, as engines compute them for their cache events. */
import xxhash from 'xxhash-wasm';

const {h64} = await xxhash();

/** Tokens of one block of an engine's prefix cache. */
export const BLOCK_TOKENS = 16;

const HEXADECIMAL = 16;
const HASH_DIGITS = 16;
const ANSWER_ROLE = 'assistant';

/** A message of a chat, as far as its tokens go. */
export interface PromptMessage {
  readonly role: string;
  readonly content: string;
}

/**
 * Splits a text into tokens: words with the white space after them.
 * @param text - The text.
 */
export function splitTokens(text: string): readonly string[] {
  return text.match(/\S+\s*|\s+/g) ?? [];
}

/**
 * Returns the prompt of a chat: each message after its role, and the role of the answer at the end.
 * @param messages - Messages in order.
 */
export function renderChatPrompt(messages: readonly PromptMessage[]): string {
  const parts = messages.map(({role, content}) => `<${role}>\n${content}\n`);
  return `${parts.join('')}<${ANSWER_ROLE}>\n`;
}

/**
 * Returns the hash chain of the whole blocks of a prompt; a hash stands for the prompt up to the end of its block.
 * @param tokens - Tokens of the prompt.
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
