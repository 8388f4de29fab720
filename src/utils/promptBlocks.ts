/** Tokens of a prompt and the hash chain of its blocks, as routing and the stand-in engine compute them. */
import {hashText} from './rendezvous.js';

/** Tokens of one block of an engine's prefix cache. */
export const BLOCK_TOKENS = 16;

const ANSWER_ROLE = 'assistant';
const HEXADECIMAL = 16;

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
 * Returns the prompt of a chat: each message after its role, and the role of the answer at the end.
 *
 * An answer resumed by a last assistant message therefore extends the prompt that it answers.
 * @param messages - Messages in order.
 */
export function renderChatPrompt(messages: readonly PromptMessage[]): string {
  const parts = messages.map(({role, content}) => `${role} ${content}`);
  if (messages.at(-1)?.role !== ANSWER_ROLE) parts.push(ANSWER_ROLE);
  return parts.join(' ');
}

/**
 * Returns the hash chain of the whole blocks of a prompt; a hash stands for the prompt up to the end of its block.
 * @param tokens - Tokens of the prompt.
 * @param seed - What else the cache depends on, such as the model's version.
 */
export function hashBlocks(tokens: readonly string[], seed = ''): readonly string[] {
  const hashes: string[] = [];
  let previous = hashText(seed).toString(HEXADECIMAL);
  for (let end = BLOCK_TOKENS; end <= tokens.length; end += BLOCK_TOKENS) {
    const block = tokens.slice(end - BLOCK_TOKENS, end).join(' ');
    previous = hashText(`${previous} ${block}`).toString(HEXADECIMAL);
    hashes.push(previous);
  }
  return hashes;
}
