/** Deterministic answers: each token follows from the text before it, so that a resumed answer equals an unbroken one. */

const HASH_START = 0x811c9dc5;
const HASH_FACTOR = 0x01000193;
const WORD_NUMBERS = 10_000;
/** Without a limit an answer ends with this chance after each token. */
const END_CHANCE_ONE_IN = 32;

/** Splits a text into tokens: words with the space after them. */
export function splitIntoTokens(text: string): readonly string[] {
  return text.match(/\S+\s*|\s+/g) ?? [];
}

/** Continues a text token by token. */
export class AnswerText {
  private hash = HASH_START;

  /**
   * @param textBefore - Prompt and what was answered already.
   */
  constructor(textBefore: string) {
    this.addText(textBefore);
  }

  /** Returns the next token. */
  getNextToken(): string {
    const token = `w${this.getMixedHash() % WORD_NUMBERS} `;
    this.addText(token);
    return token;
  }

  /** Returns whether an answer without a limit ends here. */
  isNaturalEnd(): boolean {
    return Math.floor(this.getMixedHash() / WORD_NUMBERS) % END_CHANCE_ONE_IN === 0;
  }

  private addText(text: string): void {
    for (let index = 0; index < text.length; index++) {
      this.hash = Math.imul(this.hash ^ text.charCodeAt(index), HASH_FACTOR);
    }
  }

  private getMixedHash(): number {
    const mixed = Math.imul(this.hash ^ (this.hash >>> 15), 0x85ebca6b);
    return (mixed ^ (mixed >>> 13)) >>> 0;
  }
}

/** Returns the whole answer to a prompt, for comparison. */
export function createAnswer(promptText: string, maxTokens: number): string {
  const answer = new AnswerText(promptText);
  return Array.from({length: maxTokens}, () => answer.getNextToken()).join('');
}
