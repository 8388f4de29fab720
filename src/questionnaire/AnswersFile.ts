/** Reads answers from a YAML or JSON file. */
import {readFile} from 'node:fs/promises';
import {parse} from 'yaml';
import type {z} from 'zod';
import {ServingError} from '../errors/index.js';
import {answersSchema, type Answers} from './Answers.js';
import {checkAnswers, formatIssue, type AnswerIssue} from './AnswersCheck.js';

const MAX_SHOWN_LENGTH = 80;

/**
 * Reads and checks an answers file.
 * @param path - Path of the file.
 * @param nowMs - The present time.
 * @throws ServingError of kind `invalid-settings` naming each question and value that can't stand.
 */
export async function readAnswersFile(path: string, nowMs: number): Promise<Answers> {
  let text: string;
  try {
    text = await readFile(path, 'utf8');
  } catch (cause) {
    throw new ServingError(`--answers: "${path}" can't be read`, {kind: 'invalid-settings', cause});
  }
  return parseAnswers(text, nowMs);
}

/**
 * Parses and checks answers.
 * @param text - YAML, of which JSON is a part.
 * @param nowMs - The present time.
 * @throws ServingError of kind `invalid-settings` naming each question and value that can't stand.
 */
export function parseAnswers(text: string, nowMs: number): Answers {
  const issues = findAnswerIssues(text, nowMs);
  if (issues.length > 0) throwIssues(issues);
  return answersSchema.parse(parse(text));
}

/**
 * Returns what is wrong with answers; empty where they stand.
 * @param text - YAML, of which JSON is a part.
 * @param nowMs - The present time.
 * @throws ServingError of kind `invalid-settings` where the text is neither.
 */
export function findAnswerIssues(text: string, nowMs: number): readonly AnswerIssue[] {
  let value: unknown;
  try {
    value = parse(text);
  } catch (cause) {
    const reason = cause instanceof Error ? cause.message : String(cause);
    throw new ServingError(`answers are neither YAML nor JSON: ${reason}`, {
      kind: 'invalid-settings',
      cause,
    });
  }
  const parsed = answersSchema.safeParse(value);
  if (!parsed.success) return parsed.error.issues.map(issue => toAnswerIssue(issue, value));
  return checkAnswers(parsed.data, nowMs);
}

function throwIssues(issues: readonly AnswerIssue[]): never {
  const lines = issues.map(formatIssue).join('\n  ');
  throw new ServingError(`answers can't stand:\n  ${lines}`, {kind: 'invalid-settings'});
}

function toAnswerIssue(issue: z.core.$ZodIssue, answers: unknown): AnswerIssue {
  const names: string[] = [];
  let value: unknown = answers;
  for (const step of issue.path) {
    value = getMember(value, step);
    const name = getMember(value, 'name');
    names.push(typeof step === 'number' && typeof name === 'string' ? name : String(step));
  }
  return {
    question: names.join('.') || 'answers',
    value: formatValue(value),
    message: `- ${issue.message}`,
  };
}

function formatValue(value: unknown): string {
  if (value === undefined) return 'nothing';
  return (typeof value === 'string' ? value : JSON.stringify(value)).slice(0, MAX_SHOWN_LENGTH);
}

function getMember(value: unknown, key: PropertyKey): unknown {
  if (typeof value !== 'object' || value === null) return undefined;
  return (value as Readonly<Record<PropertyKey, unknown>>)[key];
}
