/** Parses and checks answers files in YAML or JSON. */
import {readFile} from 'node:fs/promises';
import {parse} from 'yaml';
import type {z} from 'zod';
import {ServingError} from '../errors/index.js';
import {answersSchema, type Answers} from './Answers.js';
import {checkAnswers, formatIssue, type AnswerIssue} from './checkAnswers.js';

/** Longer values are truncated in messages. */
const MAX_VALUE_LENGTH = 80;

/**
 * Reads and checks an answers file.
 * @param nowMs - Current Unix time in milliseconds, against which the expiry of keys is checked.
 * @throws ServingError of kind `invalid-settings` that lists every invalid answer, or if the file can't be read.
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
 * @param text - YAML or JSON; JSON is a subset of YAML.
 * @param nowMs - Current Unix time in milliseconds, against which the expiry of keys is checked.
 * @throws ServingError of kind `invalid-settings` that lists every invalid answer.
 */
export function parseAnswers(text: string, nowMs: number): Answers {
  const issues = findAnswerIssues(text, nowMs);
  if (issues.length > 0) throwIssues(issues);
  return answersSchema.parse(parse(text));
}

/**
 * Returns the issues of answers, empty if they are valid. The answers are checked against each other only if all of
 * them fit the schema.
 * @param text - YAML or JSON; JSON is a subset of YAML.
 * @param nowMs - Current Unix time in milliseconds, against which the expiry of keys is checked.
 * @throws ServingError of kind `invalid-settings` if the text is neither YAML nor JSON.
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
  throw new ServingError(`invalid answers:\n  ${lines}`, {kind: 'invalid-settings'});
}

/** Converts an issue of the schema; list items appear in the path by name, as in `services.booking.replicas`. */
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
  return (typeof value === 'string' ? value : JSON.stringify(value)).slice(0, MAX_VALUE_LENGTH);
}

function getMember(value: unknown, key: PropertyKey): unknown {
  if (typeof value !== 'object' || value === null) return undefined;
  return (value as Readonly<Record<PropertyKey, unknown>>)[key];
}
