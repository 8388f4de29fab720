/** Asks the questions of the questionnaire on the terminal; the user may return to the previous question. */
import type {Configuration} from '../configuration/index.js';
import {ServingError} from '../errors/index.js';
import {stringify} from 'yaml';
import type {Answers} from './Answers.js';
import {findAnswerIssues, parseAnswers} from './AnswersFile.js';
import type {AnswerIssue} from './checkAnswers.js';
import {formatIssue} from './checkAnswers.js';
import {toDraftAnswers} from './toDraftAnswers.js';
import {getQuestions, type Question} from './Questions.js';

/** Terminal, defaults and clock of an interview. */
export interface InterviewOptions {
  /** Prompts for a line of input and returns it; undefined at the end of the input. */
  readonly ask: (prompt: string) => Promise<string | undefined>;
  readonly writeLine: (line: string) => void;
  /** Configuration in force, whose values are the defaults; undefined if no configuration was published yet. */
  readonly inForce: Configuration | undefined;
  /** Unix time in milliseconds, against which the expiry of keys is checked. */
  readonly nowMs: number;
}

const BACK_COMMAND = '<';
const INTRODUCTION = [
  'An empty line accepts the value in brackets. "<" returns to the previous question.',
];

/** Collects the answers of one user; `getAnswersText` returns them as an answers file at any time. */
export class Interview {
  private readonly options: InterviewOptions;
  private readonly texts = new Map<string, string>();

  constructor(options: InterviewOptions) {
    this.options = options;
  }

  /**
   * Asks all questions, then repeats those with invalid answers until all answers are valid.
   * @throws ServingError of kind `invalid-settings` if the input ends earlier.
   */
  async run(): Promise<Answers> {
    INTRODUCTION.forEach(this.options.writeLine);
    await this.askFrom(0);
    for (;;) {
      const text = this.getAnswersText();
      const issues = findAnswerIssues(text, this.options.nowMs);
      if (issues.length === 0) return parseAnswers(text, this.options.nowMs);
      issues.map(formatIssue).forEach(this.options.writeLine);
      await this.repeatQuestions(issues);
    }
  }

  /** Returns the answers so far as the text of an answers file in YAML; they may be incomplete or invalid. */
  getAnswersText(): string {
    return stringify(toDraftAnswers(this.texts));
  }

  private async askFrom(firstIndex: number): Promise<void> {
    let index = firstIndex;
    for (;;) {
      const question = this.getQuestions()[index];
      if (!question) return;
      index = (await this.askQuestion(question)) ? index + 1 : Math.max(0, index - 1);
    }
  }

  /** Repeats the questions that the issues refer to, or all if none matches, then asks those that new answers add. */
  private async repeatQuestions(issues: readonly AnswerIssue[]): Promise<void> {
    const answeredIds = new Set(this.texts.keys());
    const invalidQuestions = this.getQuestions().filter(({id}) =>
      issues.some(({question}) => isAnsweredBy(question, id, answeredIds)),
    );
    if (invalidQuestions.length === 0) return this.askFrom(0);
    for (const question of invalidQuestions) await this.askQuestion(question);
    for (const question of this.getQuestions()) {
      if (!answeredIds.has(question.id)) await this.askQuestion(question);
    }
  }

  /** Asks until an answer is typed, and stores it. Returns false if the user wants the previous question instead. */
  private async askQuestion({id, explanation, defaultText}: Question): Promise<boolean> {
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
      if (text === BACK_COMMAND) return false;
      if (text !== undefined) {
        this.texts.set(id, text);
        return true;
      }
      writeLine('This question has no default; type an answer.');
    }
  }

  private getQuestions(): readonly Question[] {
    return getQuestions(this.texts, this.options.inForce);
  }
}

/**
 * Returns whether a question provides the value that an issue refers to: the question with the issue's path, else each
 * question below that path, else the question with the longest path above it.
 * @param ids - Ids of all questions answered so far.
 */
function isAnsweredBy(issuePath: string, id: string, ids: ReadonlySet<string>): boolean {
  if (ids.has(issuePath)) return id === issuePath;
  if (id.startsWith(`${issuePath}.`)) return true;
  const prefixLengths = [...ids]
    .filter(other => issuePath.startsWith(`${other}.`))
    .map(({length}) => length);
  return issuePath.startsWith(`${id}.`) && id.length === Math.max(...prefixLengths);
}
