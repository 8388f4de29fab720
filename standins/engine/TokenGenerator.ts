/**
 * Deterministic token generation: each token is a hash of all text before it (FNV-1a), so that a response resumed on
 * another engine equals an uninterrupted one.
 */

const FNV_OFFSET_BASIS = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const VOCABULARY_SIZE = 10_000;
/** Without a token limit, a response ends after each token with a probability of 1 in this number. */
const MEAN_RESPONSE_TOKENS = 32;

/** Splits text into tokens; a token is a word with the whitespace after it. */
export function splitIntoTokens(text: string): readonly string[] {
  return text.match(/\S+\s*|\s+/g) ?? [];
}

/** Generates the tokens that continue a text. */
export class TokenGenerator {
  private hash = FNV_OFFSET_BASIS;

  /**
   * @param textBefore - Prompt, with the part of the response generated before a resume.
   */
  constructor(textBefore: string) {
    this.addText(textBefore);
  }

  /** Returns the next token and appends it to the text. */
  getNextToken(): string {
    const token = `w${this.getMixedHash() % VOCABULARY_SIZE} `;
    this.addText(token);
    return token;
  }

  /** Returns whether a response without a token limit ends after the last token. */
  isEndOfText(): boolean {
    return Math.floor(this.getMixedHash() / VOCABULARY_SIZE) % MEAN_RESPONSE_TOKENS === 0;
  }

  private addText(text: string): void {
    for (let index = 0; index < text.length; index++) {
      this.hash = Math.imul(this.hash ^ text.charCodeAt(index), FNV_PRIME);
    }
  }

  private getMixedHash(): number {
    const mixed = Math.imul(this.hash ^ (this.hash >>> 15), 0x85ebca6b);
    return (mixed ^ (mixed >>> 13)) >>> 0;
  }
}

/** Returns the response text that an engine generates for a prompt; tests compare responses with it. */
export function createResponseText(promptText: string, maxTokens: number): string {
  const response = new TokenGenerator(promptText);
  return Array.from({length: maxTokens}, () => response.getNextToken()).join('');
}
