/** Tokens of a prompt and the hash chain of its blocks, as routing and the stand-in engine compute them. */
import {hashText} from './hashes.js';

/** Tokens of one block of an engine's prefix cache. */
export const BLOCK_TOKENS = 16;

/** A message of a chat, as far as its tokens go. */
export interface PromptMessage {
  readonly role: string;
  readonly content: string;
}

/**
 * Splits a text into tokens: its words, without the white space between them.
 * @param text - The text.
 */
export function splitTokens(text: string): readonly string[] {
  return text.split(/\s+/).filter(word => word.length > 0);
}

/**
 * Returns the prompt of a chat: each message on lines of its own, its role first.
 * @param messages - Messages in order.
 */
export function renderChatPrompt(messages: readonly PromptMessage[]): string {
  return messages.map(({role, content}) => `<|${role}|>\n${content}\n`).join('');
}

/**
 * Returns the hash chain of the whole blocks of a prompt; a hash stands for the prompt up to the end of its block.
 * @param tokens - Tokens of the prompt.
 * @param seed - What else the cache depends on, such as the model's version.
 */
export function hashBlocks(tokens: readonly string[], seed = ''): readonly string[] {
  const hashes: string[] = [];
  let previous = hashText(seed);
  for (let end = BLOCK_TOKENS; end <= tokens.length; end += BLOCK_TOKENS) {
    previous = hashText(`${previous} ${tokens.slice(end - BLOCK_TOKENS, end).join(' ')}`);
    hashes.push(previous);
  }
  return hashes;
}
