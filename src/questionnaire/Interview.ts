/** Asks the questionnaire's questions one by one, with a way back. */
import type {Configuration} from '../configuration/index.js';
import {ServingError} from '../errors/index.js';
import {stringify} from 'yaml';
import type {Answers} from './Answers.js';
import {findAnswerIssues, parseAnswers} from './AnswersFile.js';
import type {AnswerIssue} from './AnswersCheck.js';
import {formatIssue} from './AnswersCheck.js';
import {toDraftAnswers} from './AnswerTexts.js';
import {getQuestions, type Question} from './Questions.js';

/** How an interview talks with its person. */
export interface InterviewOptions {
  /** Shows a prompt and returns the line typed; undefined where the input has ended. */
  readonly ask: (prompt: string) => Promise<string | undefined>;
  readonly writeLine: (line: string) => void;
  /** Configuration in force, whose values are the defaults. */
  readonly inForce: Configuration | undefined;
  readonly nowMs: number;
}

const BACK = '<';
const INTRODUCTION = [
  'An empty line takes the value in brackets. "<" goes back to the question before.',
];

/** Runs the questionnaire with a person. */
export class Interview {
  private readonly options: InterviewOptions;
  private readonly texts = new Map<string, string>();

  constructor(options: InterviewOptions) {
    this.options = options;
  }

  /**
   * Asks until the answers stand.
   * @throws ServingError of kind `invalid-settings` where the input ends before.
   */
  async run(): Promise<Answers> {
    INTRODUCTION.forEach(this.options.writeLine);
    await this.askFrom(0);
    for (;;) {
      const text = this.getAnswersText();
      const issues = findAnswerIssues(text, this.options.nowMs);
      if (issues.length === 0) return parseAnswers(text, this.options.nowMs);
      issues.map(formatIssue).forEach(this.options.writeLine);
      await this.askAgain(issues);
    }
  }

  /** Returns the answers as the text of an answers file. */
  getAnswersText(): string {
    return stringify(toDraftAnswers(this.texts));
  }

  private async askFrom(firstIndex: number): Promise<void> {
    let index = firstIndex;
    for (;;) {
      const question = this.getQuestions()[index];
      if (!question) return;
      index = (await this.askOne(question)) ? index + 1 : Math.max(0, index - 1);
    }
  }

  /** Asks the questions that issues name, and those that follow from them. */
  private async askAgain(issues: readonly AnswerIssue[]): Promise<void> {
    const known = new Set(this.texts.keys());
    const named = this.getQuestions().filter(({id}) =>
      issues.some(({question}) => isAskedBy(question, id, known)),
    );
    if (named.length === 0) return this.askFrom(0);
    for (const question of named) await this.askOne(question);
    for (const question of this.getQuestions()) {
      if (!known.has(question.id)) await this.askOne(question);
    }
  }

  /** Returns false where the person wants to go back. */
  private async askOne({id, explanation, defaultText}: Question): Promise<boolean> {
    const {ask, writeLine} = this.options;
    writeLine('');
    writeLine(explanation);
    for (;;) {
      const line = await ask(defaultText === undefined ? `${id}: ` : `${id} [${defaultText}]: `);
      if (line === undefined) {
        throw new ServingError(`the input ended at question ${id}; nothing was published`, {
          kind: 'invalid-settings',
        });
      }
      const text = line.trim() || defaultText;
      if (text === BACK) return false;
      if (text !== undefined) {
        this.texts.set(id, text);
        return true;
      }
      writeLine('An answer is needed here.');
    }
  }

  private getQuestions(): readonly Question[] {
    return getQuestions(this.texts, this.options.inForce);
  }
}

/** Tells whether the question of an id gives the value that an issue names. */
function isAskedBy(named: string, id: string, ids: ReadonlySet<string>): boolean {
  if (ids.has(named)) return id === named;
  if (id.startsWith(`${named}.`)) return true;
  const lengths = [...ids].filter(other => named.startsWith(`${other}.`)).map(({length}) => length);
  return named.startsWith(`${id}.`) && id.length === Math.max(...lengths);
}
